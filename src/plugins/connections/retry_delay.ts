/**
 * The jittered pause after an opening that failed; it doubles with each failure in a row.
 *
 * @module
 */

const FIRST_DELAY_MS = 50;

/** Pause between attempts of one kind. */
export class RetryDelay {
  readonly #longest: number;
  #delay = FIRST_DELAY_MS;
  #until = -Infinity;

  /** The pause grows up to `longest` ms. */
  constructor(longest: number) {
    this.#longest = longest;
  }

  /** Whether the pause still lasts. */
  waiting(now: number): boolean {
    return now < this.#until;
  }

  /** Begins the pause after a failure, unless one lasts; gives what is left of it in ms. */
  next(now: number): number {
    if (!this.waiting(now)) {
      this.#until = now + this.#delay * (0.5 + Math.random());
      this.#delay = Math.min(this.#longest, 2 * this.#delay);
    }
    return this.#until - now;
  }

  /** Ends the pause after a success. */
  reset(): void {
    this.#delay = FIRST_DELAY_MS;
    this.#until = -Infinity;
  }
}
