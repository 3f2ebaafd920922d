/**
 * Remembers which requests of each sender have arrived, so that none counts twice.
 *
 * @module
 */

const WINDOW_LENGTH = 1_024;
const SENDERS_LIMIT = 16_384;

/** Sequence numbers of one sender that have arrived. */
interface SenderWindow {
  highest: number;
  readonly seen: Set<number>;
}

/** Accepts each sequence number of a sender once. */
export class ReplayWindow {
  readonly #senders = new Map<string, SenderWindow>();

  /** Whether no further sender fits; the receiver then takes a new start id, which voids all old requests. */
  get full(): boolean {
    return this.#senders.size >= SENDERS_LIMIT;
  }

  /** Forgets all senders. */
  clear(): void {
    this.#senders.clear();
  }

  /** Notes a sequence number; false when it was seen or is too old to tell. */
  accept(sender: string, sequence: number): boolean {
    const window = this.#senders.get(sender) ??
      { highest: sequence, seen: new Set<number>() };
    this.#senders.set(sender, window);
    if (sequence <= window.highest - WINDOW_LENGTH) return false;
    if (window.seen.has(sequence)) return false;
    window.seen.add(sequence);
    window.highest = Math.max(window.highest, sequence);
    if (window.seen.size > WINDOW_LENGTH) this.#forgetOld(window);
    return true;
  }

  #forgetOld(window: SenderWindow): void {
    const oldest = window.highest - WINDOW_LENGTH;
    for (const sequence of window.seen) {
      if (sequence <= oldest) window.seen.delete(sequence);
    }
  }
}
