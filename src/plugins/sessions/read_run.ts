/**
 * Runs a single read at an instance that has applied the position which the read
 * requires. A read has no side effects, so it can be retried at any instance until
 * its deadline.
 *
 * @module
 */
import { clock } from "../../kernel/clock.ts";
import type { Failure } from "../../kernel/result_codes.ts";
import { sleep } from "../../utils/sleep.ts";
import type { Answer, LinkOperation } from "../upstream/link.ts";
import { formatPosition, type Position } from "../upstream/position.ts";
import { acquireLink, runOnLink } from "./link_run.ts";
import {
  answered,
  isFinal,
  noReadInstance,
  type Outcome,
  refused,
} from "./outcome.ts";
import { describeAttempt, runAtPrimary } from "./primary_run.ts";
import {
  placeRead,
  recordLeaderAnswer,
  refreshSample,
} from "./primary_confirmation.ts";
import type { Task } from "./session_context.ts";

/** Fraction of a route's maximum age after which a sample is refreshed in the background. */
const REFRESH_AGE_FRACTION = 0.6;

/** Delay before lagging or busy instances are tried again; doubled on each retry up to the maximum. */
const RETRY_DELAY_MS = 25;
const MAX_RETRY_DELAY_MS = 200;

/** Remaining time below which no further attempt is started. */
const MIN_REMAINING_MS = 5;

/** Time after which an unanswered read is also sent to a second instance; well above the latency of reads at an instance with a short queue. */
const HEDGE_AFTER_MS = 250;

type Attempt =
  | { readonly kind: "answered"; readonly answer: Answer }
  | { readonly kind: "retry"; readonly reason: string }
  | { readonly kind: "turned away"; readonly failure: Failure };

/** Runs a read until an instance has answered it or its deadline is reached. */
export async function runRead(
  task: Task,
  read: LinkOperation,
): Promise<Outcome> {
  if (task.route.consistency !== "primary") {
    return await runAtAnyInstance(task, read);
  }
  const { group } = task.route;
  return await runAtPrimary(task, "read", read, (attempt) => {
    if (attempt.kind === "confirmed") {
      return { outcome: answered(attempt.answer) };
    }
    return {
      retry: refused(noReadInstance(group, describeAttempt(attempt))),
    };
  });
}

/** The position that a read must observe, given when it was received. Queries the primary if no sample is fresh enough; undefined if the deadline passes first. */
export async function requirePosition(
  task: Task,
): Promise<Position | undefined> {
  const { context, route, session, receivedAt, deadline } = task;
  const samples = context.samples(route.group);
  const since = receivedAt - route.maxAge;
  while (clock.now() < deadline) {
    const position = samples.required(since, session.position);
    if (position) {
      const age = clock.now() - (samples.latest?.at ?? -Infinity);
      if (age > REFRESH_AGE_FRACTION * route.maxAge) {
        void refreshSample(context, route.group, deadline);
      }
      return position;
    }
    await refreshSample(context, route.group, deadline);
    if (samples.required(since, session.position)) continue;
    await sleep(RETRY_DELAY_MS);
  }
  return undefined;
}

async function runAtAnyInstance(
  task: Task,
  read: LinkOperation,
): Promise<Outcome> {
  const { route, deadline } = task;
  const excluded = new Set<string>();
  let reason = "no young enough position of the primary is known";
  let refusal: Failure | undefined;
  let retryDelay = RETRY_DELAY_MS;
  while (clock.now() < deadline - MIN_REMAINING_MS) {
    const position = await requirePosition(task);
    if (!position) break;
    const place = placeRead(task, position, excluded);
    if (!place) {
      if (refusal) return refused(refusal);
      excluded.clear();
      await sleep(retryDelay);
      retryDelay = Math.min(MAX_RETRY_DELAY_MS, 2 * retryDelay);
      continue;
    }
    const { instance, wait } = place;
    excluded.add(instance);
    if (wait > 0) await sleep(wait);
    const race = { won: false };
    const attempt = await hedge(
      attemptRead(task, read, instance, position, race, excluded),
      () => {
        const other = placeRead(task, position, excluded);
        if (!other) return undefined;
        const { instance } = other;
        excluded.add(instance);
        return attemptRead(task, read, instance, position, race, excluded);
      },
    );
    race.won = true;
    if (attempt.kind === "answered") return answered(attempt.answer);
    if (attempt.kind === "turned away") refusal = attempt.failure;
    else reason = attempt.reason;
  }
  return refused(refusal ?? noReadInstance(route.group, reason));
}

/** Hedges a read: starts the second attempt if the first is slow, and resolves to the first answer. */
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
  read: LinkOperation,
  instance: string,
  position: Position,
  /** Whether the read has already ended through another attempt. */
  race: { readonly won: boolean },
  /** Instances that are not tried again. */
  excluded: Set<string>,
): Promise<Attempt> {
  const { context, route } = task;
  const leader = context.succession.leadership(route.group).current();
  const lease = await acquireLink(task, instance);
  if (lease.isErr()) return notSent(task, instance, lease.error, position);
  const link = lease.value;
  if (race.won) {
    link.release();
    return { kind: "retry", reason: "answered elsewhere" };
  }
  const result = await runOnLink(task, link, read, position);
  if (result.isErr()) {
    const { notSent: failure, reason, holderLost } = result.error;
    if (failure) {
      link.release();
      return notSent(task, instance, failure, position);
    }
    // Nothing is known against the instance, which another proxy can reach.
    if (holderLost) excluded.delete(instance);
    else context.placement.recordFailure(instance);
    return failedAttempt(task, instance, reason, position);
  }
  const answer = result.value;
  link.release(answer.fault === "busy");
  if (leader?.instance === instance) {
    recordLeaderAnswer(context, route.group, leader, answer);
  }
  const samples = context.samples(route.group);
  if (answer.fault === "lagging") {
    const applied = answer.position;
    context.placement.recordLag(instance, position, applied, samples);
    return failedAttempt(task, instance, "lagging", position, applied);
  }
  if (answer.fault) {
    if (answer.fault !== "busy") context.placement.recordFailure(instance);
    return failedAttempt(task, instance, answer.fault, position);
  }
  context.placement.recordAnswer(instance, answer.position, samples);
  context.requests.served(task, "read", () => ({
    group: route.group,
    instance,
    after: formatPosition(position),
    leader: leader?.instance === instance,
  }));
  return { kind: "answered", answer };
}

function failedAttempt(
  task: Task,
  instance: string,
  reason: string,
  position: Position | undefined,
  applied?: Position,
): Attempt {
  task.context.requests.attemptFailed(task, instance, reason, {
    group: task.route.group,
    after: position && formatPosition(position),
    shown: applied && formatPosition(applied),
  });
  return { kind: "retry", reason: `${instance}: ${reason}` };
}

/** Ends an attempt that was not sent: the instance is overloaded or could not be reached. */
function notSent(
  task: Task,
  instance: string,
  failure: Failure,
  position: Position,
): Attempt {
  if (isFinal(failure)) return turnAway(task, instance, failure);
  task.context.placement.recordFailure(instance);
  return failedAttempt(task, instance, failure.message, position);
}

function turnAway(
  task: Task,
  instance: string,
  failure: Failure,
): Attempt {
  task.context.requests.attemptFailed(task, instance, failure.message, {
    group: task.route.group,
  });
  return { kind: "turned away", failure };
}
