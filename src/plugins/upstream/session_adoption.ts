/**
 * Applies the state of a session to a connection. The statements that do so are
 * pipelined ahead of the statement that needs them, without a round trip of
 * their own.
 *
 * @module
 */
import type { LinkOperation, LinkState } from "./link.ts";

/** Sets exactly the session's values on the connection and prepares the statement to run; returns its name if it was not prepared before. */
export function adoptSession(
  link: LinkState,
  values: ReadonlyMap<string, string>,
  operation: LinkOperation | undefined,
  deadline: number,
): string | undefined {
  const hasForeignValues = [...link.values.keys()]
    .some((name) => !values.has(name));
  if (hasForeignValues) void link.reset(deadline);
  for (const [name, value] of values) {
    if (link.values.get(name) === value) continue;
    void link.setValue(name, value, deadline);
  }
  if (operation?.kind !== "execute") return undefined;
  const { statement } = operation;
  if (link.preparedName(statement) !== undefined) return undefined;
  void link.prepare(statement, deadline);
  return link.preparedName(statement);
}
