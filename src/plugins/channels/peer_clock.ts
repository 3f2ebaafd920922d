/**
 * A lower bound on the clock of the process at the other end of a connection,
 * from the stamps that it sends.
 *
 * @module
 */

/** How much two clocks may run apart: the kernel slews a clock by at most 500 parts per million. */
const MAX_DRIFT = 500e-6;

/** Bound on the clock of one process. */
export class PeerClock {
  #stamp: number | undefined;
  /** Local monotonic ms at which the stamp arrived. */
  #receivedAt = 0;

  /** Records a stamp; the one that gives the latest bound is kept. */
  record(stamp: number, receivedAt: number): void {
    const bound = this.earliest(receivedAt);
    if (bound !== undefined && stamp < bound) return;
    this.#stamp = stamp;
    this.#receivedAt = receivedAt;
  }

  /** The earliest time that the clock can show at the local time `at`, both in ms; undefined before the first stamp. */
  earliest(at: number): number | undefined {
    if (this.#stamp === undefined) return undefined;
    const elapsed = at - this.#receivedAt;
    return this.#stamp + elapsed - MAX_DRIFT * Math.abs(elapsed);
  }
}
