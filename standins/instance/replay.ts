/**
 * The task that applies received entries after the apply lag.
 *
 * @module
 */
import { setTimeout as sleep } from "node:timers/promises";
import type { Database } from "./database.ts";
import type { Log } from "./log.ts";

const LAG_POLL_MS = 10;

/** Applies the log to the database. */
export class Replay {
  /** Time from receiving an entry to applying it, in ms. */
  lag: number;
  readonly #log: Log;
  readonly #database: Database;
  #hurried = false;
  #stopped = false;

  constructor(log: Log, database: Database, lag: number) {
    this.#log = log;
    this.#database = database;
    this.lag = lag;
  }

  /** Applies entries as they become due until it is stopped. */
  async run(): Promise<void> {
    while (!this.#stopped) {
      const [next] = this.#log.read(this.#database.applied, 1);
      if (!next) {
        await this.#log.changed();
        continue;
      }
      const wait = this.#hurried ? 0 : next.at + this.lag - performance.now();
      if (wait > 0) {
        await sleep(Math.min(wait, LAG_POLL_MS));
        continue;
      }
      await this.#applyDue();
    }
  }

  /** Applies everything at once while the condition holds, as a promotion does. */
  async finish(condition: () => boolean): Promise<void> {
    this.#hurried = true;
    while (condition() && this.#database.applied < this.#log.end) {
      await sleep(1);
    }
    this.#hurried = false;
  }

  /** Ends the task. */
  stop(): void {
    this.#stopped = true;
    this.#log.wake();
  }

  async #applyDue(): Promise<void> {
    await this.#database.mutex.acquire(this);
    try {
      const until = this.#hurried ? Infinity : performance.now() - this.lag;
      this.#database.applyUntil(until);
    } finally {
      this.#database.mutex.release(this);
    }
    await new Promise((resolve) => setImmediate(resolve));
  }
}
