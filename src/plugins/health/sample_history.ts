/**
 * Positions of the primary by local time, from which the age of a replica follows
 * without comparing clocks.
 *
 * @module
 */
import {
  comparePositions,
  containsPosition,
  type LogHistory,
  type Position,
} from "../upstream/position.ts";

/** A position of the confirmed primary; all that was acknowledged before `at` is at or below it. */
export interface Sample {
  /** Monotonic ms. */
  readonly at: number;
  readonly position: Position;
}

/** Distance of the samples of the last seconds. */
const FINE_SPACING_MS = 10;
const FINE_SAMPLES = 1_024;
/** Distance of older samples. */
const COARSE_SPACING_MS = 1_000;
const COARSE_SAMPLES = 1_024;

/** Keeps fine samples of the last seconds and coarse ones of the last quarter of an hour. */
export class SampleHistory {
  #coarse: Sample[] = [];
  #fine: Sample[] = [];

  /** The newest sample. */
  get latest(): Sample | undefined {
    return this.#fine.at(-1);
  }

  /** Adds a sample that is newer than all before it. */
  add(sample: Sample): void {
    const { latest } = this;
    if (latest && sample.at <= latest.at) return;
    if (latest && this.#replaces(sample, latest)) this.#fine.pop();
    this.#fine.push(sample);
    if (this.#fine.length >= 2 * FINE_SAMPLES) this.#demote();
  }

  /** The newest sample that a log present up to `lsn` contains. */
  newestContained(history: LogHistory, lsn: bigint): Sample | undefined {
    return newestContained(this.#fine, history, lsn) ??
      newestContained(this.#coarse, history, lsn);
  }

  /** The oldest sample at or after a position; undefined when the position is newer than all. */
  firstCovering(position: Position): Sample | undefined {
    const coarse = this.#coarse.at(-1);
    const inCoarse = coarse !== undefined &&
      comparePositions(coarse.position, position) >= 0;
    const samples = inCoarse ? this.#coarse : this.#fine;
    return samples[countBelow(samples, position)];
  }

  /** The oldest sample after the given one. */
  next(sample: Sample | undefined): Sample | undefined {
    if (!sample) return this.#coarse[0] ?? this.#fine[0];
    return this.#coarse.find((item) => item.at > sample.at) ??
      this.#fine[countUntil(this.#fine, sample.at)];
  }

  /** An unchanged position is confirmed anew; a sample right after its predecessor's predecessor is not needed. */
  #replaces(sample: Sample, latest: Sample): boolean {
    if (comparePositions(sample.position, latest.position) === 0) return true;
    const before = this.#fine.at(-2);
    return before !== undefined && sample.at - before.at < FINE_SPACING_MS;
  }

  #demote(): void {
    const old = this.#fine.splice(0, FINE_SAMPLES);
    for (const sample of old) {
      const last = this.#coarse.at(-1);
      if (last && sample.at - last.at < COARSE_SPACING_MS) continue;
      this.#coarse.push(sample);
    }
    if (this.#coarse.length < 2 * COARSE_SAMPLES) return;
    this.#coarse.splice(0, COARSE_SAMPLES);
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

/** Number of samples up to a time. */
function countUntil(samples: readonly Sample[], at: number): number {
  return countWhile(samples, (sample) => sample.at <= at);
}

/** Length of the leading part for which the test holds, by binary search. */
function countWhile(
  samples: readonly Sample[],
  test: (sample: Sample) => boolean,
): number {
  let low = 0;
  let high = samples.length;
  while (low < high) {
    const middle = (low + high) >>> 1;
    if (test(samples[middle]!)) low = middle + 1;
    else high = middle;
  }
  return low;
}
