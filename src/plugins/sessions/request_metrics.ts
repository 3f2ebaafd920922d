/**
 * Counters and latencies of requests, kept until the metrics page asks for them.
 *
 * @module
 */

/** What is counted of requests. */
export interface RequestMetrics {
  served(effect: string, elapsed: number): void;
  refused(code: string): void;
  attemptFailed(reason: string): void;
  /** A log line was left out. */
  lineOmitted(): void;
}
