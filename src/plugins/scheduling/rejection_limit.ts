/**
 * Limits the statements in flight by the instance's rejections alone.
 *
 * @module
 */
import { ConcurrencyLimit } from "../connections/concurrency_limit.ts";
import type { Flight, FlightOutcome } from "./flight.ts";
import type { StatementLimit } from "./statement_limit.ts";

/** `ConcurrencyLimit` for a pool that knows which statements are in flight. */
export class RejectionLimit implements StatementLimit {
  readonly #limit = new ConcurrencyLimit(() => 0);
  readonly #maxOpen: () => number;

  /** `maxOpen` returns the maximum number of open connections. */
  constructor(maxOpen: () => number) {
    this.#maxOpen = maxOpen;
  }

  get current(): number {
    return Math.min(this.#limit.maxInFlight, this.#maxOpen());
  }

  allows(inFlight: number, now: number): boolean {
    return this.#limit.allows(inFlight, now);
  }

  remainingPause(now: number): number {
    return this.#limit.remainingPause(now);
  }

  record(
    _: Flight,
    outcome: FlightOutcome,
    inFlight: number,
    now: number,
  ): void {
    if (outcome === "answered") this.#limit.recordSuccess(this.#maxOpen());
    if (outcome === "rejected") this.#limit.recordRejection(inFlight + 1, now);
  }
}
