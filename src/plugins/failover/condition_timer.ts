/**
 * How long a condition has held without a break.
 *
 * @module
 */

/** Follows conditions by key. */
export class ConditionTimer {
  readonly #since = new Map<string, number>();

  /** Takes note of whether a condition holds now; gives for how many ms it has held, -1 if it does not. */
  observe(key: string, holds: boolean, now: number): number {
    if (!holds) {
      this.#since.delete(key);
      return -1;
    }
    const since = this.#since.get(key) ?? now;
    this.#since.set(key, since);
    return now - since;
  }

  /** Starts the time of a condition anew. */
  restart(key: string): void {
    this.#since.delete(key);
  }

  /** Starts all times anew, as after a pause of this process. */
  restartAll(): void {
    this.#since.clear();
  }
}
