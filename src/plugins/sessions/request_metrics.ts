/**
 * Counters and latencies of requests, collected for the metrics page.
 *
 * @module
 */

/** Receives the request events that the metrics count; `elapsed` is in ms. */
export interface RequestMetrics {
  served(effect: string, elapsed: number): void;
  refused(code: string): void;
  attemptFailed(reason: string): void;
  /** Counts a log line that sampling or the rate limit omitted. */
  lineOmitted(): void;
}
