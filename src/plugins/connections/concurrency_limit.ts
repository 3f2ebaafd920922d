/**
 * Bounds the statements that one proxy has at an instance at a time. Load that
 * it answers: many proxies share an instance of a few slots and a short queue,
 * and each alone would send as many statements as it has connections. What is
 * beyond the queue is turned away after a whole round trip and sent again,
 * while none is served sooner. Statements that were turned away lower the bound,
 * answers raise it slowly (additive increase, multiplicative decrease), so that
 * the rest waits here, in order of priority.
 *
 * @module
 */

/** Statements that a proxy sends to an instance that it knows nothing of; each answer then allows one more. */
const FIRST_BOUND = 2;

/** Part of the bound that is left after a statement was turned away. */
const DECREASE_PART = 0.7;

/** The bound falls once in this time, in ms: answers to what was sent before tell nothing new. */
const DECREASE_INTERVAL_MS = 60;

/** Rise of the bound over as many answers as it allows statements. */
const INCREASE = 0.2;

/** Longest pause, in ms, of a proxy whose last single statement was turned away: a short queue at the instance moves on meanwhile. */
const PAUSE_MS = 120;

/** Bound of one proxy at one instance. */
export class ConcurrencyLimit {
  readonly #countMostlyIdle: () => number;
  #bound = FIRST_BOUND;
  /** Whether no statement was turned away yet, so that nothing is known of the instance. */
  #isSlowStart = true;
  #decreasedAt = -Infinity;
  #pausedUntil = -Infinity;

  /** `resting` tells how many of the lent connections mostly rest, such as those of transactions. */
  constructor(resting: () => number) {
    this.#countMostlyIdle = resting;
  }

  /** Connections that are of use: those that rest and one for each statement that may be under way. */
  get connections(): number {
    return this.maxInFlight + this.#countMostlyIdle();
  }

  /** Whether one more statement may be sent while so many connections are lent. */
  allows(lent: number, now = performance.now()): boolean {
    return lent < this.connections && this.pause(now) === 0;
  }

  /** Statements that may be under way; at least one. */
  get maxInFlight(): number {
    return Math.max(1, Math.floor(this.#bound));
  }

  /** Time, in ms, for which no statement is to be sent. */
  pause(now = performance.now()): number {
    return Math.max(0, this.#pausedUntil - now);
  }

  /** Notes that the instance turned a statement away while so many connections were lent. */
  recordRejection(lent: number, now = performance.now()): void {
    if (now - this.#decreasedAt < DECREASE_INTERVAL_MS) return;
    this.#decreasedAt = now;
    this.#isSlowStart = false;
    const bound = Math.min(
      this.#bound,
      Math.max(1, lent - this.#countMostlyIdle()),
    );
    if (bound < 2) this.#pausedUntil = now + PAUSE_MS * Math.random();
    this.#bound = Math.max(1, DECREASE_PART * bound);
  }

  /** Notes an answer; a bound above the most connections that may be open is none. */
  recordSuccess(most: number): void {
    if (this.#bound === Infinity) return;
    this.#bound += this.#isSlowStart ? 1 : INCREASE / this.#bound;
    if (this.#bound > most) this.#bound = Infinity;
  }
}
