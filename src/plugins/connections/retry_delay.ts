/**
 * Jittered exponential backoff after failed connection attempts.
 *
 * @module
 */

const FIRST_DELAY_MS = 50;

/** Backoff for one kind of failure. */
export class RetryDelay {
  readonly #maxDelay: number;
  #delay = FIRST_DELAY_MS;
  #until = -Infinity;

  /** The backoff before jitter doubles up to `maxDelay` ms. */
  constructor(maxDelay: number) {
    this.#maxDelay = maxDelay;
  }

  /** Whether the backoff is active at `now` (monotonic ms). */
  isActive(now: number): boolean {
    return now < this.#until;
  }

  /** Starts the backoff after a failure unless one is active; returns the remaining time in ms. */
  next(now: number): number {
    if (!this.isActive(now)) {
      this.#until = now + this.#delay * (0.5 + Math.random());
      this.#delay = Math.min(this.#maxDelay, 2 * this.#delay);
    }
    return this.#until - now;
  }

  /** Ends the backoff after a success. */
  reset(): void {
    this.#delay = FIRST_DELAY_MS;
    this.#until = -Infinity;
  }
}
