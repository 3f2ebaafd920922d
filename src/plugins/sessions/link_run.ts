/**
 * Runs a statement outside a transaction on an exclusive connection.
 *
 * @module
 */
import type { ResultAsync } from "neverthrow";
import type { Failure } from "../../kernel/result_codes.ts";
import type {
  Answer,
  LinkOperation,
  LinkResult,
  UpstreamLink,
} from "../upstream/link.ts";
import type { Position } from "../upstream/position.ts";
import { prepareLink } from "./link_preparation.ts";
import type { Task } from "./session_context.ts";

/** Acquires a connection to an instance from the pool. */
export function acquireLink(
  { context, route, deadline, usefulUntil }: Task,
  instance: string,
): ResultAsync<UpstreamLink, Failure> {
  return context.pools.acquire(instance, route.priority, deadline, usefulUntil);
}

/** Runs a statement with its session's state applied. */
export async function runOnLink(
  task: Task,
  link: UpstreamLink,
  operation: LinkOperation,
  after?: Position,
): LinkResult<Answer> {
  const { id, context, route, session, deadline } = task;
  context.succession.onRequest(route.group, link.instance);
  prepareLink(link, task, operation);
  const running = link.run({ id, operation, after }, deadline);
  session.track(running);
  const result = await running;
  if (result.isErr() && !result.error.notSent) {
    context.succession.onFailure(route.group, link.instance);
  }
  return result;
}
