/**
 * What a caller's statement runs at an instance.
 *
 * @module
 */
import type { LinkOperation, PreparedStatement } from "../upstream/link.ts";
import type { CallerStatement } from "./caller.ts";

/** An operation and its effect. */
export interface ResolvedStatement {
  readonly effect: "read" | "write";
  readonly operation: LinkOperation;
}

/** The operation that a statement runs, given the session's prepared statements by name; undefined for one that does not exist. */
export function resolveStatement(
  statement: CallerStatement & { kind: "read" | "write" | "execute" },
  prepared: ReadonlyMap<string, PreparedStatement>,
): ResolvedStatement | undefined {
  if (statement.kind !== "execute") {
    const operation = { kind: "text", text: statement.text } as const;
    return { effect: statement.kind, operation };
  }
  const found = prepared.get(statement.name);
  if (!found) return undefined;
  return {
    effect: found.effect,
    operation: {
      kind: "execute",
      statement: found,
      arguments: statement.arguments,
    },
  };
}
