/**
 * Runs a single statement at the primary of a group and retries it as its
 * evaluator decides: a write only where no part of it has run.
 *
 * @module
 */
import { clock } from "../../kernel/clock.ts";
import type { Failure } from "../../kernel/result_codes.ts";
import { sleep } from "../../utils/sleep.ts";
import type { Leader } from "../leadership/group_leadership.ts";
import type { Answer, LinkLoss, LinkOperation } from "../upstream/link.ts";
import { formatPosition } from "../upstream/position.ts";
import { acquireLink, runOnLink } from "./link_run.ts";
import { isFinal, noPrimary, type Outcome, refused } from "./outcome.ts";
import { confirmAnswer, recordLeaderAnswer } from "./primary_confirmation.ts";
import type { Task } from "./session_context.ts";

/** Delay before a statement is retried. */
const RETRY_DELAY_MS = 25;

/** Remaining time below which no further attempt is started. */
const MIN_REMAINING_MS = 5;

/** The result of one attempt to run a statement at the primary. */
export type PrimaryAttempt =
  /** The statement ran, and the primary was confirmed as leader afterwards. */
  | { readonly kind: "confirmed"; readonly answer: Answer }
  /** No connection could be acquired; nothing was sent. */
  | { readonly kind: "not sent"; readonly failure: Failure }
  /** The statement was sent, but no answer arrived. */
  | { readonly kind: "lost"; readonly loss: LinkLoss }
  /** The instance answered with a fault. */
  | { readonly kind: "fault"; readonly answer: Answer }
  /** The statement ran, but the instance could not be confirmed as primary afterwards. */
  | { readonly kind: "replaced" };

/** Decides after an attempt: returns the final outcome, or in `retry` the outcome to report if no later attempt ends the statement. */
export type AttemptEvaluator = (
  attempt: PrimaryAttempt,
  leader: Leader,
) => { readonly outcome: Outcome } | { readonly retry: Outcome };

/** Runs a statement until the evaluator returns a final outcome, too many statements are queued for a connection, no primary is expected in time, or the deadline is reached. */
export async function runAtPrimary(
  task: Task,
  effect: "read" | "write",
  statement: LinkOperation,
  evaluate: AttemptEvaluator,
): Promise<Outcome> {
  const { context, route, deadline } = task;
  const leadership = context.succession.leadership(route.group);
  const absentOutcome = () =>
    refused(noPrimary(route.group, leadership.expectedIn()));
  let lastOutcome: Outcome | undefined;
  while (clock.now() < deadline - MIN_REMAINING_MS) {
    if (lastOutcome) await sleep(RETRY_DELAY_MS);
    const leader = await leadership.waitForLeader(deadline);
    if (!leader) return lastOutcome ?? absentOutcome();
    const leave = leadership.beginWork();
    try {
      const attempt = await attemptOnce(task, leader, statement);
      if (attempt.kind === "confirmed") {
        logServed(task, effect, leader, attempt);
      }
      const evaluated = evaluate(attempt, leader);
      if ("outcome" in evaluated) return evaluated.outcome;
      logFailedAttempt(task, leader, attempt);
      lastOutcome = evaluated.retry;
      if (attempt.kind !== "not sent") continue;
      if (isFinal(attempt.failure)) return refused(attempt.failure);
    } finally {
      leave();
    }
  }
  return lastOutcome ?? absentOutcome();
}

async function attemptOnce(
  task: Task,
  leader: Leader,
  statement: LinkOperation,
): Promise<PrimaryAttempt> {
  const acquired = await acquireLink(task, leader.instance);
  if (acquired.isErr()) return { kind: "not sent", failure: acquired.error };
  const link = acquired.value;
  const result = await runOnLink(task, link, statement);
  if (result.isErr()) {
    const { notSent } = result.error;
    if (!notSent) return { kind: "lost", loss: result.error };
    link.release();
    return { kind: "not sent", failure: notSent };
  }
  const answer = result.value;
  link.release(answer.fault === "busy");
  recordLeaderAnswer(task.context, task.route.group, leader, answer);
  if (answer.fault) return { kind: "fault", answer };
  return await confirmAnswer(task, leader, answer)
    ? { kind: "confirmed", answer }
    : { kind: "replaced" };
}

function logServed(
  task: Task,
  effect: "read" | "write",
  { instance, epoch }: Leader,
  { answer }: { readonly answer: Answer },
): void {
  task.context.requests.served(task, effect, () => ({
    group: task.route.group,
    instance,
    epoch,
    position: answer.position && formatPosition(answer.position),
  }));
}

function logFailedAttempt(
  task: Task,
  { instance, epoch }: Leader,
  attempt: PrimaryAttempt,
): void {
  task.context.requests.attemptFailed(
    task,
    instance,
    describeAttempt(attempt),
    {
      group: task.route.group,
      epoch,
    },
  );
}

/** Describes the result of an attempt for log lines and failure messages. */
export function describeAttempt(attempt: PrimaryAttempt): string {
  switch (attempt.kind) {
    case "confirmed":
      return "served";
    case "not sent":
      return attempt.failure.message;
    case "lost":
      return attempt.loss.reason;
    case "fault":
      return attempt.answer.fault!;
    case "replaced":
      return "no longer the primary";
  }
}
