/**
 * Recent latencies relative to what the same kinds of statements take when the
 * instance is not crowded.
 *
 * @module
 */
import type { KindLatency } from "./latency_baseline.ts";

/** Statements that the ratio averages over: with durations that vary as much as their mean, it is then exact to a seventh. */
const SIZE = 24;

/** Standard deviations that a ratio must differ by to count: one of some 50,000 ratios does so by chance. */
const SIGNIFICANCE = 4;

/** Moving averages of latency and baseline. */
export class LatencyRatio {
  #latency = 0;
  #expected = 0;
  /** Of the squares of the expected latencies: with mixed kinds a few long statements decide. */
  #square = 0;
  /** Of the relative variance of the baselines. */
  #uncertainty = 0;
  #inFlight = 0;
  #count = 0;

  /** Number of statements since the last reset. */
  get count(): number {
    return this.#count;
  }

  /** Mean number of statements in flight when they were sent. */
  get inFlight(): number {
    return this.#inFlight;
  }

  /** How many times as long statements take as when the instance is not crowded. */
  get value(): number {
    return this.#expected > 0 ? this.#latency / this.#expected : 1;
  }

  /** Difference from 1 that is not by chance, relative to the ratio. */
  get noise(): number {
    const distinct = this.#expected ** 2 / this.#square;
    const count = Math.min(this.#count, 2 * SIZE) * distinct;
    // The last term stands for the long tail of a sum of few durations.
    return SIGNIFICANCE *
      (Math.sqrt(1 / count + this.#uncertainty) + 1 / count);
  }

  /** Records a statement that was sent when `inFlight` were in flight. */
  record(latency: number, baseline: KindLatency, inFlight: number): void {
    this.#count += 1;
    const weight = Math.max(1 / this.#count, 1 / SIZE);
    this.#latency += weight * (latency - this.#latency);
    this.#expected += weight * (baseline.mean - this.#expected);
    this.#square += weight * (baseline.mean ** 2 - this.#square);
    this.#inFlight += weight * (inFlight - this.#inFlight);
    // The kinds' errors are independent; three of them is the usual number.
    const variance = 1 / baseline.count / 3;
    this.#uncertainty += weight * (variance - this.#uncertainty);
  }

  /** Forgets all statements. */
  reset(): void {
    this.#latency = this.#expected = this.#square = 0;
    this.#uncertainty = this.#inFlight = this.#count = 0;
  }
}
