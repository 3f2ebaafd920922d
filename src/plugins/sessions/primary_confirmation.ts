/**
 * Helpers for statements that depend on the primary: recording its answers as
 * position samples, confirming its leadership and refreshing the samples.
 *
 * @module
 */
import { clock } from "../../kernel/clock.ts";
import type { Leader } from "../leadership/group_leadership.ts";
import type { Placement } from "../placement/read_placement.ts";
import type { Answer } from "../upstream/link.ts";
import type { Position } from "../upstream/position.ts";
import type { SessionContext, Task } from "./session_context.ts";

/** Extra time for a confirmation beyond the statement's deadline: an answer that is ready is worth delivering late. */
const CONFIRMATION_GRACE_MS = 1_500;

/** Records an answer of the leader. Its position becomes a sample if the leader's epoch is already confirmed, without another round. */
export function recordLeaderAnswer(
  context: SessionContext,
  group: string,
  leader: Leader,
  answer: Answer,
): void {
  context.succession.onAnswer(group, answer.position?.term);
  if (!answer.position) return;
  if (!context.succession.leadership(group).isConfirmed(leader.epoch)) return;
  context.samples(group).add({ at: answer.sentAt, position: answer.position });
}

/** Whether the leader is confirmed after its answer, so that the answer may be forwarded. */
export async function confirmAnswer(
  task: Task,
  leader: Leader,
  answer: Answer,
): Promise<boolean> {
  const { context, route, deadline } = task;
  const leadership = context.succession.leadership(route.group);
  const confirmDeadline = Math.max(deadline, clock.now()) +
    CONFIRMATION_GRACE_MS;
  const confirmed = await leadership.confirm(leader, confirmDeadline);
  if (confirmed && answer.position) {
    context.samples(route.group)
      .add({ at: answer.sentAt, position: answer.position });
  }
  return confirmed;
}

/** Chooses an instance for a read; undefined if none qualifies. */
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
      !succession.isSuspected(route.group),
    excluded,
  });
}

/** Sample refreshes in progress, by group. */
const pendingRefreshes = new WeakMap<
  SessionContext,
  Map<string, Promise<void>>
>();

/** Fetches the leader's position as a new sample; concurrent calls for a group share one request. */
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
  const leader = await leadership.waitForLeader(deadline);
  if (!leader) return;
  const acquired = await context.pools.acquire({
    instance: leader.instance,
    priority: "high",
    deadline,
  });
  if (acquired.isErr()) return;
  const link = acquired.value;
  const { isForwarded } = link;
  if (!isForwarded) context.succession.onRequest(group, leader.instance);
  const status = await link.status(deadline);
  if (status.isErr()) {
    if (!status.error.silent) link.release();
    if (!isForwarded) context.succession.onFailure(group, leader.instance);
    return;
  }
  link.release();
  if (status.value.role !== "primary") return;
  context.succession.onAnswer(group, status.value.term);
  if (!await leadership.confirm(leader, deadline)) return;
  context.samples(group).add({
    at: status.value.sentAt,
    position: status.value.received,
  });
}
