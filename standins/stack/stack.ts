/**
 * Runs a complete deployment as separate processes: the platform services, the
 * network simulators, the instances and the proxies.
 *
 * @module
 */
import { randomBytes } from "node:crypto";
import { hashPassword } from "../../src/plugins/document/password.ts";
import type { Host } from "../../src/plugins/host_list/host_list.ts";
import type { ServerFaults } from "../common/fault_injection_server.ts";
import type { Fault } from "../network/faults.ts";
import { type AddressSpace, createAddressSpace } from "./address_space.ts";
import type { DaemonProcess } from "./daemon_process.ts";
import { describeStack } from "./description.ts";
import { Example } from "./example.ts";
import { Launcher, type ReplicationSource } from "./launcher.ts";
import {
  promoteDocument,
  putHosts,
  queryInstance,
  sendJson,
} from "./operator.ts";
import type { StackDescription, StackOptions } from "./options.ts";
import {
  createPlan,
  type InstancePlan,
  realEndpoint,
  type StackPlan,
} from "./plan.ts";
import { Routes, urlOf } from "./routes.ts";
import { listHosts, listLatencies } from "./surroundings.ts";

const FIRST_TERM = 1;

/** A service of the platform. */
export type PlatformService = "tableService" | "objectStore" | "hostList";

/** A running deployment. */
export class Stack {
  readonly password = randomBytes(12).toString("hex");
  readonly peerKey = randomBytes(16).toString("hex");
  readonly plan: StackPlan;
  readonly example: Example;
  readonly #options: StackOptions;
  readonly #space: AddressSpace;
  readonly #routes = new Routes();
  readonly #launcher: Launcher;
  readonly #processes = new Map<string, DaemonProcess>();
  #document = "";

  constructor(
    options: StackOptions,
    example: Example,
    plan: StackPlan,
    space: AddressSpace,
  ) {
    this.#options = options;
    this.example = example;
    this.plan = plan;
    this.#space = space;
    this.#launcher = new Launcher(plan, options, this.#routes, this.peerKey);
  }

