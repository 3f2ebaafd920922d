/**
 * Background task that applies received entries to the database after the apply lag.
 *
 * @module
 */
import { setTimeout as sleep } from "node:timers/promises";
import type { Database } from "./database.ts";
import type { Log } from "./log.ts";

const LAG_POLL_MS = 10;

/** Applies the entries of the log to the database. */
export class Replay {
  /** Apply lag: delay in ms between receiving an entry and applying it. */
  lag: number;
  readonly #log: Log;
  readonly #database: Database;
  #ignoreLag = false;
  #stopped = false;

  constructor(log: Log, database: Database, lag: number) {
    this.#log = log;
    this.#database = database;
    this.lag = lag;
  }

  /** Applies entries as they become due, until stopped. */
  async run(): Promise<void> {
    while (!this.#stopped) {
      const [next] = this.#log.read(this.#database.applied, 1);
      if (!next) {
        await this.#log.waitForChange();
        continue;
      }
      const wait = this.#ignoreLag
        ? 0
        : next.appendedAt + this.lag - performance.now();
      if (wait > 0) {
        await sleep(Math.min(wait, LAG_POLL_MS));
        continue;
      }
      await this.#applyDue();
    }
  }

  /** Applies the rest of the log without the apply lag, as a promotion needs; gives up when `condition` no longer holds. */
  async catchUp(condition: () => boolean): Promise<void> {
    this.#ignoreLag = true;
    while (condition() && this.#database.applied < this.#log.end) {
      await sleep(1);
    }
    this.#ignoreLag = false;
  }

  stop(): void {
    this.#stopped = true;
    this.#log.wake();
  }

  async #applyDue(): Promise<void> {
    await this.#database.mutex.acquire(this);
    try {
      const until = this.#ignoreLag ? Infinity : performance.now() - this.lag;
      this.#database.applyUntil(until);
    } finally {
      this.#database.mutex.release(this);
    }
    await new Promise((resolve) => setImmediate(resolve));
  }
}
