/**
 * What each kind of statement takes at an instance that is not crowded.
 *
 * @module
 */

/** Weight of one measurement in a kind's mean; the first measurements weigh more. Thirty follow a change of the work. */
const WEIGHT = 0.03;

/** Measurements of a kind before statements are compared with it. */
const MIN_COUNT = 3;

/** Measurements that a mean counts for after it was scaled, since the scale is an estimate. */
const RESCALED_COUNT = 8;

/** Kinds that are kept; several times the ranks and operations of a deployment. */
const MAX_KINDS = 64;

/** Mean latency of a kind. */
export interface KindLatency {
  /** In ms. */
  readonly mean: number;
  /** Number of measurements that the mean counts for. */
  readonly count: number;
}

/** Mean latencies by kind. */
export class LatencyBaseline {
  readonly #kinds = new Map<string, { mean: number; count: number }>();

  /** Latency of a kind; undefined until it was measured often enough. */
  of(kind: string): KindLatency | undefined {
    const known = this.#kinds.get(kind);
    return known && known.count >= MIN_COUNT ? known : undefined;
  }

  /** Records a latency, in ms, at a moment when the instance was not crowded. */
  record(kind: string, latency: number): void {
    const known = this.#kinds.get(kind);
    if (!known) {
      if (this.#kinds.size >= MAX_KINDS) this.#kinds.clear();
      this.#kinds.set(kind, { mean: latency, count: 1 });
      return;
    }
    known.count = Math.min(known.count + 1, 1 / WEIGHT);
    known.mean += (latency - known.mean) / known.count;
  }

  /** Multiplies all means, since the instance has become slower or faster. */
  scale(factor: number): void {
    for (const known of this.#kinds.values()) {
      known.mean *= factor;
      known.count = Math.min(known.count, RESCALED_COUNT);
    }
  }
}
