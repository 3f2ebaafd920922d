/**
 * Moving average of a duration, such as the time for which a connection is in use.
 *
 * @module
 */

/** Weight of one measurement in the mean; the first measurements weigh more. */
const WEIGHT = 0.02;

/** Exponentially weighted moving average; 0 before the first measurement. */
export class MeanDuration {
  #mean = 0;
  #count = 0;

  /** Records a duration in ms. */
  record(duration: number): void {
    this.#count += 1;
    const weight = Math.max(WEIGHT, 1 / this.#count);
    this.#mean += (duration - this.#mean) * weight;
  }

  /** The mean in ms. */
  get mean(): number {
    return this.#mean;
  }
}
