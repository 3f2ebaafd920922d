/**
 * The smoothed demand for connections to one instance: the mean of the load
 * over time. A peak is left out on purpose, since what a proxy holds for its
 * peaks stands idle between them while others wait; statements that wait raise
 * the mean by themselves.
 *
 * @module
 */

/** Interval between two samples. */
export const DEMAND_SAMPLE_MS = 250;

const RISE_FACTOR = 0.5;
const FALL_FACTOR = 0.2;

/** A demand below this counts as none. */
const NEGLIGIBLE = 0.1;

/** A change of the published demand below this part of it is kept back. */
const MIN_CHANGE_FRACTION = 0.2;
const MIN_CHANGE_CONNECTIONS = 2;

/** Meter of one instance. */
export class DemandMeter {
  #load = 0;
  #since = performance.now();
  #sampledAt = this.#since;
  /** Integral of the load over time since the last sample. */
  #area = 0;
  #smoothed = 0;
  #published = 0;

  /** Notes a change of the load: connections in use and statements that wait. */
  note(load: number, now = performance.now()): void {
    this.#area += this.#load * (now - this.#since);
    this.#since = now;
    this.#load = load;
  }

  /** Ends a sample interval. */
  sample(now = performance.now()): void {
    this.note(this.#load, now);
    const elapsed = now - this.#sampledAt;
    if (elapsed <= 0) return;
    const mean = this.#area / elapsed;
    const factor = mean > this.#smoothed ? RISE_FACTOR : FALL_FACTOR;
    this.#smoothed += (mean - this.#smoothed) * factor;
    if (this.#smoothed < NEGLIGIBLE) this.#smoothed = 0;
    this.#area = 0;
    this.#sampledAt = now;
  }

  /** The smoothed demand in whole connections. */
  get wanted(): number {
    return Math.ceil(this.#smoothed);
  }

  /** The demand as last published. */
  get published(): number {
    return this.#published;
  }

  /** Whether the demand has moved far enough from the published one. */
  get hasChanged(): boolean {
    const wanted = this.wanted;
    if (wanted === this.#published) return false;
    if (wanted === 0 || this.#published === 0) return true;
    const change = Math.abs(wanted - this.#published);
    const least = Math.max(
      MIN_CHANGE_CONNECTIONS,
      this.#published * MIN_CHANGE_FRACTION,
    );
    return change >= least;
  }

  /** Marks the present demand as published. */
  publish(): void {
    this.#published = this.wanted;
  }
}
