/**
 * Limits the open transactions at one instance. A transaction holds its
 * connection while its caller is idle, so after a pause of the instance the
 * waiting transactions would take all connections and starve the many single
 * statements, which need one only briefly.
 *
 * @module
 */
import type { Priority } from "./connections.ts";
import { WaitingQueue } from "./waiting_queue.ts";

/** Fraction of a proxy's share of connections that transactions may hold. */
const TRANSACTION_SHARE_FRACTION = 0.7;

/** Releases the slot; further calls have no effect. */
export type ReleaseSlot = () => void;

/** Transaction slots at one instance; at least one. */
export class TransactionLimit {
  readonly #queue = new WaitingQueue<ReleaseSlot | undefined>();
  #slots: number;
  #inUse = 0;

  /** `share` is the number of connections that this proxy may hold. */
  constructor(share: number) {
    this.#slots = computeTransactionSlots(share);
  }

  /** Number of slots in use. */
  get inUse(): number {
    return this.#inUse;
  }

  /** Adapts the number of slots to a new share. */
  setShare(share: number): void {
    this.#slots = computeTransactionSlots(share);
    this.#grantSlots();
  }

  /** Acquires a slot, waiting in order of priority; undefined at the deadline (monotonic ms). */
  async acquire(
    priority: Priority,
    deadline: number,
  ): Promise<ReleaseSlot | undefined> {
    if (this.#inUse < this.#slots) return this.#takeSlot();
    return await this.#queue.wait(priority, deadline, () => undefined);
  }

  #takeSlot(): ReleaseSlot {
    this.#inUse += 1;
    let isReleased = false;
    return () => {
      if (isReleased) return;
      isReleased = true;
      this.#inUse -= 1;
      this.#grantSlots();
    };
  }

  #grantSlots(): void {
    while (this.#inUse < this.#slots && this.#queue.hasWaiter()) {
      this.#queue.shift()!(this.#takeSlot());
    }
  }
}

/** Number of transactions that may be open with a share of connections. */
export function computeTransactionSlots(share: number): number {
  return Math.max(1, Math.floor(TRANSACTION_SHARE_FRACTION * share));
}
