/**
 * Tracks the received sequence numbers of each sender in a sliding window, to reject replayed requests.
 *
 * @module
 */

const WINDOW_SIZE = 1_024;
const MAX_SENDERS = 16_384;

/** Sequence numbers received from one sender. */
interface SenderWindow {
  highest: number;
  readonly seen: Set<number>;
}

/** Accepts each sequence number of a sender at most once. */
export class ReplayWindow {
  readonly #senders = new Map<string, SenderWindow>();

  /** Whether the maximum number of senders is reached; the receiver then takes a new incarnation id, which invalidates all earlier requests. */
  get full(): boolean {
    return this.#senders.size >= MAX_SENDERS;
  }

  /** Removes all senders. */
  clear(): void {
    this.#senders.clear();
  }

  /** Records a sequence number; returns false if it was received before or is older than the window. */
  accept(sender: string, sequence: number): boolean {
    const window = this.#senders.get(sender) ??
      { highest: sequence, seen: new Set<number>() };
    this.#senders.set(sender, window);
    if (sequence <= window.highest - WINDOW_SIZE) return false;
    if (window.seen.has(sequence)) return false;
    window.seen.add(sequence);
    window.highest = Math.max(window.highest, sequence);
    if (window.seen.size > WINDOW_SIZE) this.#evictOld(window);
    return true;
  }

  #evictOld(window: SenderWindow): void {
    const oldest = window.highest - WINDOW_SIZE;
    for (const sequence of window.seen) {
      if (sequence <= oldest) window.seen.delete(sequence);
    }
  }
}
