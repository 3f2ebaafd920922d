/**
 * Runs a single read: at an instance whose log shows what the read must show.
 * A read has no effect, so it may be tried again anywhere while there is time.
 *
 * @module
 */
import type { Failure } from "../../kernel/result_codes.ts";
import { sleep } from "../../utils/sleep.ts";
import type { Answer } from "../upstream/link.ts";
import { formatPosition, type Position } from "../upstream/position.ts";
import { lendLink, runOnLink } from "./link_run.ts";
import {
  answered,
  isOverload,
  noInstance,
  type Outcome,
  refused,
} from "./outcome.ts";
import { describeAttempt, runAtPrimary } from "./primary_run.ts";
import { noteLeaderAnswer, placeRead, refreshSample } from "./primary_work.ts";
import type { StatementOperation, Task } from "./session_context.ts";

/** Part of a route's greatest age after which a new sample is asked for ahead of need. */
const REFRESH_PART = 0.6;

/** Pause before instances that lagged or were full are tried again, in ms; doubled while it goes on. */
const REPEAT_PAUSE_MS = 25;
const REPEAT_PAUSE_MAX_MS = 200;

/** Time left below which a read is not begun again, in ms. */
const LEAST_TIME_MS = 5;

/** An unanswered read is also sent elsewhere after this, in ms; well above what reads take at an instance with a short queue. */
const HEDGE_AFTER_MS = 250;

type Attempt =
  | { readonly kind: "answered"; readonly answer: Answer }
  | { readonly kind: "again"; readonly reason: string }
  | { readonly kind: "overloaded"; readonly failure: Failure };

/** Runs a read until an instance has answered it or its time is over. */
export async function runRead(
  task: Task,
  read: StatementOperation,
): Promise<Outcome> {
  if (task.route.consistency !== "primary") {
    return await runAnywhere(task, read);
  }
  const { group } = task.route;
  return await runAtPrimary(task, "read", read, (attempt) => {
    if (attempt.kind === "confirmed") {
      return { outcome: answered(attempt.answer) };
    }
    return { again: refused(noInstance(group, describeAttempt(attempt))) };
  });
}

/** The position that a read received at a time has to find; asks the primary when no sample is young enough. */
export async function requirePosition(
  task: Task,
): Promise<Position | undefined> {
  const { context, route, session, receivedAt, deadline } = task;
  const samples = context.samples(route.group);
  const since = receivedAt - route.maxAge;
  while (performance.now() < deadline) {
    const position = samples.required(since, session.position);
    if (position) {
      const age = performance.now() - (samples.latest?.at ?? -Infinity);
      if (age > REFRESH_PART * route.maxAge) {
        void refreshSample(context, route.group, deadline);
      }
      return position;
    }
    await refreshSample(context, route.group, deadline);
    if (samples.required(since, session.position)) continue;
    await sleep(REPEAT_PAUSE_MS);
  }
  return undefined;
}

async function runAnywhere(
  task: Task,
  read: StatementOperation,
): Promise<Outcome> {
  const { route, deadline } = task;
  const excluded = new Set<string>();
  let reason = "no young enough position of the primary is known";
  let overload: Failure | undefined;
  let repeatPause = REPEAT_PAUSE_MS;
  while (performance.now() < deadline - LEAST_TIME_MS) {
    const position = await requirePosition(task);
    if (!position) break;
    const place = placeRead(task, position, excluded);
    if (!place) {
      if (overload) return refused(overload);
      excluded.clear();
      await sleep(repeatPause);
      repeatPause = Math.min(REPEAT_PAUSE_MAX_MS, 2 * repeatPause);
      continue;
    }
    const { instance, wait } = place;
    excluded.add(instance);
    if (wait > 0) await sleep(wait);
    const race = { won: false };
    const attempt = await hedge(
      attemptRead(task, read, instance, position, race),
      () => {
        const other = placeRead(task, position, excluded);
        if (!other) return undefined;
        excluded.add(other.instance);
        return attemptRead(task, read, other.instance, position, race);
      },
    );
    race.won = true;
    if (attempt.kind === "answered") return answered(attempt.answer);
    if (attempt.kind === "overloaded") overload = attempt.failure;
    else reason = attempt.reason;
  }
  return refused(overload ?? noInstance(route.group, reason));
}

/** The first attempt that is answered; the second one begins when the first takes long. */
async function hedge(
  first: Promise<Attempt>,
  second: () => Promise<Attempt> | undefined,
): Promise<Attempt> {
  const early = await Promise.race([
    first,
    sleep(HEDGE_AFTER_MS).then(() => undefined),
  ]);
  if (early) return early;
  const other = second();
  if (!other) return await first;
  const winner = await Promise.race([first, other]);
  if (winner.kind === "answered") return winner;
  const both = await Promise.all([first, other]);
  return both.find(({ kind }) => kind === "answered") ?? winner;
}

async function attemptRead(
  task: Task,
  read: StatementOperation,
  instance: string,
  position: Position,
  /** Whether another attempt of the same read has ended it. */
  race: { readonly won: boolean },
): Promise<Attempt> {
  const { context, route } = task;
  const leader = context.succession.leadership(route.group).current();
  const lent = await lendLink(task, instance);
  if (lent.isErr()) {
    if (isOverload(lent.error)) return overloaded(task, instance, lent.error);
    context.placement.failed(instance);
    return giveUp(task, instance, lent.error.message, position);
  }
  const link = lent.value;
  if (race.won) {
    link.release();
    return { kind: "again", reason: "answered elsewhere" };
  }
  const result = await runOnLink(task, link, read, position);
  if (result.isErr()) {
    context.placement.failed(instance);
    return giveUp(task, instance, result.error.reason, position);
  }
  const answer = result.value;
  link.release(answer.fault === "busy");
  if (leader?.instance === instance) {
    noteLeaderAnswer(context, route.group, leader, answer);
  }
  const samples = context.samples(route.group);
  if (answer.fault === "lagging") {
    const shown = answer.position;
    context.placement.lagged(instance, position, shown, samples);
    return giveUp(task, instance, "lagging", position, shown);
  }
  if (answer.fault) {
    if (answer.fault !== "busy") context.placement.failed(instance);
    return giveUp(task, instance, answer.fault, position);
  }
  context.placement.answered(instance, answer.position, samples);
  context.requests.served(task, "read", () => ({
    group: route.group,
    instance,
    after: formatPosition(position),
    leader: leader?.instance === instance,
  }));
  return { kind: "answered", answer };
}

function giveUp(
  task: Task,
  instance: string,
  reason: string,
  position: Position | undefined,
  shown?: Position,
): Attempt {
  task.context.requests.attempt(task, instance, reason, {
    group: task.route.group,
    after: position && formatPosition(position),
    shown: shown && formatPosition(shown),
  });
  return { kind: "again", reason: `${instance}: ${reason}` };
}

function overloaded(task: Task, instance: string, failure: Failure): Attempt {
  task.context.requests.attempt(task, instance, failure.message, {
    group: task.route.group,
  });
  return { kind: "overloaded", failure };
}
