/**
 * What simple and extended queries of one connection have in common.
 *
 * @module
 */
import type { CallerChannel } from "./caller_channel.ts";
import type { EngineAccess } from "./engine_access.ts";
import { quoteLiteral } from "./engine.ts";
import type { DatabaseInstance } from "./instance.ts";
import type { Statement } from "./statement.ts";
import type { StatementNames } from "./statement_names.ts";
import { SqlFailure } from "./wire.ts";

/** One connection's parts. */
export interface SessionContext {
  readonly instance: DatabaseInstance;
  readonly channel: CallerChannel;
  readonly access: EngineAccess;
  readonly names: StatementNames;
}

/** A statement ended by a cancel request. */
export const CANCELLED = new SqlFailure(
  "57014",
  "canceling statement due to user request",
);

/** The text that the engine gets for a statement: its own, or one that fails as it must. */
export function engineText(
  { instance, names, access }: SessionContext,
  statement: Statement,
): string {
  if (statement.unsupported) {
    return failingText(new SqlFailure("0A000", statement.unsupported));
  }
  if (statement.readWrite && instance.role !== "primary") {
    const message = "cannot set transaction read-write mode on a replica";
    return failingText(new SqlFailure("25006", message));
  }
  if (!statement.deallocatesAll) return statement.text;
  access.execute(names.closeAll());
  return "RESET ALL";
}

/** A statement that raises a failure at the engine, so that its transaction fails too. */
export function failingText(failure: SqlFailure): string {
  const message = quoteLiteral(failure.message);
  return `DO $$ BEGIN RAISE EXCEPTION USING ERRCODE = '${failure.sqlState}',
    MESSAGE = ${message}; END $$`;
}

/** The failure behind any error. */
export function toFailure(error: unknown): SqlFailure {
  if (error instanceof SqlFailure) return error;
  return new SqlFailure("XX000", String(error));
}
