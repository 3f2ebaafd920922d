/**
 * Counters and latencies of a proxy.
 *
 * @module
 */

/** Where a statement ran. */
export type Target = "primary" | "replica" | "proxy";

/** Takes what the sessions measure. */
export interface Metrics {
  /** Counts a statement that was answered, with its time in ms. */
  statement(target: Target, effect: "read" | "write", elapsed: number): void;
  /** Counts a refusal by result code name. */
  refusal(code: string): void;
  /** Sets the number of connected callers. */
  callers(count: number): void;
}
