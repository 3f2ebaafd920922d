/**
 * Those who wait for an answer that a later status may bring.
 *
 * @module
 */
import { err, type Result, ResultAsync } from "neverthrow";
import type { Failure } from "../../kernel/result_codes.ts";

/** One question: the answer once it is known, and the failure at the deadline. */
export interface Question<T> {
  /** The answer, or undefined while it is not known. */
  readonly answer: () => Result<T, Failure> | undefined;
  /** Monotonic ms. */
  readonly deadline: number;
  readonly expired: () => Failure;
}

interface Waiter {
  readonly settle: () => boolean;
}

/** Questions of one group. */
export class Waiters {
  readonly #waiters = new Set<Waiter>();

  /** Number of those who wait. */
  get size(): number {
    return this.#waiters.size;
  }

  /** Answers at once where the answer is known; else waits for `settle` or the deadline. */
  ask<T>(question: Question<T>): ResultAsync<T, Failure> {
    const known = question.answer();
    if (known) return new ResultAsync(Promise.resolve(known));
    return new ResultAsync(
      new Promise((resolve) => this.#wait(question, resolve)),
    );
  }

  /** Asks all questions again, after news. */
  settle(): void {
    for (const waiter of this.#waiters) {
      if (waiter.settle()) this.#waiters.delete(waiter);
    }
  }

  #wait<T>(
    question: Question<T>,
    resolve: (result: Result<T, Failure>) => void,
  ): void {
    const remaining = Math.max(0, question.deadline - performance.now());
    const timer = setTimeout(() => {
      if (!this.#waiters.delete(waiter)) return;
      resolve(question.answer() ?? err(question.expired()));
    }, remaining);
    const waiter: Waiter = {
      settle: () => {
        const result = question.answer();
        if (!result) return false;
        clearTimeout(timer);
        resolve(result);
        return true;
      },
    };
    this.#waiters.add(waiter);
  }
}
