/**
 * Runs a single write at the primary. It is retried only if it was not sent or
 * the answer guarantees that no part of it has run.
 *
 * @module
 */
import type { LinkOperation } from "../upstream/link.ts";
import type { Leader } from "../leadership/group_leadership.ts";
import {
  answered,
  hasNotRun,
  type Outcome,
  outcomeUnknown,
  refused,
} from "./outcome.ts";
import { type PrimaryAttempt, runAtPrimary } from "./primary_run.ts";
import type { Task } from "./session_context.ts";

/** Runs a write. The outcome is an answer, or a failure that says whether the write has not run or its outcome is unknown. */
export function runWrite(
  task: Task,
  write: LinkOperation,
): Promise<Outcome> {
  const evaluate = (attempt: PrimaryAttempt, { instance }: Leader) => {
    switch (attempt.kind) {
      case "confirmed":
        task.session.recordWrite(attempt.answer.position);
        return { outcome: answered(attempt.answer) };
      case "not sent":
        return { retry: refused(attempt.failure) };
      case "lost":
        return {
          outcome: refused(outcomeUnknown(
            `${instance} gave no answer to the write: ${attempt.loss.reason}`,
          )),
        };
      case "fault": {
        const outcome = answered(attempt.answer);
        const isRetryable = hasNotRun(attempt.answer.fault!);
        return isRetryable ? { retry: outcome } : { outcome };
      }
      case "replaced":
        return {
          outcome: refused(outcomeUnknown(
            `${instance} was replaced while it ran the write`,
          )),
        };
    }
  };
  return runAtPrimary(task, "write", write, evaluate);
}
