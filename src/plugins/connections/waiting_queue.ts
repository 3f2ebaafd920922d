/**
 * The bounded queue of statements that wait for a connection to one instance,
 * ordered by priority, then by arrival.
 *
 * @module
 */
import { clock } from "../../kernel/clock.ts";
import type { Priority } from "./connections.ts";

const PRIORITY_ORDER: readonly Priority[] = ["high", "normal", "low"];

/** Settles a waiter, with what it waits for or with a failure. */
export type Settle<T> = (outcome: T) => void;

interface Waiter<T> {
  /** Monotonic ms of its arrival. */
  readonly since: number;
  /** Monotonic ms. */
  readonly deadline: number;
  /** Creates the outcome at the deadline. */
  readonly expired: () => T;
}

/** Queue of waiters; the owner enforces the size limit, evicting waiters of lower priority. */
export class WaitingQueue<T> {
  /** Waiters by priority in order of arrival. */
  readonly #byPriority: Readonly<
    Record<Priority, Map<Settle<T>, Waiter<T>>>
  > = {
    high: new Map(),
    normal: new Map(),
    low: new Map(),
  };

  get size(): number {
    const { high, normal, low } = this.#byPriority;
    return high.size + normal.size + low.size;
  }

  /** Longest time, in ms, for which any waiter has waited; 0 if there is none. */
  get longestWait(): number {
    return Math.max(
      ...PRIORITY_ORDER.map((priority) => this.headWaitTime(priority)),
    );
  }

  /** Number of waiters that would be served before a new one of this priority. */
  countAhead(priority: Priority): number {
    let count = 0;
    for (const item of PRIORITY_ORDER) {
      count += this.#byPriority[item].size;
      if (item === priority) break;
    }
    return count;
  }

  /** Time, in ms, for which the first waiter of this priority has waited; 0 if there is none. */
  headWaitTime(priority: Priority): number {
    for (const { since } of this.#byPriority[priority].values()) {
      return clock.now() - since;
    }
    return 0;
  }

  /** Waits until settled; at the deadline (monotonic ms) resolves with the result of `expired`. */
  wait(
    priority: Priority,
    deadline: number,
    expired: () => T,
  ): Promise<T> {
    const waiters = this.#byPriority[priority];
    const since = clock.now();
    return new Promise((resolve) => {
      const settle = (outcome: T) => {
        clearTimeout(timer);
        resolve(outcome);
      };
      const timer = setTimeout(() => {
        if (waiters.delete(settle)) resolve(expired());
      }, deadline - since);
      waiters.set(settle, { since, deadline, expired });
    });
  }

  /** Whether anyone waits whose deadline has not passed. Others on the way expire now: timers are late after a pause of the process or a suspension of the host. */
  hasWaiter(): boolean {
    const now = clock.now();
    for (const priority of PRIORITY_ORDER) {
      const waiters = this.#byPriority[priority];
      for (const [settle, { deadline, expired }] of waiters) {
        if (now < deadline) return true;
        waiters.delete(settle);
        settle(expired());
      }
    }
    return false;
  }

  /** Removes and returns the next waiter. */
  shift(): Settle<T> | undefined {
    for (const priority of PRIORITY_ORDER) {
      const waiters = this.#byPriority[priority];
      const [first] = waiters.keys();
      if (!first) continue;
      waiters.delete(first);
      return first;
    }
    return undefined;
  }

  /** Removes and returns the last waiter of the lowest priority below this one, to make room. */
  evictLowerPriority(priority: Priority): Settle<T> | undefined {
    for (const item of PRIORITY_ORDER.toReversed()) {
      if (item === priority) return undefined;
      const waiters = this.#byPriority[item];
      const last = [...waiters.keys()].at(-1);
      if (!last) continue;
      waiters.delete(last);
      return last;
    }
    return undefined;
  }

  /** Removes and returns all waiters in queue order. */
  clear(): readonly Settle<T>[] {
    const all = PRIORITY_ORDER.flatMap((
      priority,
    ) => [...this.#byPriority[priority].keys()]);
    for (const priority of PRIORITY_ORDER) this.#byPriority[priority].clear();
    return all;
  }
}
