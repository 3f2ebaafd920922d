/**
 * A running stack with one database and its network, as tests of the promises
 * use it: faults by name, and what the instances hold in the end.
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

/** The database of these tests. */
export const DATABASE = "booking";

const HEAL_DEADLINE_MS = 60_000;

/** How to connect to a proxy by its name. */
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

  /** Where everything is reached at present. */
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

  /** Connects a caller to a proxy by its name. */
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

  /** Name of the primary of the highest term. */
  async primary(): Promise<string> {
    const found = await this.stack.findPrimary(DATABASE);
    if (!found) throw new Error("there is no primary");
    return found.instance.name;
  }

  /** Names of the instances that are not the primary. */
  async replicas(): Promise<readonly string[]> {
    const primary = await this.primary();
    return this.instances.filter((name) => name !== primary);
  }

  /** Waits until another instance than this leads. */
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

  /** Cuts a zone from the others and from the platform; callers still reach it. */
  async isolateZone(zone: string): Promise<void> {
    const others = [...this.stack.plan.zones, "platform"]
      .filter((other) => other !== zone);
    await this.stack.setNetworkFaults(others.map((other): Fault => ({
      kind: "cut",
      from: { zone },
      to: { zone: other },
    })));
  }

  /** Rows that an instance holds, by a statement with one text column. */
  async queryColumn(
    instance: string,
    query: string,
  ): Promise<readonly string[]> {
    const rows = await this.stack.query(instance, query);
    return rows.map((row) => String(Object.values(row)[0]));
  }

  /** Ends all faults and waits until the group is whole and every proxy takes writes. */
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
      "a primary",
      HEAL_DEADLINE_MS,
    );
    for (const name of this.instances) {
      if (this.stack.process(name).running) continue;
      await this.stack.restartInstance(name);
    }
    await eventually(
      () => this.#whole(),
      "the group is whole",
      HEAL_DEADLINE_MS,
    );
    for (const name of this.proxies) await this.#takesWrites(name);
  }

  /** Sets the lags of an instance, in ms. */
  async setLag(
    instance: string,
    receive: number,
    apply: number,
  ): Promise<void> {
    const text = `SELECT * FROM marjoramshed_lag(${receive}, ${apply})`;
    await this.stack.query(instance, text);
  }

  async #whole(): Promise<boolean> {
    const text = "SELECT * FROM marjoramshed_status()";
    const statuses = await Promise.all(
      this.instances.map((name) =>
        this.stack.query(name, text).then((rows) => rows[0], () => undefined)
      ),
    );
    const leader = statuses.filter((one) => one?.["role"] === "primary");
    if (leader.length !== 1) return false;
    return statuses.every((one) =>
      one !== undefined && one["role"] !== "fenced" &&
      one["last_term"] === leader[0]!["last_term"] &&
      one["applied"] === leader[0]!["received"]
    );
  }

  async #takesWrites(proxy: string): Promise<void> {
    await eventually(
      async () => {
        const client = await this.connect(proxy).catch(() => undefined);
        if (!client) return false;
        const ran = await client.query("DELETE FROM bookings WHERE false")
          .then(() => true, () => false);
        await client.end().catch(() => {});
        return ran;
      },
      `${proxy} takes writes`,
      HEAL_DEADLINE_MS,
    );
  }
}

/** Starts a deployment with three instances and the network. */
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
