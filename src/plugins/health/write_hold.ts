/**
 * Pauses new writes during a planned change of primary. The hold expires by itself, so that
 * writes don't stay blocked when its requester is lost.
 *
 * @module
 */
import { clock } from "../../kernel/clock.ts";

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
    return clock.now() < this.#until;
  }

  /** Monotonic ms at which the last hold ends or has ended; it may have ended before the timer fires. */
  get until(): number {
    return this.#until;
  }

  /** Holds new writes for at most `duration` ms from now; replaces a hold in force. */
  begin(duration: number): void {
    this.#until = clock.now() + duration;
    clearTimeout(this.#timer);
    this.#timer = setTimeout(() => this.end(), duration);
    this.#onChanged();
  }

  end(): void {
    clearTimeout(this.#timer);
    this.#until = Math.min(this.#until, clock.now());
    this.#onChanged();
  }
}
