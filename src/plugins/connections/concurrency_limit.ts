/**
 * Adaptive limit on the statements that one proxy has in flight at an instance.
 * It is needed when many proxies share an instance with few slots and a short
 * queue: each proxy would send as many statements as it has connections, and
 * those beyond the instance's queue would be rejected after a full round trip
 * and sent again, without any being served sooner. Rejections lower the limit
 * and successes raise it slowly (additive increase, multiplicative decrease), so
 * that the other statements wait in the proxy, ordered by priority.
 *
 * @module
 */
import { clock } from "../../kernel/clock.ts";

/** Initial limit for an instance; each success raises it by one until the first rejection. */
const INITIAL_IN_FLIGHT_COUNT = 2;

/** Factor by which a rejection lowers the limit. */
const DECREASE_FACTOR = 0.7;

/** The limit is lowered at most once per interval: rejections of statements sent before the decrease carry no new information. */
const DECREASE_INTERVAL_MS = 60;

/** Increase of the limit per as many successes as the limit allows statements. */
const INCREASE_STEP = 0.2;

/** Longest pause after a rejection while the limit is one statement; the instance's short queue advances in the meantime. */
const MAX_PAUSE_MS = 120;

/** Concurrency limit of one proxy at one instance. */
export class ConcurrencyLimit {
  readonly #countMostlyIdle: () => number;
  #maxInFlight = INITIAL_IN_FLIGHT_COUNT;
  /** Whether no statement was rejected yet, so that the instance's capacity is unknown. */
  #isSlowStart = true;
  #decreasedAt = -Infinity;
  #pausedUntil = -Infinity;

  /** `countMostlyIdle` returns how many of the connections in use are mostly idle, such as those of transactions. */
  constructor(countMostlyIdle: () => number) {
    this.#countMostlyIdle = countMostlyIdle;
  }

  /** Maximum number of useful connections: the mostly idle ones and one per statement in flight. */
  get maxInUse(): number {
    return this.maxInFlight + this.#countMostlyIdle();
  }

  /** Whether another statement may be sent while `inUse` connections are in use. */
  allows(inUse: number, now = clock.now()): boolean {
    return inUse < this.maxInUse && this.remainingPause(now) === 0;
  }

  /** Maximum number of statements in flight; at least one. */
  get maxInFlight(): number {
    return Math.max(1, Math.floor(this.#maxInFlight));
  }

  /** Remaining time, in ms, during which no statement may be sent. */
  remainingPause(now = clock.now()): number {
    return Math.max(0, this.#pausedUntil - now);
  }

  /** Records that the instance rejected a statement while `inUse` connections were in use. */
  recordRejection(inUse: number, now = clock.now()): void {
    if (now - this.#decreasedAt < DECREASE_INTERVAL_MS) return;
    this.#decreasedAt = now;
    this.#isSlowStart = false;
    const limit = Math.min(
      this.#maxInFlight,
      Math.max(1, inUse - this.#countMostlyIdle()),
    );
    if (limit < 2) this.#pausedUntil = now + MAX_PAUSE_MS * Math.random();
    this.#maxInFlight = Math.max(1, DECREASE_FACTOR * limit);
  }

  /** Records a success; the limit is lifted once it exceeds `maxOpen`, the maximum number of open connections. */
  recordSuccess(maxOpen: number): void {
    if (this.#maxInFlight === Infinity) return;
    this.#maxInFlight += this.#isSlowStart
      ? 1
      : INCREASE_STEP / this.#maxInFlight;
    if (this.#maxInFlight > maxOpen) this.#maxInFlight = Infinity;
  }
}
