/**
 * Generates load with the callers of the chaos test, for tests of planned stops
 * and planned changes of primary.
 *
 * @module
 */
import type { Stack } from "../../standins/stack/stack.ts";
import { ChaosCaller } from "../chaos/caller.ts";
import { History, type Verdict } from "../chaos/history.ts";

let started = 0;

/** Concurrent callers that write and read until they are stopped. */
export class Load {
  readonly history = new History();
  readonly #stack: Stack;
  readonly #callers: readonly ChaosCaller[];
  readonly #running: Promise<unknown>;

  constructor(stack: Stack, callerCount: number) {
    started += 1;
    const prefix = `load-${started}-`;
    this.#stack = stack;
    this.#callers = Array.from(
      { length: callerCount },
      (_, index) =>
        new ChaosCaller(
          index,
          () => stack.describe(),
          this.history,
          Math.random,
          prefix,
        ),
    );
    this.#running = Promise.all(this.#callers.map((caller) => caller.run()));
  }

  /** Number of write requests that have completed. */
  get answered(): number {
    return this.history.requests.length;
  }

  /** Stops the load and checks its history against the rows of the primary. */
  async stop(): Promise<Verdict> {
    for (const caller of this.#callers) caller.stop();
    await this.#running;
    return this.history.check(await countBookings(this.#stack));
  }
}

/** Counts the rows of the table `bookings` on the primary, by booking. */
export async function countBookings(
  stack: Stack,
): Promise<ReadonlyMap<string, number>> {
  const primary = await stack.findPrimary("booking");
  const rows = await stack.query(
    primary!.instance.name,
    "SELECT booking, count(*)::int AS n FROM bookings GROUP BY booking",
  );
  return new Map(rows.map((row) => [String(row["booking"]), Number(row["n"])]));
}
