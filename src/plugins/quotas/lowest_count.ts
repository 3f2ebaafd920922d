/**
 * The least number of rows of hosts that there was in the last minutes: a host
 * that has heard nothing for a while counts at least that many parts.
 *
 * @module
 */
import { UNCONFIRMED_JOIN_MS } from "./timing.ts";

/** Keeps the minimum over one to two times the time that a part outlives the store's last confirmation. */
export class LowestCount {
  /** Clock ms from which the minimum is complete. */
  #completeAt: number;
  #turnsAt: number;
  #count = Infinity;
  #previous = Infinity;
  #present = Infinity;

  constructor(now: number) {
    this.#completeAt = now + UNCONFIRMED_JOIN_MS;
    this.#turnsAt = this.#completeAt;
  }

  /** Records the present number. */
  record(count: number, now: number): void {
    this.#turn(now);
    this.#count = count;
    this.#present = Math.min(this.#present, count);
  }

  /** Takes over what another host knows; 0 if it knows nothing. */
  inherit(lowest: number, now: number): void {
    if (lowest === 0) return;
    this.#turn(now);
    this.#present = Math.min(this.#present, lowest);
    this.#completeAt = Math.min(this.#completeAt, now);
  }

  /** The minimum; 0 as long as the number was not known for long enough. */
  value(now: number): number {
    this.#turn(now);
    const lowest = Math.min(this.#previous, this.#present);
    return now >= this.#completeAt && Number.isFinite(lowest) ? lowest : 0;
  }

  #turn(now: number): void {
    if (now < this.#turnsAt) return;
    const isRecent = now < this.#turnsAt + UNCONFIRMED_JOIN_MS;
    this.#previous = isRecent ? this.#present : this.#count;
    this.#present = this.#count;
    this.#turnsAt = now + UNCONFIRMED_JOIN_MS;
  }
}
