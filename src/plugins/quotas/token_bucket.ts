/**
 * A token bucket that is filled when it is looked at.
 *
 * @module
 */

const MS_PER_SECOND = 1_000;

/** Amount that a rate per second gives in a time in ms. */
export function accrue(rate: number, elapsed: number): number {
  return rate * elapsed / MS_PER_SECOND;
}

/** Time in ms in which a rate per second gives an amount; Infinity at a rate of 0. */
export function timeToAccrue(amount: number, rate: number): number {
  if (amount <= 0) return 0;
  return rate > 0 ? amount * MS_PER_SECOND / rate : Infinity;
}

/** Tokens, each of which admits one operation; fractions add up. */
export class TokenBucket {
  #level: number;
  #filledAt: number;

  constructor(level: number, now: number) {
    this.#level = level;
    this.#filledAt = now;
  }

  get level(): number {
    return this.#level;
  }

  /** Adds what the rate gives for the time since the last call, up to the capacity; returns the level. */
  refill(now: number, rate: number, capacity: number): number {
    if (now > this.#filledAt) {
      this.#level += accrue(rate, now - this.#filledAt);
      this.#filledAt = now;
    }
    this.#level = Math.min(this.#level, capacity);
    return this.#level;
  }

  add(amount: number): void {
    this.#level += amount;
  }

  /** Removes tokens; the caller has checked that they are there. */
  remove(amount: number): void {
    this.#level -= amount;
  }
}

/** Measures how often something happens, as the number in the last seconds with older ones counting less. */
export class RateMeter {
  readonly #window: number;
  #value = 0;
  #at = 0;

  /** `window` is the time in ms over which the rate is averaged. */
  constructor(window: number) {
    this.#window = window;
  }

  add(count: number, now: number): void {
    this.#value = this.#decayed(now) + count;
    this.#at = now;
  }

  /** Events per second. */
  rate(now: number): number {
    return this.#decayed(now) * MS_PER_SECOND / this.#window;
  }

  #decayed(now: number): number {
    return this.#value * Math.exp((this.#at - now) / this.#window);
  }
}
