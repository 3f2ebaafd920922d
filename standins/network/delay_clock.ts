/**
 * One timer for all delayed data: it ticks only while something is delayed.
 *
 * @module
 */

const TICK_MS = 1;

/** Something that holds delayed data. */
export interface Delayed {
  /** Passes on what is due; true while more is delayed. */
  flush(now: number): boolean;
}

/** Calls all that hold delayed data once per tick. */
export class DelayClock {
  readonly #waiting = new Set<Delayed>();
  #ticking = false;

  /** Adds one until its `flush` says that nothing is left. */
  add(delayed: Delayed): void {
    this.#waiting.add(delayed);
    if (this.#ticking) return;
    this.#ticking = true;
    setTimeout(() => this.#tick(), TICK_MS);
  }

  #tick(): void {
    // Half a tick early at most, so that the mean delay is the one asked for.
    const now = performance.now() + TICK_MS / 2;
    for (const delayed of this.#waiting) {
      if (!delayed.flush(now)) this.#waiting.delete(delayed);
    }
    this.#ticking = this.#waiting.size > 0;
    if (this.#ticking) setTimeout(() => this.#tick(), TICK_MS);
  }
}
