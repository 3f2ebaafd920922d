/**
 * Detects pauses of this process: it was stopped, starved of CPU, or its event
 * loop was blocked by one long task.
 *
 * @module
 */

const TICK_MS = 50;

/** Detects and counts pauses by the delay of an interval timer. */
export class PauseObserver {
  readonly #shortest: number;
  readonly #paused: (length: number) => void;
  #timer: NodeJS.Timeout | undefined;
  #last = performance.now();
  #count = 0;

  /** Calls `paused` with the length, in ms, of each pause of at least `shortest` ms. */
  constructor(shortest: number, paused: (length: number) => void) {
    this.#shortest = shortest;
    this.#paused = paused;
  }

  /** Starts the timer; not needed by an owner that calls `check` on a timer of its own. */
  start(): void {
    this.#last = performance.now();
    this.#timer = setInterval(() => this.check(), TICK_MS);
  }

  /** Checks for a pause now; returns the number of pauses detected so far. */
  check(): number {
    const now = performance.now();
    const length = now - this.#last - TICK_MS;
    this.#last = now;
    if (length < this.#shortest) return this.#count;
    this.#count += 1;
    this.#paused(length);
    return this.#count;
  }

  /** Stops the timer. */
  stop(): void {
    clearInterval(this.#timer);
  }
}
