/**
 * A pause of new writes for a planned change of primary; it ends by itself, so that
 * the loss of whoever asked for it blocks nothing.
 *
 * @module
 */

/** The hold of one group. */
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

  /** Holds new writes for at most `duration` ms from now. */
  begin(duration: number): void {
    this.#until = performance.now() + duration;
    clearTimeout(this.#timer);
    this.#timer = setTimeout(() => this.end(), duration);
    this.#onChanged();
  }

  /** Ends the hold. */
  end(): void {
    clearTimeout(this.#timer);
    this.#until = -Infinity;
    this.#onChanged();
  }
}
