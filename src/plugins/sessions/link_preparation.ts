/**
 * Brings a connection to the state of a session. The statements go out ahead of
 * the one that needs them, in the same flight.
 *
 * @module
 */
import type { PreparedShape, UpstreamLink } from "../upstream/link.ts";
import type { SessionState } from "./session_context.ts";

/** Name of a prepared statement on every connection: names of different callers collide, shapes do not. */
export function preparedName({ effect, shape }: PreparedShape): string {
  return `${effect}_${shape}`;
}

/** Gives the connection the session's values and no others, and the statement that is to run. */
export function prepareLink(
  link: UpstreamLink,
  session: SessionState,
  shape: PreparedShape | undefined,
  deadline: number,
): void {
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
  void link.prepare(name, shape, deadline);
}
