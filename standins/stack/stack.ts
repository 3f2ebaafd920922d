/**
 * A whole deployment as separate processes: the platform, the networks, the
 * instances and the proxies.
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

/** The processes of the platform. */
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

  /** What the stack consists of at present. */
  describe(): StackDescription {
    return describeStack(this, this.#routes);
  }

  /** Text of the document in force. */
  get document(): string {
    return this.#document;
  }

  /** A process by the name of its host. */
  process(name: string): DaemonProcess {
    const found = this.#processes.get(name);
    if (!found) throw new Error(`no process ${name} was started`);
    return found;
  }

  /** Starts all processes; when one fails, stops those that run. */
  async start(): Promise<void> {
    try {
      await this.#startPlatform();
      await this.#startInstances();
      await this.#publish();
      await Promise.all(
        this.plan.proxies.map((proxy) => this.startProxy(proxy.name)),
      );
    } catch (error) {
      await this.stop();
      throw error;
    }
  }

  /** Stops everything: the proxies first, the platform last. */
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

  /** Starts a proxy that does not run. */
  async startProxy(name: string): Promise<DaemonProcess> {
    const plan = this.plan.proxies.find((one) => one.name === name);
    if (!plan) throw new Error(`no proxy ${name}`);
    return this.#keep(await this.#launcher.startProxy(plan));
  }

  /** Stops a proxy gracefully. */
  async stopProxy(name: string): Promise<void> {
    await this.process(name).stop();
  }

  /** Ends an instance at once. */
  async killInstance(name: string): Promise<void> {
    await this.process(name).kill();
  }

  /** Starts an instance that does not run, as a replica of the present primary. */
  async restartInstance(name: string): Promise<DaemonProcess> {
    const plan = this.instance(name);
    const source = await this.findPrimary(plan.database);
    if (!source) throw new Error(`${plan.database} has no primary to follow`);
    return this.#keep(await this.#launcher.startInstance(plan, source));
  }

  /** The primary of the highest term among the instances that answer. */
  async findPrimary(database: string): Promise<ReplicationSource | undefined> {
    const group = this.plan.instances.filter((one) =>
      one.database === database && this.#processes.get(one.name)?.running
    );
    const found = await Promise.all(group.map((one) => this.#leadership(one)));
    return found.filter((one) => one !== undefined)
      .sort((a, b) => b.term - a.term)[0];
  }

  /** Runs a statement directly at an instance. */
  query(
    name: string,
    text: string,
  ): Promise<readonly Readonly<Record<string, unknown>>[]> {
    const plan = this.instance(name);
    return queryInstance(realEndpoint(plan), plan.database, text);
  }

  /** Puts a document on trial and promotes it; resolves with its number. */
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

  /** Sets what the host list says of a host. */
  setHostState(name: string, state: Host["state"]): Promise<void> {
    const url = `${urlOf(realEndpoint(this.plan.hostList))}/hosts/${name}`;
    return sendJson(url, "PATCH", { state });
  }

  /** Sets faults of a process of the platform. */
  setPlatformFaults(
    service: PlatformService,
    faults: Partial<ServerFaults>,
  ): Promise<void> {
    const url = `${urlOf(realEndpoint(this.plan[service]))}/_faults`;
    return sendJson(url, "PUT", faults);
  }

  /** Puts faults in place of those on the network; the deployment's latencies stay. */
  async setNetworkFaults(faults: readonly Fault[]): Promise<void> {
    if (faults.length > 0 && this.plan.networks.length === 0) {
      throw new Error("faults of the network need a stack with a network");
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

  /** The plan of an instance. */
  instance(name: string): InstancePlan {
    const found = this.plan.instances.find((one) => one.name === name);
    if (!found) throw new Error(`no instance ${name}`);
    return found;
  }

  async #startPlatform(): Promise<void> {
    const { tableService, objectStore, hostList, networks } = this.plan;
    await this.#startAll(
      [tableService, objectStore, hostList],
      (host) => this.#launcher.startPlatform(host),
    );
    await this.#startAll(networks, (host) => this.#launcher.startNetwork(host));
    for (const network of networks) {
      this.#routes.add(this.process(network.name));
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
    // All are waited for, so that a failure leaves no start behind under way.
    const results = await Promise.allSettled(
      plans.map(async (plan) => this.#keep(await start(plan))),
    );
    const failed = results.find((result) => result.status === "rejected");
    if (failed) throw failed.reason;
  }

  async #publish(): Promise<void> {
    const hosts = listHosts(this.plan, this.#routes);
    await putHosts(realEndpoint(this.plan.hostList), hosts);
    const endpoints = new Map(
      this.plan.instances.map((one) => [one.name, this.#routes.of(one)]),
    );
    const proxies = this.plan.proxies.map(({ name, zone }) => ({ name, zone }));
    const passwordHash = await hashPassword(this.password);
    await this.promote(
      this.example.fill({ endpoints, passwordHash, proxies }),
    );
  }

  async #leadership(
    instance: InstancePlan,
  ): Promise<ReplicationSource | undefined> {
    const text = "SELECT * FROM marjoramshed_status()";
    const rows = await this.query(instance.name, text).catch(() => []);
    const status = rows[0];
    if (status?.["role"] !== "primary") return undefined;
    return { instance, term: Number(status["last_term"]) };
  }

  #keep(process: DaemonProcess): DaemonProcess {
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
