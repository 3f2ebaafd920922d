/**
 * Changes of a pace, and log lines about them in bounded number.
 *
 * @module
 */
import {
  type EventFields,
  type EventKind,
  Events,
} from "../../kernel/events.ts";

/** Why a pace changed. */
export type PaceReason =
  /** No answer yet. */
  | "start"
  /** Latency grows with the statements in flight. */
  | "crowded"
  /** Latency has grown whatever is in flight, so the baseline is raised. */
  | "slower, but not crowded"
  /** Latency is far below the baseline, which is lowered. */
  | "faster"
  /** The instance has rejected a statement for want of a place. */
  | "rejections";

/** A change of a pace, other than slow growth. */
export interface PaceChange {
  readonly reason: PaceReason;
  readonly pace: number;
  /** Monotonic ms. */
  readonly at: number;
}

/** Least time between two log lines about one instance, in ms. */
const REPORT_INTERVAL_MS = 1_000;

/** Logs the changes of one pace; those that follow within a second are counted in the next line. */
export class PaceLog {
  readonly #log: (kind: EventKind, fields: EventFields) => void;
  #changes = 0;
  #reportedAt = -Infinity;

  constructor(log: (kind: EventKind, fields: EventFields) => void) {
    this.#log = log;
  }

  /** Records a change. */
  record({ reason, pace, at }: PaceChange): void {
    this.#changes += 1;
    if (at - this.#reportedAt < REPORT_INTERVAL_MS) return;
    this.#reportedAt = at;
    this.#log(Events.PACE_CHANGED, {
      pace: Number(pace.toFixed(2)),
      reason,
      changes: this.#changes,
    });
    this.#changes = 0;
  }
}
