/**
 * Logs suspensions of the host, so that a log explains why leases and samples
 * ended all at once.
 *
 * @module
 */
import { type Clock, clock } from "./clock.ts";
import { type EventLog, Events } from "./events.ts";

/** Interval of the checks, in ms. */
const CHECK_INTERVAL_MS = 100;

/** Shorter suspensions, in ms, are added up until they reach this length together. */
const MIN_LENGTH_MS = 10;

/** The two clocks that a suspension sets apart. */
export interface SuspensionClocks {
  /** Counts the time for which the host was suspended. */
  readonly host: Clock;
  /** Stands still meanwhile. */
  readonly monotonic: Clock;
}

/** Bounds of the time in ms for which the host has been suspended, counted from an unknown moment. */
interface SuspendedTime {
  readonly min: number;
  readonly max: number;
}

/** Finds suspensions as the time by which the process's clock is ahead of the monotonic clock. */
export class SuspensionLog {
  readonly #log: EventLog;
  readonly #clocks: SuspensionClocks;
  /** Most that the suspended time can have been at the last line. */
  #logged: number;

  constructor(
    log: EventLog,
    clocks: SuspensionClocks = { host: clock, monotonic: performance },
  ) {
    this.#log = log;
    this.#clocks = clocks;
    this.#logged = this.#suspendedTime().max;
  }

  /** Starts periodic checks, which don't keep the process running. */
  start(): void {
    setInterval(() => this.check(), CHECK_INTERVAL_MS).unref();
  }

  /** Logs the suspensions since the last line. */
  check(): void {
    const { min, max } = this.#suspendedTime();
    // The suspended time never decreases, so a lower bound now was one then.
    this.#logged = Math.min(this.#logged, max);
    const length = min - this.#logged;
    if (length < MIN_LENGTH_MS) return;
    this.#logged = max;
    this.#log.write(Events.SUSPENSION_OBSERVED, { ms: Math.round(length) });
  }

  /** The process may be paused between two readings, so one clock is read before and after the other. */
  #suspendedTime(): SuspendedTime {
    const before = this.#clocks.monotonic.now();
    const now = this.#clocks.host.now();
    const after = this.#clocks.monotonic.now();
    return { min: now - after, max: now - before };
  }
}
