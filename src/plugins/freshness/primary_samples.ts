/**
 * How far the log of a group's primary was at known moments. What a statement
 * sent at time t reads as the end of the primary's log covers every commit that
 * anyone acknowledged before t, as long as that instance led at t.
 *
 * @module
 */
import {
  comparePositions,
  laterPosition,
  type Position,
} from "../upstream/position.ts";

/** A position of the primary; all that was acknowledged before `at` is at or below it. */
export interface PrimarySample {
  /** Monotonic ms. */
  readonly at: number;
  readonly position: Position;
}

/** Samples closer together than this replace one another. */
const SPACING_MS = 20;

/** Samples older than this serve no bound on age that the routes use, in ms. */
const RETENTION_MS = 30_000;

/** Samples of one group. */
export class PrimarySamples {
  #samples: PrimarySample[] = [];

  /** The newest sample. */
  get latest(): PrimarySample | undefined {
    return this.#samples.at(-1);
  }

  /** Adds a sample; one of a higher term replaces all before it. */
  add(sample: PrimarySample): void {
    const latest = this.latest;
    if (latest && sample.position.term > latest.position.term) {
      this.#samples = [sample];
      return;
    }
    if (latest && sample.position.term < latest.position.term) return;
    if (latest && sample.at <= latest.at) return;
    const before = this.#samples.at(-2);
    if (before && sample.at - before.at < SPACING_MS) this.#samples.pop();
    this.#samples.push(sample);
    while (sample.at - this.#samples[0]!.at > RETENTION_MS) {
      this.#samples.shift();
    }
  }

  /** The lowest position that covers all that was acknowledged before a time; undefined when no sample is that young. */
  covering(time: number): Position | undefined {
    return this.#first((sample) => sample.at >= time)?.position;
  }

  /**
   * The position that a read needs to show all that was acknowledged before
   * `time` and what its own session wrote. A position of an earlier term is
   * left out: whatever of it survived is covered by any sample of the new term.
   */
  required(time: number, own: Position | undefined): Position | undefined {
    const shared = this.covering(time);
    if (!shared || !own) return shared;
    if (own.term < shared.term) return shared;
    return laterPosition(shared, own);
  }

  /** Monotonic ms at which the primary was first seen at a position or beyond; Infinity when it was not. */
  reachedAt(position: Position): number {
    return this.#first((sample) =>
      comparePositions(sample.position, position) >= 0
    )?.at ?? Infinity;
  }

  /** Monotonic ms at which the primary was first seen beyond a position; undefined when it was not. */
  passedAt(position: Position): number | undefined {
    return this.#first((sample) =>
      comparePositions(sample.position, position) > 0
    )?.at;
  }

  /** The oldest sample for which a test holds that holds for all after it. */
  #first(test: (sample: PrimarySample) => boolean): PrimarySample | undefined {
    let low = 0;
    let high = this.#samples.length;
    while (low < high) {
      const middle = (low + high) >>> 1;
      if (test(this.#samples[middle]!)) high = middle;
      else low = middle + 1;
    }
    return this.#samples[low];
  }
}
