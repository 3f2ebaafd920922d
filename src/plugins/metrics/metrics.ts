/**
 * Counters and latencies of a proxy.
 *
 * @module
 */

/** Where a statement ran. */
export type StatementTarget = "primary" | "replica" | "proxy";

/** Takes what the sessions measure. */
export interface Metrics {
  /** Counts a statement that was answered, with its time in ms. */
  recordStatement(
    target: StatementTarget,
    effect: "read" | "write",
    elapsed: number,
  ): void;
  /** Counts a refusal by result code name. */
  recordRefusal(code: string): void;
  /** Sets the number of connected callers. */
  setCallerCount(count: number): void;
}
