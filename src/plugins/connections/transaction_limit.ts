/**
 * Bounds the transactions that are open at one instance. Load that it answers:
 * transactions hold a connection while their callers think, so after a pause of
 * the instance the ones that waited would take all connections, and the many
 * single statements, which need one for a moment only, would starve.
 *
 * @module
 */
import type { Priority } from "./connections.ts";
import { WaitingQueue } from "./waiting_queue.ts";

/** Part of a proxy's share that transactions may hold. */
const TRANSACTION_PART = 0.7;

/** Gives the place back. */
export type ReleaseSlot = () => void;

/** Places for transactions at one instance. */
export class TransactionLimit {
  readonly #queue = new WaitingQueue<ReleaseSlot | undefined>();
  #slots: number;
  #taken = 0;

  /** `share` is the number of connections that this proxy may hold. */
  constructor(share: number) {
    this.#slots = computeSlots(share);
  }

  /** Places in use. */
  get inUse(): number {
    return this.#taken;
  }

  /** Follows a change of the share. */
  setShare(share: number): void {
    this.#slots = computeSlots(share);
    this.#grant();
  }

  /** Takes a place, in order of priority; undefined at the deadline (monotonic ms). */
  async acquire(
    priority: Priority,
    deadline: number,
  ): Promise<ReleaseSlot | undefined> {
    if (this.#taken < this.#slots) return this.#take();
    return await this.#queue.wait(priority, deadline, () => undefined);
  }

  #take(): ReleaseSlot {
    this.#taken += 1;
    let left = false;
    return () => {
      if (left) return;
      left = true;
      this.#taken -= 1;
      this.#grant();
    };
  }

  #grant(): void {
    while (this.#taken < this.#slots) {
      const waiter = this.#queue.shift();
      if (!waiter) return;
      waiter(this.#take());
    }
  }
}

function computeSlots(share: number): number {
  return Math.max(1, Math.floor(TRANSACTION_PART * share));
}
