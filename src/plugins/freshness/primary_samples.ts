/**
 * Log positions of a group's primary at known times. The end of the primary's log
 * as read by a statement that was sent at time t covers every commit that was
 * acknowledged before t, provided that the instance was the leader at t.
 *
 * @module
 */
import {
  comparePositions,
  laterPosition,
  type Position,
} from "../upstream/position.ts";

/** A log position of the primary; every commit acknowledged before `at` is at or below it. */
export interface PrimarySample {
  /** Monotonic ms. */
  readonly at: number;
  readonly position: Position;
}

/** Minimum distance between retained samples, in ms; a closer one replaces its predecessor. */
const SPACING_MS = 20;

/** Retention time of samples, in ms; older ones serve no age limit that the routes use. */
export const MAX_SAMPLE_AGE_MS = 30_000;

/** Time-ordered position samples of one group's primary. */
export class PrimarySamples {
  #samples: PrimarySample[] = [];

  get latest(): PrimarySample | undefined {
    return this.#samples.at(-1);
  }

  /** Adds a sample; a higher term discards all earlier samples. Samples of a lower term or out of order are ignored. */
  add(sample: PrimarySample): void {
    const latest = this.latest;
    if (latest && sample.position.term > latest.position.term) {
      this.#samples = [sample];
      return;
    }
    if (latest && sample.position.term < latest.position.term) return;
    if (latest && sample.at <= latest.at) return;
    const previous = this.#samples.at(-2);
    if (previous && sample.at - previous.at < SPACING_MS) this.#samples.pop();
    this.#samples.push(sample);
    while (sample.at - this.#samples[0]!.at > MAX_SAMPLE_AGE_MS) {
      this.#samples.shift();
    }
  }

  /**
   * The lowest sampled position that covers every commit acknowledged before a
   * time; undefined if no sample is recent enough.
   */
  covering(time: number): Position | undefined {
    return this.#findFirst((sample) => sample.at >= time)?.position;
  }

  /**
   * The position that a read needs to include every commit acknowledged before
   * `time` and its own session's writes. A session position of an earlier term is
   * ignored: any sample of the new term covers all writes that survived.
   */
  required(
    time: number,
    sessionPosition: Position | undefined,
  ): Position | undefined {
    const shared = this.covering(time);
    if (!shared || !sessionPosition) return shared;
    if (sessionPosition.term < shared.term) return shared;
    return laterPosition(shared, sessionPosition);
  }

  /** Monotonic ms of the first sample at or beyond a position; Infinity if there is none. */
  reachedAt(position: Position): number {
    return this.#findFirst((sample) =>
      comparePositions(sample.position, position) >= 0
    )?.at ?? Infinity;
  }

  /** Monotonic ms of the first sample beyond a position; undefined if there is none. */
  passedAt(position: Position): number | undefined {
    return this.#findFirst((sample) =>
      comparePositions(sample.position, position) > 0
    )?.at;
  }

  /**
   * Binary search for the oldest sample that passes a test; the test must also
   * pass for all later samples.
   */
  #findFirst(
    test: (sample: PrimarySample) => boolean,
  ): PrimarySample | undefined {
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
