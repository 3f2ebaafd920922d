/**
 * Matches the questions of other proxies with this proxy's calls to the store. A
 * question is answered only after a call that began after the question arrived:
 * the answer then describes a state of the store that is later than the question,
 * whatever the clocks of the two proxies do in between.
 *
 * @module
 */
import { clock } from "../../kernel/clock.ts";

interface Question {
  /** Number of calls that had begun when the question arrived. */
  readonly after: number;
  settle(covered: boolean): void;
}

/** Questions that wait for a call to the store. */
export class CoveredQuestions {
  readonly #waiting = new Set<Question>();
  #startedCalls = 0;
  #callsInProgress = 0;
  /** Monotonic ms at which the last call began. */
  #startedAt = -Infinity;
  /** Duration of the last successful call, in ms. */
  #callDuration = 0;
  /** Number of questions that the last call answered. */
  #lastAnswered = 0;
  #wakeGathering: (() => void) | undefined;

  /** Number of waiting questions. */
  get size(): number {
    return this.#waiting.size;
  }

  /** Resolves to true after a successful call that begins after now; to false if a call fails before or `timeout` ms pass. */
  wait(timeout: number): Promise<boolean> {
    return new Promise((resolve) => {
      const question: Question = {
        after: this.#startedCalls,
        settle: (covered) => {
          clearTimeout(timer);
          this.#waiting.delete(question);
          resolve(covered);
        },
      };
      const timer = setTimeout(() => question.settle(false), timeout);
      this.#waiting.add(question);
      if (this.#waiting.size >= this.#lastAnswered) this.#wakeGathering?.();
    });
  }

  /** Expected time in ms until a question that arrives now is answered: the rest of the call in progress, and the next call. */
  expectedWait(now = clock.now()): number {
    if (this.#callsInProgress === 0) return this.#callDuration;
    const rest = Math.max(0, this.#callDuration - (now - this.#startedAt));
    return rest + this.#callDuration;
  }

  /** Records that a call begins; returns the function that records its end. */
  beginCall(): (succeeded: boolean) => void {
    const startedAt = clock.now();
    this.#startedAt = startedAt;
    this.#startedCalls += 1;
    this.#callsInProgress += 1;
    const call = this.#startedCalls;
    return (succeeded) => {
      this.#callsInProgress -= 1;
      if (succeeded) this.#callDuration = clock.now() - startedAt;
      // While the store is away, waiting for the next call would only delay other ways.
      const settled = [...this.#waiting]
        .filter(({ after }) => after < call || !succeeded);
      this.#lastAnswered = settled.length;
      for (const question of settled) question.settle(succeeded);
    };
  }

  /** Waits until the proxies that were just answered have asked again, so that the next call covers them; at most `timeout` ms. */
  async gather(timeout: number): Promise<void> {
    if (this.#waiting.size >= this.#lastAnswered) return;
    await new Promise<void>((resolve) => {
      const timer = setTimeout(resolve, timeout);
      this.#wakeGathering = () => {
        clearTimeout(timer);
        resolve();
      };
    });
    this.#wakeGathering = undefined;
  }
}
