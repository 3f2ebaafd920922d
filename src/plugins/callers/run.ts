/**
 * Types and functions that all ways of running a unit share.
 *
 * @module
 */
import { err, ok, type Result } from "neverthrow";
import { Events } from "../../kernel/events.ts";
import {
  createFailure,
  type Failure,
  ResultCodes,
} from "../../kernel/result_codes.ts";
import type { UpstreamConnection } from "../connections/connections.ts";
import type { Group } from "../document/document.ts";
import { formatPosition, type Position } from "../upstream/position.ts";
import {
  createParameterStatus,
  createQuery,
  type Message,
} from "../wire/message.ts";
import type { NextUnit } from "./batch.ts";
import type { CallerContext, SessionIdentity } from "./caller_context.ts";
import type { CallerOutput } from "./caller_output.ts";
import type { Exchange, InternalAnswer, UpstreamError } from "./exchange.ts";
import type { Plan } from "./plan.ts";
import {
  createSettingsPrelude,
  replaySetting,
  type SessionState,
} from "./session_state.ts";
import type { Unit } from "./unit_reader.ts";

/** A unit to run, with its plan and the session and services that it needs. */
export interface Run {
  readonly context: CallerContext;
  readonly identity: SessionIdentity;
  readonly group: Group;
  readonly state: SessionState;
  readonly output: CallerOutput;
  readonly unit: Unit;
  readonly plan: Plan;
  readonly next: NextUnit;
  /** Sets the connection that runs the unit, so that a cancel request can reach it. */
  readonly track: (connection: UpstreamConnection | undefined) => void;
  /** Time until which the unit may wait before it runs, in monotonic ms. */
  readonly deadline: number;
}

/** A connection that the session keeps after a unit, because a transaction is open or it has session state that can't be replayed. */
export interface HeldConnection {
  readonly exchange: Exchange;
  readonly instance: string;
  readonly target: "primary" | "replica";
  readonly pinned: boolean;
  /** Whether the open transaction may have written. */
  readonly wrote: boolean;
  readonly inTransaction: boolean;
}

/** Result of running a unit. */
export type RunResult =
  | { readonly kind: "answered" }
  | { readonly kind: "held"; readonly held: HeldConnection }
  /** The caller gets only this failure, which ends the answer to the unit. */
  | { readonly kind: "failed"; readonly failure: Failure }
  /** The transaction was lost with its connection; further statements are refused until the caller ends it. */
  | { readonly kind: "transaction lost"; readonly failure: Failure };

/** Result of a unit whose answer was written and that keeps no connection. */
export const ANSWERED: RunResult = { kind: "answered" };

/** The Query for the term and position after a commit. */
export const POSITION_QUERY: Buffer = createQuery(
  "SELECT * FROM marjoramshed_position()",
);

/** SQLSTATEs with which an upstream terminates its connections. */
const UPSTREAM_STOP_STATES: ReadonlySet<string> = new Set([
  "25P03",
  "57P01",
  "57P02",
  "57P03",
]);
const READ_ONLY_STATE = "25006";

/** Whether an error means that the upstream terminates the connection. */
export function isUpstreamStop(error: UpstreamError): boolean {
  return UPSTREAM_STOP_STATES.has(error.sqlState);
}

/** Whether an error means that the upstream is not the primary, so that nothing was run. */
export function isNotPrimary(error: UpstreamError): boolean {
  return error.sqlState === READ_ONLY_STATE;
}

/** Reads the position from the answer to POSITION_QUERY; undefined if the query failed. */
export function readPositionAnswer(
  answer: InternalAnswer,
): Position | undefined {
  const row = answer.rows[0];
  if (!row?.[0] || !row[1]) return undefined;
  return { term: Number(row[0]), lsn: BigInt(row[1]) };
}

/** Creates the ParameterStatus that reports a session's position to the caller. */
export function createPositionMessage(position: Position): Message {
  return createParameterStatus(
    "marjoramshed.position",
    formatPosition(position),
  );
}

/** Runs one Query that the proxy sends for itself. */
export async function runInternalQuery(
  exchange: Exchange,
  text: string,
): Promise<InternalAnswer> {
  exchange.send([createQuery(text)], 1);
  return await exchange.readInternalAnswer();
}

/** Makes the connection's settings equal to those of the session; false if the connection was lost, and a failure if the upstream refused one, which leaves the connection as it was. */
export async function applySettings(
  exchange: Exchange,
  state: SessionState,
): Promise<Result<boolean, Failure>> {
  const present = exchange.connection.settings;
  const prelude = createSettingsPrelude(state.settings, present);
  if (prelude === undefined) return ok(true);
  const { lost, error } = await runInternalQuery(exchange, prelude);
  if (lost || error && isUpstreamStop(error)) return ok(false);
  if (error) return err(settingRefused(error));
  present.clear();
  for (const [name, text] of state.settings) present.set(name, text);
  return ok(true);
}

function settingRefused({ sqlState, message }: UpstreamError): Failure {
  return createFailure(
    { ...ResultCodes.UPSTREAM_REFUSED, sqlState },
    `a setting of the session was refused: ${message}`,
  );
}

/** Records the changes that a successful unit made to the state of the session and the connection. */
export function recordSessionState(
  plan: Plan,
  state: SessionState,
  exchange: Exchange,
): void {
  const { prepared, settings } = exchange.connection;
  const single = plan.single;
  if (single?.discardsState) {
    prepared.clear();
    state.statements.clear();
  }
  if (single?.resetsSettings) {
    settings.clear();
    state.discardSettings();
  }
  if (!single?.replayed) return;
  state.replay(single.replayed);
  replaySetting(settings, single.replayed);
}

/** Logs the instance that a write or a transaction runs on. */
export function logWrite(run: Run, instance: string): void {
  run.context.log.write(Events.WRITE_ROUTED, {
    session: run.identity.id,
    database: run.group.database,
    instance,
  });
}
