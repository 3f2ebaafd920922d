/**
 * The clock by which this process measures all ages, leases and deadlines.
 *
 * Nobody sets it, unlike the time of day, and it counts the time for which the
 * host was suspended, unlike the monotonic clock of Node.js on Linux: a lease or
 * a sample that is dated by it is never older than it seems. Timers follow the
 * monotonic clock, so they fire late after a suspension; what must have ended by
 * a certain time is therefore compared with this clock when it is used.
 *
 * @module
 */
import koffi from "koffi";

/** A clock that is never set and counts the time for which the host was suspended. */
export interface Clock {
  /** Time in ms; equal to `performance.now()` until the host is first suspended. */
  now(): number;
}

/** Number of CLOCK_BOOTTIME, from linux/time.h. */
const CLOCK_BOOTTIME = 7;

/** Reads CLOCK_BOOTTIME, which Node.js doesn't offer. */
class BootTimeClock implements Clock {
  readonly #read: (clock: number, time: BigInt64Array) => number;
  /** Seconds and nanoseconds, the `struct timespec` of 64-bit systems. */
  readonly #time = new BigInt64Array(2);
  readonly #startedAt: bigint;
  readonly #offset: number;

  constructor() {
    this.#read = koffi.load(null)
      .func("int clock_gettime(int clock, void *time)");
    const failed = this.#read(CLOCK_BOOTTIME, this.#time) !== 0;
    if (failed) throw new Error("the system has no CLOCK_BOOTTIME");
    this.#startedAt = this.#time[0]!;
    this.#offset = performance.now() - Number(this.#time[1]) / 1e6;
  }

  now(): number {
    this.#read(CLOCK_BOOTTIME, this.#time);
    const [seconds, nanoseconds] = this.#time;
    return Number(seconds! - this.#startedAt) * 1_000 +
      Number(nanoseconds) / 1e6 + this.#offset;
  }
}

/** The monotonic clock of Node.js; it counts suspensions on systems other than Linux. */
class MonotonicClock implements Clock {
  now(): number {
    return performance.now();
  }
}

/** The clock of this process. */
export const clock: Clock = process.platform === "linux"
  ? new BootTimeClock()
  : new MonotonicClock();
