/**
 * How many statements may be in flight at an instance.
 *
 * @module
 */
import type { Flight, FlightOutcome } from "./flight.ts";
import type { PaceChange } from "./pace_change.ts";

/** Limits the statements in flight, and learns from how they end. */
export interface StatementLimit {
  /** Statements that may be in flight; may be below 1, for pauses between them. */
  readonly current: number;
  /** The latest change that was not slow growth. */
  readonly lastChange: PaceChange;
  /** Whether another statement may be sent while `inFlight` are in flight; an urgent one may shorten a pause. */
  allows(inFlight: number, now: number, isUrgent?: boolean): boolean;
  /** Time in ms until another statement may be sent although none ends; 0 if only an end can allow it. */
  remainingPause(now: number, isUrgent?: boolean): number;
  /** Records that a statement has to wait for the limit. */
  recordHeldBack(now: number): void;
  /** Records the end of a statement; `inFlight` are left. */
  record(
    flight: Flight,
    outcome: FlightOutcome,
    inFlight: number,
    now: number,
  ): void;
}
