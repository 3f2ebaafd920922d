/**
 * Queue that carries rows of the replication stream from the events of the client
 * library to the task that processes them.
 *
 * @module
 */
import type { LogRow } from "./source.ts";

/** Row of the stream and its time of arrival, in ms of `performance.now()`. */
export interface Arrival {
  readonly row: LogRow;
  readonly arrivedAt: number;
}

/** Unbounded queue of rows with one asynchronous reader. */
export class RowQueue {
  readonly #rows: Arrival[] = [];
  #failure: Error | undefined;
  #wake: (() => void) | undefined;

  push(arrival: Arrival): void {
    this.#rows.push(arrival);
    this.#wake?.();
  }

  /** Ends the queue: `shift` throws the failure after the remaining rows. Only the first failure counts. */
  fail(failure: Error): void {
    this.#failure ??= failure;
    this.#wake?.();
  }

  /** Removes and returns the next row, waiting for one if the queue is empty; throws once the queue has ended. */
  async shift(): Promise<Arrival> {
    for (;;) {
      const next = this.#rows.shift();
      if (next) return next;
      if (this.#failure) throw this.#failure;
      await new Promise<void>((resolve) => this.#wake = resolve);
    }
  }
}
