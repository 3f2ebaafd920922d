/**
 * Those who wait for an answer that a later status may bring.
 *
 * @module
 */
import { err, type Result, ResultAsync } from "neverthrow";
import type { Failure } from "../../kernel/result_codes.ts";

/** One question: the answer once it is known, and the failure at the deadline. */
export interface WaitCondition<T> {
  /** The answer, or undefined while it is not known. */
  readonly check: () => Result<T, Failure> | undefined;
  /** Monotonic ms. */
  readonly deadline: number;
  readonly timeoutFailure: () => Failure;
}

interface Waiter {
  readonly tryResolve: () => boolean;
}

/** Questions of one group. */
export class Waiters {
  readonly #waiters = new Set<Waiter>();

  /** Number of those who wait. */
  get size(): number {
    return this.#waiters.size;
  }

  /** Answers at once where the answer is known; else waits for `settle` or the deadline. */
  waitFor<T>(condition: WaitCondition<T>): ResultAsync<T, Failure> {
    const known = condition.check();
    if (known) return new ResultAsync(Promise.resolve(known));
    return new ResultAsync(
      new Promise((resolve) => this.#addWaiter(condition, resolve)),
    );
  }

  /** Asks all questions again, after news. */
  recheck(): void {
    for (const waiter of this.#waiters) {
      if (waiter.tryResolve()) this.#waiters.delete(waiter);
    }
  }

  #addWaiter<T>(
    condition: WaitCondition<T>,
    resolve: (result: Result<T, Failure>) => void,
  ): void {
    const remaining = Math.max(0, condition.deadline - performance.now());
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
