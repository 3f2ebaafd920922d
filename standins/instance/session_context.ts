/**
 * State and helpers shared by the simple and the extended queries of a connection.
 *
 * @module
 */
import type { CallerChannel } from "./caller_channel.ts";
import type { EngineAccess } from "./engine_access.ts";
import { quoteLiteral } from "./engine.ts";
import type { DatabaseInstance } from "./instance.ts";
import type { Statement } from "./statement.ts";
import type { PreparedStatements } from "./prepared_statements.ts";
import { SqlFailure } from "./wire.ts";

/** Components of one connection's session. */
export interface SessionContext {
  readonly instance: DatabaseInstance;
  readonly channel: CallerChannel;
  readonly access: EngineAccess;
  readonly preparedStatements: PreparedStatements;
}

/** Failure of a statement that a cancel request ended. */
export const QUERY_CANCELED = new SqlFailure(
  "57014",
  "canceling statement due to user request",
);

/** Stands for DEALLOCATE ALL, which would drop the statements of all connections on the engine; callers can't send it. */
const DEALLOCATED = "DISCARD PLANS";

/**
 * Returns the SQL to run on the engine for a statement: its own text, or a statement
 * that raises the required error. For DISCARD ALL and DEALLOCATE ALL, closes the
 * connection's prepared statements on the engine; only DISCARD ALL resets settings.
 */
export function rewriteForEngine(
  { instance, preparedStatements, access }: SessionContext,
  statement: Statement,
): string {
  if (statement.unsupportedReason) {
    return createRaiseStatement(
      new SqlFailure("0A000", statement.unsupportedReason),
    );
  }
  if (statement.requestsReadWrite && instance.role !== "primary") {
    const message = "cannot set transaction read-write mode on a replica";
    return createRaiseStatement(new SqlFailure("25006", message));
  }
  if (!statement.deallocatesAll) return statement.text;
  access.execute(preparedStatements.closeAll());
  return statement.resetsAll ? "RESET ALL" : DEALLOCATED;
}

/** Returns SQL that raises the failure on the engine, so that the open transaction fails too. */
export function createRaiseStatement(failure: SqlFailure): string {
  const message = quoteLiteral(failure.message);
  return `DO $$ BEGIN RAISE EXCEPTION USING ERRCODE = '${failure.sqlState}',
    MESSAGE = ${message}; END $$`;
}

/** Converts an error to a failure; unknown errors get SQLSTATE XX000 (internal error). */
export function toFailure(error: unknown): SqlFailure {
  if (error instanceof SqlFailure) return error;
  return new SqlFailure("XX000", String(error));
}