  /** Describes the processes of the stack and their current endpoints. */
  describe(): StackDescription {
    return describeStack(this, this.#routes);
  }

  /** Text of the document that was promoted last; empty before the first promotion. */
  get document(): string {
    return this.#document;
  }

  /** Returns the process of a host; throws when none was started under that name. */
  process(name: string): DaemonProcess {
    const found = this.#processes.get(name);
    if (!found) throw new Error(`no process was started for host ${name}`);
    return found;
  }

  /** Starts all processes; if one fails to start, stops the others and throws. */
  async start(): Promise<void> {
    try {
      await this.#startPlatform();
      await this.#startInstances();
      await this.#publishConfiguration();
      await Promise.all(
        this.plan.proxies.map((proxy) => this.startProxy(proxy.name)),
      );
    } catch (error) {
      await this.stop();
      throw error;
    }
  }

  /** Stops all processes: proxies first, platform services last. */
  async stop(): Promise<void> {
    const { proxies, instances, networks } = this.plan;
    const { tableService, objectStore, hostList } = this.plan;
    const platform = [tableService, objectStore, hostList];
    for (const hosts of [proxies, instances, networks, platform]) {
      await Promise.all(
        hosts.map((host) => this.#processes.get(host.name)?.stop()),
      );
    }
    this.#space.release();
  }

  /** Starts a proxy that is not running. */
  async startProxy(name: string): Promise<DaemonProcess> {
    const plan = this.plan.proxies.find((one) => one.name === name);
    if (!plan) throw new Error(`unknown proxy ${name}`);
    return this.#register(await this.#launcher.startProxy(plan));
  }

  /** Stops a proxy with SIGTERM, which lets it drain its callers. */
  async stopProxy(name: string): Promise<void> {
    await this.process(name).stop();
  }

  /** Kills an instance with SIGKILL. */
  async killInstance(name: string): Promise<void> {
    await this.process(name).kill();
  }

  /** Starts an instance that is not running, as a replica of the current primary. */
  async restartInstance(name: string): Promise<DaemonProcess> {
    const plan = this.instance(name);
    const source = await this.findPrimary(plan.database);
    if (!source) throw new Error(`${plan.database} has no primary`);
    return this.#register(await this.#launcher.startInstance(plan, source));
  }

  /** Finds the primary with the highest term among the instances that respond. */
  async findPrimary(database: string): Promise<ReplicationSource | undefined> {
    const group = this.plan.instances.filter((one) =>
      one.database === database && this.#processes.get(one.name)?.running
    );
    const found = await Promise.all(
      group.map((one) => this.#findPrimaryTerm(one)),
    );
    return found.filter((one) => one !== undefined)
      .sort((a, b) => b.term - a.term)[0];
  }

  /** Runs a statement directly on an instance, bypassing the proxies and the network. */
  query(
    name: string,
    text: string,
  ): Promise<readonly Readonly<Record<string, unknown>>[]> {
    const plan = this.instance(name);
    return queryInstance(realEndpoint(plan), plan.database, text);
  }

  /** Stores a document in the trial environment and promotes it; resolves with the revision number. */
  async promote(text: string): Promise<number> {
    const { tableService, objectStore } = this.plan;
    const number = await promoteDocument(
      text,
      realEndpoint(tableService),
      realEndpoint(objectStore),
    );
    this.#document = text;
    return number;
  }

  /** Sets the state that the host list reports for a host. */
  setHostState(name: string, state: Host["state"]): Promise<void> {
    const url = `${urlOf(realEndpoint(this.plan.hostList))}/hosts/${name}`;
    return sendJson(url, "PATCH", { state });
  }

  /** Injects faults into a platform service. */
  setPlatformFaults(
    service: PlatformService,
    faults: Partial<ServerFaults>,
  ): Promise<void> {
    const url = `${urlOf(realEndpoint(this.plan[service]))}/_faults`;
    return sendJson(url, "PUT", faults);
  }

  /** Replaces the faults on the network; the latencies of the deployment remain. */
  async setNetworkFaults(faults: readonly Fault[]): Promise<void> {
    if (faults.length > 0 && this.plan.networks.length === 0) {
      throw new Error("network faults require a stack started with a network");
    }
    const latencies = this.#options.latency
      ? listLatencies(this.plan, this.example.latencies)
      : [];
    const list = [...latencies, ...faults];
    await Promise.all(this.plan.networks.map((network) => {
      const url = `${urlOf(realEndpoint(network))}/faults`;
      return sendJson(url, "PUT", { faults: list });
    }));
  }

  /** Returns the plan of an instance; throws when the name is unknown. */
  instance(name: string): InstancePlan {
    const found = this.plan.instances.find((one) => one.name === name);
    if (!found) throw new Error(`unknown instance ${name}`);
    return found;
  }

  async #startPlatform(): Promise<void> {
    const { tableService, objectStore, hostList, networks } = this.plan;
    await this.#startAll(
      [tableService, objectStore, hostList],
      (host) => this.#launcher.startPlatformService(host),
    );
    await this.#startAll(networks, (host) => this.#launcher.startNetwork(host));
    for (const network of networks) {
      this.#routes.addLinks(this.process(network.name));
    }
    await this.setNetworkFaults([]);
  }

  async #startInstances(): Promise<void> {
    const { instances } = this.plan;
    const primaries = instances.filter((one) => one.role === "primary");
    const replicas = instances.filter((one) => one.role === "replica");
    await this.#startAll(primaries, (one) => this.#launcher.startInstance(one));
    await this.#startAll(replicas, (one) => {
      const instance = primaries.find((other) =>
        other.database === one.database
      )!;
      const source = { instance, term: FIRST_TERM };
      return this.#launcher.startInstance(one, source);
    });
  }

  async #startAll<T>(
    plans: readonly T[],
    start: (plan: T) => Promise<DaemonProcess>,
  ): Promise<void> {
    // Waits for every start to settle, so that no start is still in progress after a failure.
    const results = await Promise.allSettled(
      plans.map(async (plan) => this.#register(await start(plan))),
    );
    const failed = results.find((result) => result.status === "rejected");
    if (failed) throw failed.reason;
  }

  async #publishConfiguration(): Promise<void> {
    const hosts = listHosts(this.plan, this.#routes);
    await putHosts(realEndpoint(this.plan.hostList), hosts);
    const endpoints = new Map(
      this.plan.instances.map((one) => [one.name, this.#routes.resolve(one)]),
    );
    const proxies = this.plan.proxies.map(({ name, zone }) => ({ name, zone }));
    const passwordHash = await hashPassword(this.password);
    await this.promote(
      this.example.renderDocument({ endpoints, passwordHash, proxies }),
    );
  }

  async #findPrimaryTerm(
    instance: InstancePlan,
  ): Promise<ReplicationSource | undefined> {
    const text = "SELECT * FROM marjoramshed_status()";
    const rows = await this.query(instance.name, text).catch(() => []);
    const status = rows[0];
    if (status?.["role"] !== "primary") return undefined;
    return { instance, term: Number(status["last_term"]) };
  }

  #register(process: DaemonProcess): DaemonProcess {
    this.#processes.set(process.name, process);
    return process;
  }
}

/** Starts a deployment; resolves when its proxies accept callers. */
export async function createStack(options: StackOptions = {}): Promise<Stack> {
  const example = new Example(options);
  const space = await createAddressSpace();
  const plan = await createPlan(example, options, space);
  const stack = new Stack(options, example, plan, space);
  await stack.start();
  return stack;
}
