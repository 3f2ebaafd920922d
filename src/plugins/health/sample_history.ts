/**
 * Positions of the primary by local time, from which the age of a replica is derived
 * without comparing clocks of different hosts.
 *
 * @module
 */
import {
  comparePositions,
  containsPosition,
  type LogHistory,
  type Position,
} from "../upstream/position.ts";

/** A position of the confirmed primary; all writes acknowledged before `at` are at or below it. */
export interface Sample {
  /** Monotonic time in ms. */
  readonly at: number;
  readonly position: Position;
}

/** Minimum spacing of recent samples. */
const FINE_SPACING_MS = 10;
const FINE_SAMPLE_COUNT = 1_024;
/** Minimum spacing of older samples. */
const COARSE_SPACING_MS = 1_000;
const COARSE_SAMPLE_COUNT = 1_024;

/** Keeps closely spaced samples of the last seconds and coarse ones of the last quarter of an hour. */
export class SampleHistory {
  #coarse: Sample[] = [];
  #fine: Sample[] = [];

  /** The newest sample. */
  get latest(): Sample | undefined {
    return this.#fine.at(-1);
  }

  /** Adds a sample; ignores one that is not newer than the latest. */
  add(sample: Sample): void {
    const { latest } = this;
    if (latest && sample.at <= latest.at) return;
    if (latest && this.#replaces(sample, latest)) this.#fine.pop();
    this.#fine.push(sample);
    if (this.#fine.length >= 2 * FINE_SAMPLE_COUNT) this.#moveToCoarse();
  }

  /** The newest sample contained in a log with this history that ends at `lsn`. */
  newestContained(history: LogHistory, lsn: bigint): Sample | undefined {
    return newestContained(this.#fine, history, lsn) ??
      newestContained(this.#coarse, history, lsn);
  }

  /** The oldest sample at or after a position; undefined when all samples are before it. */
  firstCovering(position: Position): Sample | undefined {
    const coarse = this.#coarse.at(-1);
    const inCoarse = coarse !== undefined &&
      comparePositions(coarse.position, position) >= 0;
    const samples = inCoarse ? this.#coarse : this.#fine;
    return samples[countBelow(samples, position)];
  }

  /** The oldest sample after the given one; without an argument, the oldest of all. */
  firstAfter(sample: Sample | undefined): Sample | undefined {
    if (!sample) return this.#coarse[0] ?? this.#fine[0];
    return this.#coarse.find((item) => item.at > sample.at) ??
      this.#fine[countUntil(this.#fine, sample.at)];
  }

  /** Whether a sample replaces the latest: the position is unchanged, or the one before the latest is less than the fine spacing older than the sample. */
  #replaces(sample: Sample, latest: Sample): boolean {
    if (comparePositions(sample.position, latest.position) === 0) return true;
    const previous = this.#fine.at(-2);
    return previous !== undefined && sample.at - previous.at < FINE_SPACING_MS;
  }

  #moveToCoarse(): void {
    const old = this.#fine.splice(0, FINE_SAMPLE_COUNT);
    for (const sample of old) {
      const last = this.#coarse.at(-1);
      if (last && sample.at - last.at < COARSE_SPACING_MS) continue;
      this.#coarse.push(sample);
    }
    if (this.#coarse.length < 2 * COARSE_SAMPLE_COUNT) return;
    this.#coarse.splice(0, COARSE_SAMPLE_COUNT);
  }
}

function newestContained(
  samples: readonly Sample[],
  history: LogHistory,
  lsn: bigint,
): Sample | undefined {
  const bound = { term: history.lastTerm, lsn: lsn + 1n };
  for (let index = countBelow(samples, bound) - 1; index >= 0; index -= 1) {
    const sample = samples[index]!;
    if (containsPosition(history, lsn, sample.position)) return sample;
  }
  return undefined;
}

/** Number of samples with a position below the given one. */
function countBelow(samples: readonly Sample[], position: Position): number {
  return countWhile(
    samples,
    (sample) => comparePositions(sample.position, position) < 0,
  );
}

/** Number of samples at or before a time. */
function countUntil(samples: readonly Sample[], at: number): number {
  return countWhile(samples, (sample) => sample.at <= at);
}

/** Length of the prefix that fulfils the predicate, found by binary search. */
function countWhile(
  samples: readonly Sample[],
  predicate: (sample: Sample) => boolean,
): number {
  let low = 0;
  let high = samples.length;
  while (low < high) {
    const middle = (low + high) >>> 1;
    if (predicate(samples[middle]!)) low = middle + 1;
    else high = middle;
  }
  return low;
}
