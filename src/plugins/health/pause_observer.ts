/**
 * Notices when this process stood still: stopped, starved, or held up in one long step.
 *
 * @module
 */

/** Distance of the ticks. */
const TICK_MS = 20;
/** A tick later than this shows a pause. */
const PAUSE_MS = 100;

/** Calls back with the length in ms of each pause of this process. */
export class PauseObserver {
  readonly #paused: (length: number) => void;
  #timer: NodeJS.Timeout | undefined;
  #last = 0;

  constructor(paused: (length: number) => void) {
    this.#paused = paused;
  }

  /** Begins to watch. */
  start(): void {
    this.#last = performance.now();
    this.#timer = setInterval(() => this.check(), TICK_MS);
  }

  /** Looks for a pause at once. */
  check(): void {
    const now = performance.now();
    const length = now - this.#last - TICK_MS;
    this.#last = now;
    if (length > PAUSE_MS) this.#paused(length);
  }

  /** Ends the watch. */
  stop(): void {
    clearInterval(this.#timer);
  }
}
