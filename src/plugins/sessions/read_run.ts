/**
 * Runs a single read: at an instance whose log shows what the read must show.
 * A read has no effect, so it may be tried again anywhere while there is time.
 *
 * @module
 */
import type { Leader } from "../leadership/group_leadership.ts";
import type { Answer, LinkOperation, PreparedShape } from "../upstream/link.ts";
import { formatPosition, type Position } from "../upstream/position.ts";
import { prepareLink } from "./link_preparation.ts";
import {
  answered,
  noInstance,
  noPrimary,
  type Outcome,
  refused,
} from "./outcome.ts";
import {
  confirmAnswer,
  noteLeaderAnswer,
  refreshSample,
} from "./primary_work.ts";
import type { Task } from "./session_context.ts";

/** Part of a route's greatest age after which a new sample is asked for ahead of need. */
const REFRESH_PART = 0.6;

/** Pause before instances that lagged or were full are tried again, in ms. */
const REPEAT_PAUSE_MS = 25;

/** Time left below which a read is not begun again, in ms. */
const LEAST_TIME_MS = 5;

/** An unanswered read is also sent elsewhere after this, in ms; well above what reads take at an instance with a short queue. */
const HEDGE_AFTER_MS = 250;

/** What a read runs. */
export interface ReadOperation {
  readonly operation: LinkOperation;
  readonly shape?: PreparedShape;
}

type Attempt =
  | { readonly kind: "answered"; readonly answer: Answer }
  | { readonly kind: "again"; readonly reason: string };

/** Runs a read until an instance has answered it or its time is over. */
export async function runRead(
  task: Task,
  read: ReadOperation,
): Promise<Outcome> {
  return task.route.consistency === "primary"
    ? await runAtPrimary(task, read)
    : await runAnywhere(task, read);
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
    await pause(REPEAT_PAUSE_MS);
  }
  return undefined;
}

async function runAnywhere(
  task: Task,
  read: ReadOperation,
): Promise<Outcome> {
  const { context, route, deadline } = task;
  const excluded = new Set<string>();
  let reason = "no young enough position of the primary is known";
  while (performance.now() < deadline - LEAST_TIME_MS) {
    const position = await requirePosition(task);
    if (!position) break;
    const leadership = context.succession.leadership(route.group);
    const instance = context.placement.choose({
      group: route.group,
      position,
      primary: leadership.primary,
      excluded,
    });
    if (!instance) {
      excluded.clear();
      await pause(REPEAT_PAUSE_MS);
      continue;
    }
    excluded.add(instance);
    const attempt = await hedge(
      attemptRead(task, read, instance, position),
      () => {
        const other = context.placement.choose({
          group: route.group,
          position,
          primary: leadership.primary,
          excluded,
        });
        if (!other) return undefined;
        excluded.add(other);
        return attemptRead(task, read, other, position);
      },
    );
    if (attempt.kind === "answered") return answered(attempt.answer);
    reason = attempt.reason;
  }
  return refused(noInstance(route.group, reason));
}

/** The first attempt that is answered; the second one begins when the first takes long. */
async function hedge(
  first: Promise<Attempt>,
  second: () => Promise<Attempt> | undefined,
): Promise<Attempt> {
  const early = await Promise.race([
    first,
    pause(HEDGE_AFTER_MS).then(() => undefined),
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
  read: ReadOperation,
  instance: string,
  position: Position,
): Promise<Attempt> {
  const { context, route, session, deadline } = task;
  const leadership = context.succession.leadership(route.group);
  const leader = leadership.current();
  const lent = await context.pools.acquire(instance, route.priority, deadline);
  if (lent.isErr()) {
    context.placement.failed(instance);
    return giveUp(task, instance, lent.error.message, position);
  }
  const link = lent.value;
  prepareLink(link, session, read.shape, deadline);
  const result = await link.run(
    { id: task.id, operation: read.operation, after: position },
    deadline,
  );
  if (result.isErr()) {
    context.placement.failed(instance);
    context.succession.failed(route.group, instance);
    return giveUp(task, instance, result.error.reason, position);
  }
  const answer = result.value;
  link.release();
  if (leader?.instance === instance) {
    noteLeaderAnswer(context, route.group, leader, answer);
  }
  if (answer.fault === "lagging") {
    context.placement.lagged(instance);
    return giveUp(task, instance, "lagging", position);
  }
  if (answer.fault) {
    context.placement.failed(instance);
    return giveUp(task, instance, answer.fault, position);
  }
  context.placement.answered(instance, answer.position);
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
): Attempt {
  task.context.requests.attempt(task, instance, reason, {
    group: task.route.group,
    after: position && formatPosition(position),
  });
  return { kind: "again", reason: `${instance}: ${reason}` };
}

async function runAtPrimary(
  task: Task,
  read: ReadOperation,
): Promise<Outcome> {
  const { context, route, deadline } = task;
  const leadership = context.succession.leadership(route.group);
  let reason = "";
  while (performance.now() < deadline - LEAST_TIME_MS) {
    const leader = await leadership.usable(deadline);
    if (!leader) return refused(noPrimary(route.group));
    const leave = leadership.enter();
    try {
      const attempt = await attemptAtPrimary(task, read, leader);
      if (attempt.kind === "answered") return answered(attempt.answer);
      reason = attempt.reason;
    } finally {
      leave();
    }
    await pause(REPEAT_PAUSE_MS);
  }
  return refused(noInstance(route.group, reason || "its time is over"));
}

async function attemptAtPrimary(
  task: Task,
  read: ReadOperation,
  leader: Leader,
): Promise<Attempt> {
  const { context, route, session, deadline } = task;
  const { instance } = leader;
  const lent = await context.pools.acquire(instance, route.priority, deadline);
  if (lent.isErr()) {
    return giveUp(task, instance, lent.error.message, undefined);
  }
  const link = lent.value;
  prepareLink(link, session, read.shape, deadline);
  const result = await link.run(
    { id: task.id, operation: read.operation },
    deadline,
  );
  if (result.isErr()) {
    context.succession.failed(route.group, instance);
    return giveUp(task, instance, result.error.reason, undefined);
  }
  const answer = result.value;
  link.release();
  noteLeaderAnswer(context, route.group, leader, answer);
  if (answer.fault) return giveUp(task, instance, answer.fault, undefined);
  if (!await confirmAnswer(task, leader, answer)) {
    return giveUp(task, instance, "no longer the primary", undefined);
  }
  context.requests.served(task, "read", () => ({
    group: route.group,
    instance,
    epoch: leader.epoch,
  }));
  return { kind: "answered", answer };
}

function pause(duration: number): Promise<void> {
  return new Promise((resolve) => setTimeout(resolve, duration));
}
