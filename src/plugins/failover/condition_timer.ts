/**
 * Measures for how long conditions have held without interruption.
 *
 * @module
 */

/** Tracks the start times of conditions by key. */
export class ConditionTimer {
  readonly #since = new Map<string, number>();

  /** Records whether a condition holds at `now`; returns for how many ms it has held, or -1 if it does not hold. */
  observe(key: string, holds: boolean, now: number): number {
    if (!holds) {
      this.#since.delete(key);
      return -1;
    }
    const since = this.#since.get(key) ?? now;
    this.#since.set(key, since);
    return now - since;
  }

  /** Restarts the duration of a condition. */
  restart(key: string): void {
    this.#since.delete(key);
  }

  /** Restarts all durations, for example after a pause of this process. */
  restartAll(): void {
    this.#since.clear();
  }
}
