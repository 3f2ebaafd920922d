/**
 * Logs suspensions of the host, so that a log explains why leases and samples
 * ended all at once.
 *
 * @module
 */
import { clock } from "./clock.ts";
import { type EventLog, Events } from "./events.ts";

/** Interval of the checks, in ms. */
const CHECK_INTERVAL_MS = 100;

/** Shorter suspensions, in ms, are added up until they reach this length together. */
const MIN_LENGTH_MS = 10;

/** Finds suspensions as the time by which the process's clock is ahead of the monotonic clock. */
export class SuspensionLog {
  readonly #log: EventLog;
  #logged = 0;

  constructor(log: EventLog) {
    this.#log = log;
  }

  /** Starts periodic checks, which don't keep the process running. */
  start(): void {
    this.#logged = suspendedTime();
    setInterval(() => this.check(), CHECK_INTERVAL_MS).unref();
  }

  /** Logs the suspensions since the last line. */
  check(): void {
    const suspended = suspendedTime();
    const length = suspended - this.#logged;
    if (length < MIN_LENGTH_MS) return;
    this.#logged = suspended;
    this.#log.write(Events.SUSPENSION_OBSERVED, { ms: Math.round(length) });
  }
}

/** Time in ms for which the host has been suspended since the start of this process. */
function suspendedTime(): number {
  // In this order, a pause between the two readings is not taken for a suspension.
  const now = clock.now();
  return now - performance.now();
}
