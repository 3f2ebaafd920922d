/**
 * Counts requests and records their latencies; the metrics server reads them on
 * each scrape.
 *
 * @module
 */
import type { Histogram } from "hdr-histogram-js";
// The package's entry point also loads a WebAssembly histogram, which slows startup.
import histograms from "hdr-histogram-js/dist/Int32Histogram.js";
import type { RequestMetrics } from "../sessions/request_metrics.ts";

/** Highest latency that the histograms record, in ms; longer ones are recorded as this value. */
const MAX_LATENCY_MS = 60_000;

/** Precision of the recorded latencies, in significant decimal digits. */
const SIGNIFICANT_DIGITS = 2;

/** Reasons that name no instance, each its own label: the faults that instances report, and the ends of connections. */
const REASON_LABELS: ReadonlySet<string> = new Set([
  "busy",
  "lagging",
  "read-only",
  "misrouted",
  "unknown-statement",
  "failed",
  "timeout",
  "other",
  "not open",
  "closed here",
  "closed by the instance",
  "no longer the primary",
  "the transaction is not open",
  "this proxy is stopping",
]);

/** Counters and latency histograms since the process started. */
export class RequestCounters implements RequestMetrics {
  /** Latencies in ms of served requests, by effect. */
  readonly latencies = new Map<string, Histogram>();
  /** Number of refusals by the name of the result code. */
  readonly refusals = new Map<string, number>();
  /** Number of failed attempts by reason label. */
  readonly failedAttempts = new Map<string, number>();
  /** Number of log lines omitted by sampling or the rate limit. */
  omittedLogLines = 0;

  served(effect: string, elapsed: number): void {
    const histogram = this.latencies.get(effect) ?? createHistogram();
    this.latencies.set(effect, histogram);
    histogram.recordValue(
      Math.min(MAX_LATENCY_MS, Math.max(1, Math.round(elapsed))),
    );
  }

  refused(code: string): void {
    this.refusals.set(code, (this.refusals.get(code) ?? 0) + 1);
  }

  attemptFailed(reason: string): void {
    const label = classifyReason(reason);
    this.failedAttempts.set(label, (this.failedAttempts.get(label) ?? 0) + 1);
  }

  lineOmitted(): void {
    this.omittedLogLines += 1;
  }
}

function createHistogram(): Histogram {
  return new histograms.default(1, MAX_LATENCY_MS, SIGNIFICANT_DIGITS);
}

/** Maps a failure reason to one of a few label values, since reasons may contain instance names and times. */
function classifyReason(reason: string): string {
  if (reason.includes("no answer")) return "silent";
  if (reason.includes("expected wait")) return "overloaded";
  if (reason.includes("no connection")) return "no connection";
  if (REASON_LABELS.has(reason)) return reason;
  return "connection failed";
}
