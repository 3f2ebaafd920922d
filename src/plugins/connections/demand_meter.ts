/**
 * The smoothed demand for connections to one instance: quick to rise, slow to
 * fall, so that what proxies tell each other changes seldom.
 *
 * @module
 */

/** Interval between two samples. */
export const DEMAND_SAMPLE_MS = 250;

const RISE_FACTOR = 0.5;
const FALL_FACTOR = 0.05;

/** A demand below this counts as none. */
const NEGLIGIBLE = 0.2;

/** A change of the published demand below this part of it is kept back. */
const PUBLISHED_CHANGE_PART = 0.2;
const PUBLISHED_CHANGE_LEAST = 2;

/** Meter of one instance. */
export class DemandMeter {
  #peak = 0;
  #smoothed = 0;
  #published = 0;

  /** Notes connections in use and statements that wait. */
  note(load: number): void {
    if (load > this.#peak) this.#peak = load;
  }

  /** Ends a sample interval; `load` is the present load. */
  sample(load: number): void {
    const peak = Math.max(this.#peak, load);
    const factor = peak > this.#smoothed ? RISE_FACTOR : FALL_FACTOR;
    this.#smoothed += (peak - this.#smoothed) * factor;
    if (this.#smoothed < NEGLIGIBLE) this.#smoothed = 0;
    this.#peak = load;
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
  get moved(): boolean {
    const wanted = this.wanted;
    if (wanted === this.#published) return false;
    if (wanted === 0 || this.#published === 0) return true;
    const change = Math.abs(wanted - this.#published);
    const least = Math.max(
      PUBLISHED_CHANGE_LEAST,
      this.#published * PUBLISHED_CHANGE_PART,
    );
    return change >= least;
  }

  /** Marks the present demand as published. */
  publish(): void {
    this.#published = this.wanted;
  }
}
