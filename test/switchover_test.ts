/**
 * Planned switchover while callers write through two complete proxies.
 *
 * @module
 */
import { after, before, describe, it } from "node:test";
import { setTimeout as sleep } from "node:timers/promises";
import { expect } from "earl";
import type { StackDescription } from "../standins/stack/options.ts";
import { createStack, type Stack } from "../standins/stack/stack.ts";
import { connectCaller } from "./support/callers.ts";
import { eventually } from "./support/eventually.ts";

const DATABASE = "booking";
const WRITER_COUNT = 6;
const SETTLE_MS = 500;

/** Writes rows one after another until the first failure, each in its own statement or transaction. */
class Writer {
  readonly acknowledged: string[] = [];
  readonly failures: string[] = [];
  readonly #stack: StackDescription;
  readonly #name: string;
  readonly #proxy: number;
  #stopped = false;

  constructor(stack: StackDescription, index: number) {
    this.#stack = stack;
    this.#name = `writer-${index}`;
    this.#proxy = index % stack.proxies.length;
  }

  async run(): Promise<void> {
    const client = await connectCaller({
      stack: this.#stack,
      proxy: this.#proxy,
      database: DATABASE,
    });
    for (let count = 0; !this.#stopped; count += 1) {
      const id = `${this.#name}/${count}`;
      const inTransaction = count % 3 === 0;
      try {
        if (inTransaction) await client.query("BEGIN");
        await client.query("INSERT INTO visits VALUES ($1)", [id]);
        if (inTransaction) await client.query("COMMIT");
        this.acknowledged.push(id);
      } catch (error) {
        this.failures.push(`${id}: ${String(error)}`);
        break;
      }
    }
    await client.end();
  }

  stop(): void {
    this.#stopped = true;
  }
}

describe("switchover", () => {
  let running: Stack;

  before(async () => {
    running = await createStack({
      databases: [DATABASE],
      proxies: 2,
      logLevel: "warn",
    });
    const client = await connectCaller({
      stack: running.describe(),
      database: DATABASE,
    });
    await client.query("CREATE TABLE visits (id text PRIMARY KEY)");
    await client.end();
  });
  after(() => running?.stop());

  it("fails and loses no write when the primary's host is leaving", async () => {
    const stack = running.describe();
    const former = (await running.findPrimary(DATABASE))!.instance.name;
    const writers = Array.from(
      { length: WRITER_COUNT },
      (_, index) => new Writer(stack, index),
    );
    const work = writers.map((writer) => writer.run());
    await sleep(SETTLE_MS);
    await running.setHostState(former, "leaving");
    await eventually(async () => {
      const found = await running.findPrimary(DATABASE);
      return found !== undefined && found.instance.name !== former;
    }, "another instance is primary");
    await sleep(SETTLE_MS);
    for (const writer of writers) writer.stop();
    await Promise.all(work);
    const client = await connectCaller({ stack, database: DATABASE });
    const { rows } = await client.query("SELECT id FROM visits");
    await client.end();
    const failures = writers.flatMap((writer) => writer.failures);
    expect(failures).toEqual([]);
    const acknowledged = writers.flatMap((writer) => writer.acknowledged);
    expect(rows.map((row) => row.id).sort()).toEqual(acknowledged.sort());
  });
});
