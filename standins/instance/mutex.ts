/**
 * The gate before the engine: one transaction at a time, first come, first served.
 *
 * @module
 */

interface Waiter {
  readonly holder: object;
  readonly admit: () => void;
  readonly refuse: (reason: Error) => void;
}

/** Admits one holder at a time. */
export class Mutex {
  #holder: object | undefined;
  #waiters: Waiter[] = [];

  /** Whether somebody waits. */
  get contended(): boolean {
    return this.#waiters.length > 0;
  }

  /** Whether this holder is inside. */
  isHeldBy(holder: object): boolean {
    return this.#holder === holder;
  }

  /** Waits until the holder is inside. */
  acquire(holder: object): Promise<void> {
    if (this.#holder === undefined || this.#holder === holder) {
      this.#holder = holder;
      return Promise.resolve();
    }
    return new Promise((admit, refuse) => {
      this.#waiters.push({ holder, admit, refuse });
    });
  }

  /** Lets the next one in; does nothing when the holder is not inside. */
  release(holder: object): void {
    if (this.#holder !== holder) return;
    const next = this.#waiters.shift();
    this.#holder = next?.holder;
    next?.admit();
  }

  /** Ends the wait of a holder; gives false when it does not wait. */
  cancelWait(holder: object, reason: Error): boolean {
    const waiter = this.#waiters.find((one) => one.holder === holder);
    if (!waiter) return false;
    this.#waiters = this.#waiters.filter((one) => one !== waiter);
    waiter.refuse(reason);
    return true;
  }
}
