/**
 * Runs a statement outside a transaction on an exclusive connection.
 *
 * @module
 */
import { err, ok, type ResultAsync } from "neverthrow";
import {
  createFailure,
  type Failure,
  ResultCodes,
} from "../../kernel/result_codes.ts";
import type { LinkRequest } from "../connections/link_pools.ts";
import type {
  Answer,
  LinkOperation,
  LinkResult,
  UpstreamLink,
} from "../upstream/link.ts";
import type { Position } from "../upstream/position.ts";
import { prepareLink } from "./link_preparation.ts";
import type { Task } from "./session_context.ts";

/** The request for a link that runs a statement. */
export function linkRequest(
  { account, route, deadline, usefulUntil }: Task,
  instance: string,
): LinkRequest {
  const { priority, rank } = route;
  const { name } = account ?? {};
  return { instance, account: name, priority, rank, deadline, usefulUntil };
}

/** Acquires a link to an instance; fails if the instance takes no more work by then, since it is leaving. */
export function acquireLink(
  task: Task,
  instance: string,
): ResultAsync<UpstreamLink, Failure> {
  const { context, route } = task;
  const leadership = context.succession.leadership(route.group);
  return context.pools.acquire(linkRequest(task, instance))
    .andThen((link) => {
      if (!leadership.isDrained(instance)) return ok(link);
      link.release();
      return err(
        createFailure(
          ResultCodes.UPSTREAM_UNREACHABLE,
          `${instance} is leaving`,
        ),
      );
    });
}

/** Runs a statement with its session's state applied. */
export async function runOnLink(
  task: Task,
  link: UpstreamLink,
  operation: LinkOperation,
  after?: Position,
): LinkResult<Answer> {
  const { id, session, deadline } = task;
  recordRequest(task, link);
  prepareLink(link, task, operation);
  const running = link.run({ id, operation, after }, deadline);
  session.track(running);
  const result = await running;
  if (result.isErr() && !result.error.notSent) recordLoss(task, link);
  return result;
}

/** Records a statement that is sent. Only a proxy with a connection of its own can tell from silence that an instance has failed. */
export function recordRequest(
  { context, route }: Task,
  { instance, isForwarded }: UpstreamLink,
): void {
  if (!isForwarded) context.succession.onRequest(route.group, instance);
}

/** Records a statement that got no answer from its instance. */
export function recordLoss(
  { context, route }: Task,
  { instance, isForwarded }: UpstreamLink,
): void {
  if (!isForwarded) context.succession.onFailure(route.group, instance);
}
