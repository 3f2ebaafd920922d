/**
 * How long work at a primary waits for a change of it. Load that it answers: all
 * statements of a group's primary arrive while it is replaced; those that can
 * still be served in time are held, the others are told at once when to return.
 *
 * @module
 */

/** Assumed length of a change before one was seen, in ms: letting go, one promotion of the slower users' databases, and finding out. */
const FIRST_ESTIMATE_MS = 1_400;

/** Weight of a change that was seen in the estimate. */
const WEIGHT = 0.5;

/** How much longer than estimated a change may take before nobody is held for it, in ms. */
const OVERDUE_MS = 500;

/** Estimates the changes of one group's primary. */
export class ChangeEstimate {
  #expectedDuration = FIRST_ESTIMATE_MS;
  #startedAt: number | undefined;

  /** Notes that the primary can't be used since a time (monotonic ms); the first such time counts. */
  start(at: number): void {
    this.#startedAt ??= at;
  }

  /** Notes that there is a primary to use again. */
  finish(at: number): void {
    if (this.#startedAt === undefined) return;
    const length = Math.min(at - this.#startedAt, 2 * FIRST_ESTIMATE_MS);
    this.#expectedDuration += WEIGHT * (length - this.#expectedDuration);
    this.#startedAt = undefined;
  }

  /** Time, in ms, after which a primary is expected; 0 when one may come any moment, undefined when that is not known any more. */
  remaining(now: number): number | undefined {
    const left = (this.#startedAt ?? now) + this.#expectedDuration - now;
    if (left < -OVERDUE_MS) return undefined;
    return Math.max(0, left);
  }
}
