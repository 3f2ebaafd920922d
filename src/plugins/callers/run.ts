/**
 * What all runs of a unit share.
 *
 * @module
 */
import { Events } from "../../kernel/events.ts";
import type { Failure } from "../../kernel/result_codes.ts";
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
import { createSettingsPrelude, type SessionState } from "./session_state.ts";
import type { Unit } from "./unit_reader.ts";

/** A unit that is to run, and all that it runs with. */
export interface Run {
  readonly context: CallerContext;
  readonly identity: SessionIdentity;
  readonly group: Group;
  readonly state: SessionState;
  readonly output: CallerOutput;
  readonly unit: Unit;
  readonly plan: Plan;
  readonly next: NextUnit;
  /** Tells the session which connection runs the unit, for a cancel request. */
  readonly track: (connection: UpstreamConnection | undefined) => void;
  /** Monotonic ms until which the unit may wait before it runs. */
  readonly deadline: number;
}

/** A connection that the session keeps after a unit: in a transaction, or because of state that can't be replayed. */
export interface HeldConnection {
  readonly exchange: Exchange;
  readonly instance: string;
  readonly target: "primary" | "replica";
  readonly pinned: boolean;
  /** Whether the open transaction may have written. */
  readonly wrote: boolean;
  readonly inTransaction: boolean;
}

/** How a run ended. */
export type RunResult =
  | { readonly kind: "answered" }
  | { readonly kind: "held"; readonly held: HeldConnection }
  /** Nothing but this failure is to be given; the unit's answer ends with it. */
  | { readonly kind: "failed"; readonly failure: Failure }
  /** The transaction was lost with its connection; its statements are refused until the caller ends it. */
  | { readonly kind: "transaction lost"; readonly failure: Failure };

/** A run that was answered. */
export const ANSWERED: RunResult = { kind: "answered" };

/** The Query that asks for the term and position after a commit. */
export const POSITION_QUERY: Buffer = createQuery(
  "SELECT * FROM marjoramshed_position()",
);

/** SQLSTATEs with which an upstream ends its connections. */
const UPSTREAM_STOP_STATES: ReadonlySet<string> = new Set([
  "25P03",
  "57P01",
  "57P02",
  "57P03",
]);
const READ_ONLY_STATE = "25006";

/** Whether an error says that the upstream is stopping. */
export function isUpstreamStop(error: UpstreamError): boolean {
  return UPSTREAM_STOP_STATES.has(error.sqlState);
}

/** Whether an error says that the upstream is not the primary, and so ran nothing. */
export function isNotPrimary(error: UpstreamError): boolean {
  return error.sqlState === READ_ONLY_STATE;
}

/** The position in the answer to POSITION_QUERY; undefined when it failed. */
export function readPositionAnswer(
  answer: InternalAnswer,
): Position | undefined {
  const row = answer.rows[0];
  if (!row?.[0] || !row[1]) return undefined;
  return { term: Number(row[0]), lsn: BigInt(row[1]) };
}

/** The message that gives a caller its session's position. */
export function createPositionMessage(position: Position): Message {
  return createParameterStatus(
    "marjoramshed.position",
    formatPosition(position),
  );
}

/** Runs one statement of the proxy's own. */
export async function runInternalQuery(
  exchange: Exchange,
  text: string,
): Promise<InternalAnswer> {
  exchange.send([createQuery(text)], 1);
  return await exchange.readInternalAnswer();
}

/** Brings the connection's settings to those of the session; false when that failed. */
export async function applySettings(
  exchange: Exchange,
  state: SessionState,
): Promise<boolean> {
  const present = exchange.connection.settings;
  const prelude = createSettingsPrelude(state.settings, present);
  if (prelude === undefined) return true;
  const answer = await runInternalQuery(exchange, prelude);
  if (answer.lost || answer.error) return false;
  present.clear();
  for (const [name, text] of state.settings) present.set(name, text);
  return true;
}

/** Notes what a unit that ended well has changed in the session and on the connection. */
export function recordSessionState(
  plan: Plan,
  state: SessionState,
  exchange: Exchange,
): void {
  const { prepared, settings } = exchange.connection;
  const single = plan.single;
  if (single?.discardsState) {
    prepared.clear();
    settings.clear();
    state.settings.clear();
    state.statements.clear();
  }
  if (!single?.replayed) return;
  state.replay(single.replayed);
  settings.clear();
  for (const [name, text] of state.settings) settings.set(name, text);
}

/** Logs where a write or a transaction goes. */
export function logWrite(run: Run, instance: string): void {
  run.context.log.write(Events.WRITE_ROUTED, {
    session: run.identity.id,
    database: run.group.database,
    instance,
  });
}
