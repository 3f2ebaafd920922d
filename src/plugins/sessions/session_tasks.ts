/**
 * Turns a caller's statements into tasks: finds the route and the account that
 * each counts for, by the configuration in force when it was received.
 *
 * @module
 */
import { err, type Result } from "neverthrow";
import type { EventFields } from "../../kernel/events.ts";
import {
  createFailure,
  type Failure,
  ResultCodes,
} from "../../kernel/result_codes.ts";
import type { CallerIdentity } from "../accounts/caller_identity.ts";
import type { Route } from "../deployment/routes.ts";
import type { CallerRequest } from "./caller.ts";
import type { SessionContext, SessionState, Task } from "./session_context.ts";

/** What a caller asked for when it connected. */
export interface SessionOrigin {
  readonly database: string;
  readonly identity: CallerIdentity;
}

/** Creates the tasks of one session. */
export class SessionTasks {
  readonly #context: SessionContext;
  readonly #origin: SessionOrigin;
  readonly #session: SessionState;

  constructor(
    context: SessionContext,
    origin: SessionOrigin,
    session: SessionState,
  ) {
    this.#context = context;
    this.#origin = origin;
    this.#session = session;
  }

  /** Creates the task of a statement, on the route of the open transaction if there is one; fails if the database has no route or the caller's key no account. */
  create(
    { id, receivedAt }: CallerRequest,
    openRoute: Route | undefined,
  ): Result<Task, Failure> {
    const { database, identity } = this.#origin;
    const { table } = this.#context.routes;
    const route = openRoute ?? table?.routes.get(database);
    if (!table || !route) {
      return err(createFailure(
        ResultCodes.DATABASE_UNKNOWN,
        `no route is named ${database}`,
      ));
    }
    return identity.resolve(table, route).map((account) => ({
      context: this.#context,
      session: this.#session,
      route,
      account,
      id,
      receivedAt,
      deadline: receivedAt + route.statementTimeout,
      usefulUntil: receivedAt + route.targetLatency,
    }));
  }

  /** Fields of log lines about the session's statements. */
  describe(): EventFields {
    const { database, identity } = this.#origin;
    const { table } = this.#context.routes;
    const route = table?.routes.get(database);
    const account = table && route && identity.resolve(table, route);
    return {
      database,
      account: account?.unwrapOr(undefined)?.name,
      version: table?.version,
    };
  }
}
