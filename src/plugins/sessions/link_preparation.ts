/**
 * Applies the state of a session to a connection. The statements that do so are
 * pipelined ahead of the statement that needs them, without a round trip of
 * their own.
 *
 * @module
 */
import type { LinkOperation, UpstreamLink } from "../upstream/link.ts";
import type { Task } from "./session_context.ts";

/** Sets exactly the session's values on the connection and prepares the statement to run. */
export function prepareLink(
  link: UpstreamLink,
  task: Task,
  operation?: LinkOperation,
): void {
  const { context, deadline, session } = task;
  const hasForeignValues = [...link.values.keys()]
    .some((name) => !session.values.has(name));
  if (hasForeignValues) void link.reset(deadline);
  for (const [name, value] of session.values) {
    if (link.values.get(name) === value) continue;
    void link.setValue(name, value, deadline);
  }
  if (operation?.kind !== "execute") return;
  const { statement } = operation;
  if (link.preparedName(statement) !== undefined) return;
  void link.prepare(statement, deadline);
  context.requests.prepared(task, link, statement);
}
