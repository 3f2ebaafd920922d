/**
 * Counts and latencies of statements by kind.
 *
 * @module
 */
import {
  build,
  decodeFromCompressedBase64,
  encodeIntoCompressedBase64,
  type Histogram,
} from "hdr-histogram-js";
import { type CallerReport, INTERVAL_MS, type KindReport } from "./orders.ts";

const MICROSECONDS_PER_MS = 1_000;
const HIGHEST_LATENCY_US = 60_000_000;

/** The tally of one kind. */
export class KindTally {
  done = 0;
  unexplained = 0;
  readonly errors: Record<string, number> = {};
  readonly latency = createHistogram();
  readonly errorLatency = createHistogram();
  readonly doneByInterval: number[] = [];
  readonly errorsByInterval: number[] = [];

  get failed(): number {
    return Object.values(this.errors).reduce((sum, count) => sum + count, 0);
  }

  /** Adds what a caller process has counted. */
  add(report: KindReport): void {
    this.done += report.done;
    this.unexplained += report.unexplained;
    for (const [code, count] of Object.entries(report.errors)) {
      this.errors[code] = (this.errors[code] ?? 0) + count;
    }
    this.latency.add(decodeFromCompressedBase64(report.latency));
    this.errorLatency.add(decodeFromCompressedBase64(report.errorLatency));
    addAll(this.doneByInterval, report.doneByInterval);
    addAll(this.errorsByInterval, report.errorsByInterval);
  }

  report(): KindReport {
    return {
      done: this.done,
      unexplained: this.unexplained,
      errors: this.errors,
      latency: encodeIntoCompressedBase64(this.latency),
      errorLatency: encodeIntoCompressedBase64(this.errorLatency),
      doneByInterval: Array.from(this.doneByInterval, (count) => count ?? 0),
      errorsByInterval: Array.from(
        this.errorsByInterval,
        (count) => count ?? 0,
      ),
    };
  }
}

/** Tallies of all kinds. */
export class Tally {
  readonly kinds = new Map<string, KindTally>();
  readYourWritesViolations = 0;
  ageViolations = 0;
  readonly #startAt: number;

  /** `startAt` is in ms since the epoch. */
  constructor(startAt = Date.now()) {
    this.#startAt = startAt;
  }

  kind(name: string): KindTally {
    let tally = this.kinds.get(name);
    if (!tally) this.kinds.set(name, tally = new KindTally());
    return tally;
  }

  /** Notes an answer; `begun` is monotonic ms. */
  done(name: string, begun: number): void {
    const tally = this.kind(name);
    tally.done += 1;
    record(tally.latency, begun);
    count(tally.doneByInterval, this.#startAt);
  }

  /** Notes a refusal or an error. */
  failed(name: string, begun: number, error: unknown): void {
    const tally = this.kind(name);
    const { code = "connection", detail = "" } = error as {
      readonly code?: string;
      readonly detail?: string;
    };
    const number = /marjoramshed code (\d+)/.exec(detail)?.[1];
    const key = number ? `${code}/${number}` : code;
    tally.errors[key] = (tally.errors[key] ?? 0) + 1;
    if (!/Not run|Outcome unknown/.test(detail)) tally.unexplained += 1;
    record(tally.errorLatency, begun);
    count(tally.errorsByInterval, this.#startAt);
  }

  add(report: CallerReport): void {
    for (const [name, kind] of Object.entries(report.kinds)) {
      this.kind(name).add(kind);
    }
    this.readYourWritesViolations += report.readYourWritesViolations;
    this.ageViolations += report.ageViolations;
  }

  report(): CallerReport {
    return {
      kinds: Object.fromEntries(
        [...this.kinds].map(([name, kind]) => [name, kind.report()]),
      ),
      readYourWritesViolations: this.readYourWritesViolations,
      ageViolations: this.ageViolations,
    };
  }

  /** Sums over all kinds. */
  total(value: (kind: KindTally) => number): number {
    return [...this.kinds.values()].reduce((sum, kind) => sum + value(kind), 0);
  }
}

/** Value of a histogram at a percentile, in ms with three digits. */
export function percentileMs(histogram: Histogram, percentile: number): number {
  const value = histogram.getValueAtPercentile(percentile);
  return Number((value / MICROSECONDS_PER_MS).toFixed(2));
}

function createHistogram(): Histogram {
  return build({
    highestTrackableValue: HIGHEST_LATENCY_US,
    numberOfSignificantValueDigits: 3,
  });
}

function record(histogram: Histogram, begun: number): void {
  const elapsed = (performance.now() - begun) * MICROSECONDS_PER_MS;
  histogram.recordValue(
    Math.min(HIGHEST_LATENCY_US, Math.max(1, Math.round(elapsed))),
  );
}

function count(intervals: number[], startAt: number): void {
  const index = Math.max(0, Math.floor((Date.now() - startAt) / INTERVAL_MS));
  intervals[index] = (intervals[index] ?? 0) + 1;
}

function addAll(sums: number[], counts: readonly number[]): void {
  counts.forEach((value, index) => {
    sums[index] = (sums[index] ?? 0) + value;
  });
}
