/**
 * Requests that wait for a condition that a later status may fulfil.
 *
 * @module
 */
import { err, type Result, ResultAsync } from "neverthrow";
import { clock } from "../../kernel/clock.ts";
import type { Failure } from "../../kernel/result_codes.ts";

/** A condition to wait for, with a deadline. */
export interface WaitCondition<T> {
  /** Returns the result, or undefined while it is not known. */
  readonly check: () => Result<T, Failure> | undefined;
  /** Monotonic time in ms. */
  readonly deadline: number;
  readonly timeoutFailure: () => Failure;
}

interface Waiter {
  readonly tryResolve: () => boolean;
}

/** The waiting requests of one group. */
export class Waiters {
  readonly #waiters = new Set<Waiter>();

  /** Number of waiting requests. */
  get size(): number {
    return this.#waiters.size;
  }

  /** Resolves immediately if the result is known; otherwise on a later `recheck` or at the deadline. */
  waitFor<T>(condition: WaitCondition<T>): ResultAsync<T, Failure> {
    const known = condition.check();
    if (known) return new ResultAsync(Promise.resolve(known));
    return new ResultAsync(
      new Promise((resolve) => this.#addWaiter(condition, resolve)),
    );
  }

  /** Checks all conditions again, after the state of the group has changed. */
  recheck(): void {
    for (const waiter of this.#waiters) {
      if (waiter.tryResolve()) this.#waiters.delete(waiter);
    }
  }

  #addWaiter<T>(
    condition: WaitCondition<T>,
    resolve: (result: Result<T, Failure>) => void,
  ): void {
    const remaining = Math.max(0, condition.deadline - clock.now());
    const timer = setTimeout(() => {
      if (!this.#waiters.delete(waiter)) return;
      resolve(condition.check() ?? err(condition.timeoutFailure()));
    }, remaining);
    const waiter: Waiter = {
      tryResolve: () => {
        const result = condition.check();
        if (!result) return false;
        clearTimeout(timer);
        resolve(result);
        return true;
      },
    };
    this.#waiters.add(waiter);
  }
}
