/**
 * Estimates how long a change of primary takes. Statements that arrive during a
 * change are held if a new primary is expected before their deadline; all others
 * are refused at once with a time to retry.
 *
 * @module
 */

/**
 * Assumed duration of a change before one was measured, in ms: releasing the
 * old primary, one promotion of the slower users' databases, and detecting the
 * result.
 */
const FIRST_ESTIMATE_MS = 1_400;

/** Weight of a newly measured change in the moving average. */
const CHANGE_WEIGHT = 0.5;

/** How far a change may overrun its estimate, in ms, before statements are no longer held for it. */
const OVERDUE_TOLERANCE_MS = 500;

/** Moving average of the duration of primary changes in one group. */
export class ChangeEstimate {
  #expectedDuration = FIRST_ESTIMATE_MS;
  #startedAt: number | undefined;

  /**
   * Records the time (monotonic ms) from which the primary is unusable; later
   * calls during the same change are ignored.
   */
  start(at: number): void {
    this.#startedAt ??= at;
  }

  /** Records the time (monotonic ms) at which a primary is usable again. */
  finish(at: number): void {
    if (this.#startedAt === undefined) return;
    const duration = Math.min(at - this.#startedAt, 2 * FIRST_ESTIMATE_MS);
    this.#expectedDuration += CHANGE_WEIGHT *
      (duration - this.#expectedDuration);
    this.#startedAt = undefined;
  }

  /**
   * Expected time until a primary is usable, in ms; 0 if one is due, undefined
   * if the change is overdue by more than the tolerance.
   */
  remaining(now: number): number | undefined {
    const remaining = (this.#startedAt ?? now) + this.#expectedDuration - now;
    if (remaining < -OVERDUE_TOLERANCE_MS) return undefined;
    return Math.max(0, remaining);
  }
}
