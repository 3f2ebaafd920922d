/**
 * Detects that this host was suspended: the monotonic clock stopped while the
 * wall clock went on. A wall clock that is set manually looks the same; such a
 * false positive only costs a repeated query.
 *
 * @module
 */

/** Smallest change of the offset between the clocks that counts as a gap; normal clock slewing stays far below it. */
const GAP_MS = 100;

/** Detects gaps by comparing the wall clock with the monotonic clock. */
export class ClockGapDetector {
  #offset = Date.now() - performance.now();
  #gaps = 0;

  /** Compares the clocks; returns the number of gaps detected so far. */
  count(): number {
    const offset = Date.now() - performance.now();
    if (Math.abs(offset - this.#offset) > GAP_MS) this.#gaps += 1;
    this.#offset = offset;
    return this.#gaps;
  }
}
