/**
 * Lock around the engine: one transaction at a time, in order of arrival.
 *
 * @module
 */

interface Waiter {
  readonly holder: object;
  readonly resolve: () => void;
  readonly reject: (reason: Error) => void;
}

/** Mutual exclusion with FIFO waiters; each holder is identified by an object. */
export class Mutex {
  #holder: object | undefined;
  #waiters: Waiter[] = [];

  /** Whether any holder is waiting. */
  get contended(): boolean {
    return this.#waiters.length > 0;
  }

  /** Whether the mutex is held by this holder. */
  isHeldBy(holder: object): boolean {
    return this.#holder === holder;
  }

  /** Resolves when the holder has the mutex; at once when the holder has it already. */
  acquire(holder: object): Promise<void> {
    if (this.#holder === undefined || this.#holder === holder) {
      this.#holder = holder;
      return Promise.resolve();
    }
    return new Promise((resolve, reject) => {
      this.#waiters.push({ holder, resolve, reject });
    });
  }

  /** Passes the mutex to the next waiter; does nothing when the holder does not have it. */
  release(holder: object): void {
    if (this.#holder !== holder) return;
    const next = this.#waiters.shift();
    this.#holder = next?.holder;
    next?.resolve();
  }

  /** Rejects a holder's pending `acquire`; returns false when the holder is not waiting. */
  cancelWait(holder: object, reason: Error): boolean {
    const waiter = this.#waiters.find((candidate) =>
      candidate.holder === holder
    );
    if (!waiter) return false;
    this.#waiters = this.#waiters.filter((candidate) => candidate !== waiter);
    waiter.reject(reason);
    return true;
  }
}
