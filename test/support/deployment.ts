/**
 * A running stack with one database and a network, for tests of consistency and
 * failover: injects faults by host name and reads the rows of single instances.
 *
 * @module
 */
import type pg from "pg";
import type {
  StackDescription,
  StackOptions,
} from "../../standins/stack/options.ts";
import { createStack, type Stack } from "../../standins/stack/stack.ts";
import type { Fault } from "../../standins/network/faults.ts";
import { connectCaller } from "./callers.ts";
import { eventually } from "./eventually.ts";

/** Name of the database. */
export const DATABASE = "booking";

const HEAL_DEADLINE_MS = 60_000;

/** Options of a connection to a proxy. */
export interface ConnectOptions {
  readonly options?: string;
  readonly name?: string;
}

/** A stack with the database `booking` behind the fault-injecting network. */
export class Deployment {
  readonly stack: Stack;

  constructor(stack: Stack) {
    this.stack = stack;
  }

  /** Current processes and endpoints of the stack. */
  get description(): StackDescription {
    return this.stack.describe();
  }

  /** Names of the instances. */
  get instances(): readonly string[] {
    return this.stack.plan.instances.map((one) => one.name);
  }

  /** Names of the proxies. */
  get proxies(): readonly string[] {
    return this.stack.plan.proxies.map((one) => one.name);
  }

  /** Connects a caller to the named proxy. */
  connect(proxy: string, options: ConnectOptions = {}): Promise<pg.Client> {
    const index = this.proxies.indexOf(proxy);
    const stack = this.description;
    return connectCaller({
      stack,
      database: DATABASE,
      proxy: index,
      ...options,
    });
  }

  /** Resolves with the name of the primary with the highest term; throws when no instance reports the role of primary. */
  async primary(): Promise<string> {
    const found = await this.stack.findPrimary(DATABASE);
    if (!found) throw new Error("no instance reports the role of primary");
    return found.instance.name;
  }

  /** Resolves with the names of all instances but the primary. */
  async replicas(): Promise<readonly string[]> {
    const primary = await this.primary();
    return this.instances.filter((name) => name !== primary);
  }

  /** Waits until another instance is the primary; resolves with the name of the new primary. */
  async waitForNewPrimary(primary: string): Promise<string> {
    let next = primary;
    await eventually(async () => {
      const found = await this.stack.findPrimary(DATABASE);
      next = found?.instance.name ?? primary;
      return next !== primary;
    }, `${primary} is replaced`);
    return next;
  }

  /** Zone of an instance or a proxy. */
  zoneOf(name: string): string {
    const { instances, proxies } = this.stack.plan;
    return [...instances, ...proxies].find((one) => one.name === name)!.zone;
  }

  /** Blocks all traffic from a zone to the other zones and to the platform; callers still reach the zone. */
  async isolateZone(zone: string): Promise<void> {
    const others = [...this.stack.plan.zones, "platform"]
      .filter((other) => other !== zone);
    await this.stack.setNetworkFaults(others.map((other): Fault => ({
      kind: "cut",
      from: { zone },
      to: { zone: other },
    })));
  }

  /** Queries an instance directly and resolves with the first column of each row, as text. */
  async queryColumn(
    instance: string,
    query: string,
  ): Promise<readonly string[]> {
    const rows = await this.stack.query(instance, query);
    return rows.map((row) => String(Object.values(row)[0]));
  }

  /** Removes all faults and waits until all instances are in sync and every proxy accepts writes. */
  async heal(): Promise<void> {
    await this.stack.setNetworkFaults([]);
    for (const name of [...this.instances, ...this.proxies]) {
      if (this.stack.process(name).running) this.stack.process(name).resume();
    }
    for (const name of this.proxies) {
      if (!this.stack.process(name).running) await this.stack.startProxy(name);
    }
    await eventually(
      async () => await this.stack.findPrimary(DATABASE) !== undefined,
      "a primary is found",
      HEAL_DEADLINE_MS,
    );
    for (const name of this.instances) {
      if (this.stack.process(name).running) continue;
      await this.stack.restartInstance(name);
    }
    await eventually(
      () => this.#isInSync(),
      "all instances are in sync",
      HEAL_DEADLINE_MS,
    );
    for (const name of this.proxies) await this.#waitUntilWritable(name);
  }

  /** Sets the receive lag and the apply lag of an instance, in ms. */
  async setLag(
    instance: string,
    receive: number,
    apply: number,
  ): Promise<void> {
    const text = `SELECT * FROM marjoramshed_lag(${receive}, ${apply})`;
    await this.stack.query(instance, text);
  }

  /** Whether all instances have applied what the only primary had received when it was asked; it may receive more meanwhile. */
  async #isInSync(): Promise<boolean> {
    const primaries = (await this.#statuses())
      .filter((one) => one?.["role"] === "primary");
    if (primaries.length !== 1) return false;
    const [{ last_term: term, received }] = primaries as [StatusRow];
    return (await this.#statuses()).every((one) =>
      one !== undefined && one["role"] !== "fenced" &&
      one["last_term"] === term &&
      BigInt(String(one["applied"])) >= BigInt(String(received))
    );
  }

  #statuses(): Promise<readonly (StatusRow | undefined)[]> {
    const text = "SELECT * FROM marjoramshed_status()";
    return Promise.all(
      this.instances.map((name) =>
        this.stack.query(name, text).then((rows) => rows[0], () => undefined)
      ),
    );
  }

  async #waitUntilWritable(proxy: string): Promise<void> {
    await eventually(
      async () => {
        const client = await this.connect(proxy).catch(() => undefined);
        if (!client) return false;
        const ran = await client.query("DELETE FROM bookings WHERE false")
          .then(() => true, () => false);
        await client.end().catch(() => {});
        return ran;
      },
      `${proxy} accepts writes`,
      HEAL_DEADLINE_MS,
    );
  }
}

type StatusRow = Readonly<Record<string, unknown>>;

/** Starts a deployment with three instances and a network. */
export async function createDeployment(
  options: StackOptions = {},
): Promise<Deployment> {
  const stack = await createStack({
    databases: [DATABASE],
    network: true,
    logLevel: (process.env["TEST_LOG_LEVEL"] ?? "fatal") as "fatal",
    ...options,
  });
  return new Deployment(stack);
}
