/**
 * Counts requests and keeps their latencies; the page of metrics is made of
 * them when it is asked for.
 *
 * @module
 */
import type { Histogram } from "hdr-histogram-js";
// The package's entry file loads a WebAssembly histogram that costs start-up time.
import histograms from "hdr-histogram-js/dist/Int32Histogram.js";
import type { RequestMetrics } from "../sessions/request_metrics.ts";

/** Longest latency that is told apart from longer ones, in ms. */
const LATENCY_MAX_MS = 60_000;

/** Digits of a latency that are kept. */
const SIGNIFICANT_DIGITS = 2;

/** Counters since the start of the process. */
export class RequestCounters implements RequestMetrics {
  /** Latencies of the requests served, in ms, by effect. */
  readonly latencies = new Map<string, Histogram>();
  readonly refusals = new Map<string, number>();
  readonly attempts = new Map<string, number>();
  omittedLines = 0;

  served(effect: string, elapsed: number): void {
    const known = this.latencies.get(effect) ?? createHistogram();
    this.latencies.set(effect, known);
    known.recordValue(
      Math.min(LATENCY_MAX_MS, Math.max(1, Math.round(elapsed))),
    );
  }

  refused(code: string): void {
    this.refusals.set(code, (this.refusals.get(code) ?? 0) + 1);
  }

  attemptFailed(reason: string): void {
    const kind = classifyReason(reason);
    this.attempts.set(kind, (this.attempts.get(kind) ?? 0) + 1);
  }

  lineOmitted(): void {
    this.omittedLines += 1;
  }
}

function createHistogram(): Histogram {
  return new histograms.default(1, LATENCY_MAX_MS, SIGNIFICANT_DIGITS);
}

/** A label of few values for a reason that names instances and times. */
function classifyReason(reason: string): string {
  if (reason.includes("no answer")) return "silent";
  if (reason.includes("expected wait")) return "overloaded";
  if (reason.includes("no connection")) return "no connection";
  if (/^[a-z -]+$/.test(reason)) return reason;
  return "connection failed";
}
