/**
 * Applies the state of a session to the link that runs its next statement.
 *
 * @module
 */
import type { LinkOperation, UpstreamLink } from "../upstream/link.ts";
import type { Task } from "./session_context.ts";

/** Makes the session's values and the statement to run available on the link. */
export function prepareLink(
  link: UpstreamLink,
  task: Task,
  operation?: LinkOperation,
): void {
  const { context, deadline, session } = task;
  const name = link.adopt(session.values, operation, deadline);
  if (name === undefined || operation?.kind !== "execute") return;
  context.requests.prepared(task, link, name, operation.statement);
}
