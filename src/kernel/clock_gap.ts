/**
 * Notices that this host was suspended: the steady clock stood still while the
 * time of day went on. A time of day that is set by hand looks the same, which
 * costs no more than asking again.
 *
 * @module
 */

/** A difference between the clocks beyond this, in ms, is a gap; usual slewing stays far below it. */
const GAP_MS = 100;

/** Compares the two clocks. */
export class ClockGap {
  #offset = Date.now() - performance.now();
  #gaps = 0;

  /** Number of gaps so far. */
  count(): number {
    const offset = Date.now() - performance.now();
    if (Math.abs(offset - this.#offset) > GAP_MS) this.#gaps += 1;
    this.#offset = offset;
    return this.#gaps;
  }
}
