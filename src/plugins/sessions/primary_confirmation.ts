/**
 * What statements at the primary share: waiting for a leader, noting its answers
 * as samples, and confirming that it still led.
 *
 * @module
 */
import type { Leader } from "../leadership/group_leadership.ts";
import type { Placement } from "../placement/read_placement.ts";
import type { Answer } from "../upstream/link.ts";
import type { Position } from "../upstream/position.ts";
import type { SessionContext, Task } from "./session_context.ts";

/** Extra time for a confirmation beyond the statement's own time, in ms: an answer that is ready is worth a late delivery. */
const CONFIRMATION_GRACE_MS = 1_500;

/** Notes an answer of the leader; its position is a sample when the reign is confirmed without asking. */
export function recordLeaderAnswer(
  context: SessionContext,
  group: string,
  leader: Leader,
  answer: Answer,
): void {
  context.succession.heard(group, answer.position?.term);
  if (!answer.position) return;
  if (!context.succession.leadership(group).isConfirmed(leader.epoch)) return;
  context.samples(group).add({ at: answer.sentAt, position: answer.position });
}

/** Whether an answer that depends on the leader may be passed on. */
export async function confirmAnswer(
  task: Task,
  leader: Leader,
  answer: Answer,
): Promise<boolean> {
  const { context, route, deadline } = task;
  const leadership = context.succession.leadership(route.group);
  const confirmDeadline = Math.max(deadline, performance.now()) +
    CONFIRMATION_GRACE_MS;
  const confirmed = await leadership.confirm(leader, confirmDeadline);
  if (confirmed && answer.position) {
    context.samples(route.group)
      .add({ at: answer.sentAt, position: answer.position });
  }
  return confirmed;
}

/** Where a read of a task may run. */
export function placeRead(
  { context, route }: Task,
  position: Position,
  excluded: ReadonlySet<string>,
): Placement | undefined {
  const { succession, placement } = context;
  const leadership = succession.leadership(route.group);
  return placement.choose({
    group: route.group,
    position,
    samples: context.samples(route.group),
    primary: leadership.primary,
    primaryUsable: leadership.current() !== undefined &&
      !succession.isDoubted(route.group),
    excluded,
  });
}

/** Samples that are being asked for, by group. */
const pendingRefreshes = new WeakMap<
  SessionContext,
  Map<string, Promise<void>>
>();

/** Asks the leader for its position; callers that ask meanwhile share the answer. */
export function refreshSample(
  context: SessionContext,
  group: string,
  deadline: number,
): Promise<void> {
  const refreshes = pendingRefreshes.get(context) ??
    new Map<string, Promise<void>>();
  pendingRefreshes.set(context, refreshes);
  const running = refreshes.get(group);
  if (running) return running;
  const refresh = fetchLeaderSample(context, group, deadline)
    .finally(() => refreshes.delete(group));
  refreshes.set(group, refresh);
  return refresh;
}

async function fetchLeaderSample(
  context: SessionContext,
  group: string,
  deadline: number,
): Promise<void> {
  const leadership = context.succession.leadership(group);
  const leader = await leadership.usable(deadline);
  if (!leader) return;
  const acquired = await context.pools.acquire(
    leader.instance,
    "high",
    deadline,
  );
  if (acquired.isErr()) return;
  const link = acquired.value;
  context.succession.asked(group, leader.instance);
  const status = await link.status(deadline);
  if (status.isErr()) {
    if (!status.error.silent) link.release();
    context.succession.failed(group, leader.instance);
    return;
  }
  link.release();
  if (status.value.role !== "primary") return;
  context.succession.heard(group, status.value.term);
  if (!await leadership.confirm(leader, deadline)) return;
  context.samples(group).add({
    at: status.value.sentAt,
    position: status.value.received,
  });
}
