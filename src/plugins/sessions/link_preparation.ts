/**
 * Applies the state of a session to a connection. The statements that do so are
 * pipelined ahead of the statement that needs them, without a round trip of
 * their own.
 *
 * @module
 */
import type { PreparedStatement, UpstreamLink } from "../upstream/link.ts";
import type { Task } from "./session_context.ts";

/** Name of a prepared statement on upstream connections. It is built from the effect and the shape because the names chosen by different callers collide. */
export function preparedName({ effect, shape }: PreparedStatement): string {
  return `${effect}_${shape}`;
}

/** Sets exactly the session's values on the connection and prepares the statement to run. */
export function prepareLink(
  link: UpstreamLink,
  task: Task,
  shape?: PreparedStatement,
): void {
  const { context, deadline, session } = task;
  const hasForeignValues = [...link.values.keys()]
    .some((name) => !session.values.has(name));
  if (hasForeignValues) void link.reset(deadline);
  for (const [name, value] of session.values) {
    if (link.values.get(name) === value) continue;
    void link.setValue(name, value, deadline);
  }
  if (!shape) return;
  const name = preparedName(shape);
  if (link.prepared.has(name)) return;
  context.requests.prepared(task, link, name, shape);
  void link.prepare(name, shape, deadline);
}
