/**
 * Mean of a time that is measured again and again, such as that for which a
 * connection is lent.
 *
 * @module
 */

/** Weight of one loan in the mean. */
const WEIGHT = 0.02;

/** Exponentially weighted mean; 0 until the first loan has ended. */
export class MeanDuration {
  #mean = 0;
  #count = 0;

  /** Notes the duration of a loan in ms. */
  note(duration: number): void {
    this.#count += 1;
    const weight = Math.max(WEIGHT, 1 / this.#count);
    this.#mean += (duration - this.#mean) * weight;
  }

  /** The mean in ms. */
  get mean(): number {
    return this.#mean;
  }
}
