/**
 * Runs a single statement at the primary of a group, and again where nothing of
 * it has run.
 *
 * @module
 */
import type { Failure } from "../../kernel/result_codes.ts";
import { sleep } from "../../utils/sleep.ts";
import type { Leader } from "../leadership/group_leadership.ts";
import type { Answer, LinkLoss } from "../upstream/link.ts";
import { formatPosition } from "../upstream/position.ts";
import { lendLink, runOnLink } from "./link_run.ts";
import { isOverload, noPrimary, type Outcome, refused } from "./outcome.ts";
import { confirmAnswer, noteLeaderAnswer } from "./primary_work.ts";
import type { StatementOperation, Task } from "./session_context.ts";

/** Pause before a statement is tried again, in ms. */
const REPEAT_PAUSE_MS = 25;

/** Time left below which a statement is not begun again, in ms. */
const LEAST_TIME_MS = 5;

/** What became of a statement that was tried at the primary. */
export type PrimaryAttempt =
  /** It ran, and the primary still led afterwards. */
  | { readonly kind: "confirmed"; readonly answer: Answer }
  /** There was no connection for it; nothing was sent. */
  | { readonly kind: "not sent"; readonly failure: Failure }
  /** It was sent and not answered. */
  | { readonly kind: "lost"; readonly loss: LinkLoss }
  /** The instance answered that it was not done. */
  | { readonly kind: "fault"; readonly answer: Answer }
  /** It ran at a primary that was replaced meanwhile. */
  | { readonly kind: "replaced" };

/** Ends a statement after an attempt, or gives a reason to try it again. */
export type AttemptJudge = (
  attempt: PrimaryAttempt,
  leader: Leader,
) => { readonly outcome: Outcome } | { readonly again: Outcome };

/** Runs a statement until the judge ends it, too many wait, or its time is over. */
export async function runAtPrimary(
  task: Task,
  effect: "read" | "write",
  statement: StatementOperation,
  judge: AttemptJudge,
): Promise<Outcome> {
  const { context, route, deadline } = task;
  const leadership = context.succession.leadership(route.group);
  const absent = () => refused(noPrimary(route.group, leadership.expectedIn()));
  let last: Outcome | undefined;
  while (performance.now() < deadline - LEAST_TIME_MS) {
    if (last) await sleep(REPEAT_PAUSE_MS);
    const leader = await leadership.usable(deadline);
    if (!leader) return last ?? absent();
    const leave = leadership.enter();
    try {
      const attempt = await attemptOnce(task, leader, statement);
      if (attempt.kind === "confirmed") {
        noteServed(task, effect, leader, attempt);
      }
      const judged = judge(attempt, leader);
      if ("outcome" in judged) return judged.outcome;
      noteAttempt(task, leader, attempt);
      last = judged.again;
      if (attempt.kind !== "not sent") continue;
      if (isOverload(attempt.failure)) return refused(attempt.failure);
    } finally {
      leave();
    }
  }
  return last ?? absent();
}

async function attemptOnce(
  task: Task,
  leader: Leader,
  statement: StatementOperation,
): Promise<PrimaryAttempt> {
  const lent = await lendLink(task, leader.instance);
  if (lent.isErr()) return { kind: "not sent", failure: lent.error };
  const link = lent.value;
  const result = await runOnLink(task, link, statement);
  if (result.isErr()) return { kind: "lost", loss: result.error };
  const answer = result.value;
  link.release(answer.fault === "busy");
  noteLeaderAnswer(task.context, task.route.group, leader, answer);
  if (answer.fault) return { kind: "fault", answer };
  return await confirmAnswer(task, leader, answer)
    ? { kind: "confirmed", answer }
    : { kind: "replaced" };
}

function noteServed(
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

function noteAttempt(
  task: Task,
  { instance, epoch }: Leader,
  attempt: PrimaryAttempt,
): void {
  task.context.requests.attempt(task, instance, describeAttempt(attempt), {
    group: task.route.group,
    epoch,
  });
}

/** Why an attempt did not serve its statement, in words. */
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
