/**
 * Starts the processes of a plan with their command-line flags.
 *
 * @module
 */
import { mkdtempSync, rmSync } from "node:fs";
import { tmpdir } from "node:os";
import { join } from "node:path";
import { type DaemonProcess, startDaemon } from "./daemon_process.ts";
import { ENVIRONMENT, examplePath } from "./example.ts";
import type { StackOptions } from "./options.ts";
import type {
  HostPlan,
  InstancePlan,
  NetworkPlan,
  ProxyPlan,
  StackPlan,
} from "./plan.ts";
import { formatEndpoint, type Routes, urlOf } from "./routes.ts";

const DEFAULT_OPEN_DELAY_MS = 12;
const DEFAULT_HOST_LIST_LAG_MS = 1_000;
/** User name, and password, with which the proxies log in to the upstreams. */
export const UPSTREAM_USER = "marjoramshed";

/** The instance that a replica replicates from, and the term of that instance. */
export interface ReplicationSource {
  readonly instance: InstancePlan;
  readonly term: number;
}

/** Starts the processes of one stack. */
export class Launcher {
  readonly #plan: StackPlan;
  readonly #options: StackOptions;
  readonly #routes: Routes;
  readonly #peerKey: string;
  readonly #stateFolder = createStateFolder();

  constructor(
    plan: StackPlan,
    options: StackOptions,
    routes: Routes,
    peerKey: string,
  ) {
    this.#plan = plan;
    this.#options = options;
    this.#routes = routes;
    this.#peerKey = peerKey;
  }

  /** Starts a platform service. */
  startPlatformService(host: HostPlan): Promise<DaemonProcess> {
    const folder = host.name.replace("-", "_");
    const lag = this.#options.hostListLagMs ?? DEFAULT_HOST_LIST_LAG_MS;
    const rest = host === this.#plan.hostList ? ["--lag", String(lag)] : [];
    const args = [...listenFlags(host), ...rest];
    return startDaemon(host.name, `standins/${folder}/main.js`, args);
  }

  /** Starts the network simulator of a zone. */
  startNetwork(plan: NetworkPlan): Promise<DaemonProcess> {
    const { links } = plan;
    const topology = JSON.stringify({ links, sources: this.#plan.sources });
    const args = [...listenFlags(plan), "--topology", topology];
    return startDaemon(plan.name, "standins/network/main.js", args);
  }

  /** Starts an instance: as the first primary, or as a replica if a source is given. */
  startInstance(
    plan: InstancePlan,
    source?: ReplicationSource,
  ): Promise<DaemonProcess> {
    const { receiveLagMs = 0, applyLagMs = 0 } = this.#options;
    const { openDelayMs = DEFAULT_OPEN_DELAY_MS } = this.#options;
    const args = [
      ...listenFlags(plan),
      ...hostFlags(plan),
      ...["--user", UPSTREAM_USER],
      ...["--password", UPSTREAM_USER],
      ...["--database", plan.database],
      ...["--connections", String(plan.connections)],
      ...["--open-delay", String(openDelayMs)],
      ...["--receive-lag", String(receiveLagMs)],
      ...["--apply-lag", String(applyLagMs)],
      ...["--init-sql", examplePath(`${plan.database}.sql`)],
      // The fence has to survive a restart: an instance that lost its fence could
      // confirm writes of a replaced primary.
      ...["--state-file", join(this.#stateFolder, plan.name)],
      ...this.#roleFlags(source),
    ];
    return startDaemon(plan.name, "standins/instance/main.js", args);
  }

  /** Starts a proxy. */
  startProxy(plan: ProxyPlan): Promise<DaemonProcess> {
    const { tableService, objectStore, hostList } = this.#plan;
    const { policy = "session", logLevel = "info" } = this.#options;
    const args = [
      "proxy",
      ...listenFlags(plan),
      ...hostFlags(plan),
      ...["--environment", ENVIRONMENT],
      ...["--peer-port", String(plan.peerPort)],
      ...["--peer-endpoint", formatEndpoint(this.#routes.resolvePeers(plan))],
      ...["--peer-key", this.#peerKey],
      ...["--table-service", urlOf(this.#routes.resolve(tableService))],
      ...["--object-store", urlOf(this.#routes.resolve(objectStore))],
      ...["--host-list", urlOf(this.#routes.resolve(hostList))],
      ...["--upstream-user", UPSTREAM_USER],
      ...["--upstream-password", UPSTREAM_USER],
      ...["--policy", policy],
      ...["--log-level", logLevel],
    ];
    return startDaemon(plan.name, "src/main.js", args);
  }

  #roleFlags(source: ReplicationSource | undefined): readonly string[] {
    if (!source) return ["--role", "primary", "--term", "1"];
    const endpoint = formatEndpoint(this.#routes.resolve(source.instance));
    return [
      ...["--role", "replica"],
      ...["--source-name", source.instance.name],
      ...["--source", endpoint],
      ...["--term", String(source.term)],
    ];
  }
}

/** Creates a temporary folder that is removed when this process exits. */
function createStateFolder(): string {
  const folder = mkdtempSync(join(tmpdir(), "marjoramshed-stack-"));
  process.once("exit", () => rmSync(folder, { recursive: true, force: true }));
  return folder;
}

function listenFlags(host: HostPlan): readonly string[] {
  return ["--address", host.address, "--port", String(host.port)];
}

function hostFlags(host: HostPlan): readonly string[] {
  return ["--name", host.name, "--zone", host.zone];
}
