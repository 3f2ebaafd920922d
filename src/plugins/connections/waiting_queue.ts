/**
 * The bounded queue of statements that wait for a connection to one instance:
 * by priority, then first come.
 *
 * @module
 */
import type { Priority } from "./connections.ts";

const ORDER: readonly Priority[] = ["high", "normal", "low"];

/** Settles a statement that waits: with what it waits for, or why it does not get it. */
export type Settle<T> = (outcome: T) => void;

/** Queue of waiters; whoever uses it bounds it through `displace`. */
export class WaitingQueue<T> {
  /** The waiters of each class in order of arrival, with the monotonic ms of it. */
  readonly #classes: Readonly<Record<Priority, Map<Settle<T>, number>>> = {
    high: new Map(),
    normal: new Map(),
    low: new Map(),
  };

  get size(): number {
    const { high, normal, low } = this.#classes;
    return high.size + normal.size + low.size;
  }

  /** For how long, in ms, the first waiter of any class has waited. */
  get oldest(): number {
    return Math.max(...ORDER.map((priority) => this.age(priority)));
  }

  /** Number of waiters that go before a newcomer of the priority. */
  ahead(priority: Priority): number {
    let count = 0;
    for (const item of ORDER) {
      count += this.#classes[item].size;
      if (item === priority) break;
    }
    return count;
  }

  /** For how long, in ms, the first waiter of the class has waited. */
  age(priority: Priority): number {
    for (const since of this.#classes[priority].values()) {
      return performance.now() - since;
    }
    return 0;
  }

  /** Waits until settled; at the deadline (monotonic ms) with what `expired` gives. */
  wait(
    priority: Priority,
    deadline: number,
    expired: () => T,
  ): Promise<T> {
    const waiters = this.#classes[priority];
    return new Promise((resolve) => {
      const settle = (outcome: T) => {
        clearTimeout(timer);
        resolve(outcome);
      };
      const timer = setTimeout(() => {
        if (waiters.delete(settle)) resolve(expired());
      }, deadline - performance.now());
      waiters.set(settle, performance.now());
    });
  }

  /** Takes out the next waiter. */
  shift(): Settle<T> | undefined {
    for (const priority of ORDER) {
      const waiters = this.#classes[priority];
      const [first] = waiters.keys();
      if (!first) continue;
      waiters.delete(first);
      return first;
    }
    return undefined;
  }

  /** Takes out the last waiter of the lowest class below the priority, to make room. */
  evictLowerPriority(priority: Priority): Settle<T> | undefined {
    for (const item of ORDER.toReversed()) {
      if (item === priority) return undefined;
      const waiters = this.#classes[item];
      const last = [...waiters.keys()].at(-1);
      if (!last) continue;
      waiters.delete(last);
      return last;
    }
    return undefined;
  }

  /** Takes out all waiters. */
  clear(): readonly Settle<T>[] {
    const all = ORDER.flatMap((
      priority,
    ) => [...this.#classes[priority].keys()]);
    for (const priority of ORDER) this.#classes[priority].clear();
    return all;
  }
}
