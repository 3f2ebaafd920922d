/**
 * How much an instance is trusted that fails some of its statements.
 *
 * @module
 */

/** Weight of one statement in the failure rate; twenty statements show a change. */
const WEIGHT = 0.05;

/** Weight of one statement in the usual rate, which follows the rate within some thirty statements more. */
const USUAL_WEIGHT = 0.03;

/** Rate up to which an instance is fully trusted: failures that callers cause, and chance. */
const TOLERATED_RATE = 0.2;

/** Failure rate of an instance. */
export class FailureRate {
  #rate = 0;
  #usual = 0;

  /**
   * Part of its pace that the instance is trusted with. A rate that has just risen takes its full part
   * away, since a lower pace may help. A lasting one takes its square: fewer statements fail no less,
   * and most callers are still served.
   */
  get trust(): number {
    const rate = this.#rate;
    if (rate < TOLERATED_RATE) return 1;
    return 1 - Math.max(rate ** 2, rate - this.#usual);
  }

  /** Records a statement that ran. */
  record(hasFailed: boolean): void {
    this.#rate += ((hasFailed ? 1 : 0) - this.#rate) * WEIGHT;
    this.#usual += (this.#rate - this.#usual) * USUAL_WEIGHT;
  }
}
