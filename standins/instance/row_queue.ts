/**
 * Rows of the replication stream on their way from the client library's events to
 * the task that takes them.
 *
 * @module
 */
import type { LogRow } from "./source.ts";

/** A row and when it arrived, in ms of `performance.now()`. */
export interface Arrival {
  readonly row: LogRow;
  readonly at: number;
}

/** A queue whose reader waits for the next row. */
export class RowQueue {
  readonly #rows: Arrival[] = [];
  #failure: Error | undefined;
  #wake: (() => void) | undefined;

  /** Adds a row. */
  push(arrival: Arrival): void {
    this.#rows.push(arrival);
    this.#wake?.();
  }

  /** Makes the reader fail once it has taken all rows. */
  end(failure: Error): void {
    this.#failure ??= failure;
    this.#wake?.();
  }

  /** Gives the next row; throws after the end. */
  async shift(): Promise<Arrival> {
    for (;;) {
      const next = this.#rows.shift();
      if (next) return next;
      if (this.#failure) throw this.#failure;
      await new Promise<void>((resolve) => this.#wake = resolve);
    }
  }
}
