/**
 * Detects pauses of this process: it was stopped, starved of CPU, or its event
 * loop was blocked by one long task.
 *
 * @module
 */
import { clock } from "./clock.ts";

const TICK_MS = 50;

/** Detects and counts pauses by the delay of an interval timer. */
export class PauseObserver {
  readonly #minLengthMs: number;
  readonly #onPause: (length: number) => void;
  #timer: NodeJS.Timeout | undefined;
  #lastTick = clock.now();
  #count = 0;

  /** Calls `onPause` with the length, in ms, of each pause of at least `minLengthMs` ms. */
  constructor(minLengthMs: number, onPause: (length: number) => void) {
    this.#minLengthMs = minLengthMs;
    this.#onPause = onPause;
  }

  /** Starts the timer; not needed by an owner that calls `check` on a timer of its own. */
  start(): void {
    this.#lastTick = clock.now();
    this.#timer = setInterval(() => this.check(), TICK_MS);
  }

  /** Checks for a pause now; returns the number of pauses detected so far. */
  check(): number {
    const now = clock.now();
    const length = now - this.#lastTick - TICK_MS;
    this.#lastTick = now;
    if (length < this.#minLengthMs) return this.#count;
    this.#count += 1;
    this.#onPause(length);
    return this.#count;
  }

  /** Stops the timer. */
  stop(): void {
    clearInterval(this.#timer);
  }
}
