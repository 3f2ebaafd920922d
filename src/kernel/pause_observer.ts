/**
 * Notices when this process stood still: stopped, starved, or held up in one long step.
 *
 * @module
 */

const TICK_MS = 50;

/** Counts the pauses of this process. */
export class PauseObserver {
  readonly #shortest: number;
  readonly #paused: (length: number) => void;
  #timer: NodeJS.Timeout | undefined;
  #last = performance.now();
  #count = 0;

  /** Calls back with the length of each pause of at least `shortest` ms. */
  constructor(shortest: number, paused: (length: number) => void) {
    this.#shortest = shortest;
    this.#paused = paused;
  }

  /** Begins to watch; an owner that checks at an interval of its own needs no start. */
  start(): void {
    this.#last = performance.now();
    this.#timer = setInterval(() => this.check(), TICK_MS);
  }

  /** Looks for a pause at once; gives the number of pauses since the start. */
  check(): number {
    const now = performance.now();
    const length = now - this.#last - TICK_MS;
    this.#last = now;
    if (length < this.#shortest) return this.#count;
    this.#count += 1;
    this.#paused(length);
    return this.#count;
  }

  /** Ends the watch. */
  stop(): void {
    clearInterval(this.#timer);
  }
}
