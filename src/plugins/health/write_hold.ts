/**
 * Pauses new writes during a planned change of primary. The hold expires by itself, so that
 * writes don't stay blocked when its requester is lost.
 *
 * @module
 */

/** The hold on new writes of one group. */
export class WriteHold {
  readonly #onChanged: () => void;
  #until = -Infinity;
  #timer: NodeJS.Timeout | undefined;

  constructor(onChanged: () => void) {
    this.#onChanged = onChanged;
  }

  /** Whether new writes are held. */
  get active(): boolean {
    return performance.now() < this.#until;
  }

  /** Holds new writes for at most `duration` ms from now; replaces a hold in force. */
  begin(duration: number): void {
    this.#until = performance.now() + duration;
    clearTimeout(this.#timer);
    this.#timer = setTimeout(() => this.end(), duration);
    this.#onChanged();
  }

  end(): void {
    clearTimeout(this.#timer);
    this.#until = -Infinity;
    this.#onChanged();
  }
}
