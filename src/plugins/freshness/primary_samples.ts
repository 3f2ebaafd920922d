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
const KEEP_MS = 30_000;

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
    while (sample.at - this.#samples[0]!.at > KEEP_MS) this.#samples.shift();
  }

  /** The lowest position that covers all that was acknowledged before a time; undefined when no sample is that young. */
  covering(time: number): Position | undefined {
    let low = 0;
    let high = this.#samples.length;
    while (low < high) {
      const middle = (low + high) >>> 1;
      if (this.#samples[middle]!.at < time) low = middle + 1;
      else high = middle;
    }
    return this.#samples[low]?.position;
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

  /** How old, in ms, data that end at a position may be; Infinity when that is not known. */
  age(position: Position, now: number): number {
    for (let index = this.#samples.length - 1; index >= 0; index -= 1) {
      const sample = this.#samples[index]!;
      if (comparePositions(sample.position, position) <= 0) {
        return now - sample.at;
      }
    }
    return Infinity;
  }
}
