/**
 * Counters and latencies of a proxy, recorded by the callers' sessions.
 *
 * @module
 */

/** Where a statement was executed. */
export type StatementTarget = "primary" | "replica" | "proxy";

/** Records the measurements of the sessions. */
export interface Metrics {
  /** Counts an answered statement and records its duration, `elapsed`, in ms. */
  recordStatement(
    target: StatementTarget,
    effect: "read" | "write",
    elapsed: number,
  ): void;
  /** Counts a refusal by the name of its result code. */
  recordRefusal(code: string): void;
  /** Sets the number of connected callers. */
  setCallerCount(count: number): void;
}
