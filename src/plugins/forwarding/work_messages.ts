/**
 * The messages by which one proxy runs work on connections that another one
 * holds: their kinds, and how requests are written and read. Times are those of
 * the holder's clock.
 *
 * @module
 */
import type { Priority } from "../connections/connections.ts";
import {
  decodeText,
  type EncodedText,
  encodeText,
} from "../channels/frames.ts";
import type { LinkOperation, LinkStatement } from "../upstream/link.ts";
import {
  formatPosition,
  parsePosition,
  type Position,
} from "../upstream/position.ts";
import { Fields } from "./fields.ts";

/** Kinds of messages. */
export const WorkKinds = {
  /** A statement outside a transaction. */
  RUN: "work.run",
  /** Begins a transaction. */
  BEGIN: "work.begin",
  /** A statement in a transaction. */
  NEXT: "work.next",
  /** Rolls a transaction back; as a call, or without an answer. */
  END: "work.end",
  /** A status request, or a change of an instance's replication. */
  COMMAND: "work.command",
  /** The sender is about to stop, and holds nothing any more. */
  STOPPING: "work.stopping",
} as const;

/** Session values as a list of names, each followed by its value. */
export type ValueList = readonly EncodedText[];

/** Which instance work is for, and how it is to wait there. */
export interface WorkTarget {
  readonly instance: string;
  /** Unix ms of the instance's start, as the sender knows it. */
  readonly startedAt: number;
  readonly account: string | undefined;
  readonly priority: Priority;
  readonly rank: number | undefined;
  /** Time after which the work is not begun, in ms. */
  readonly deadline: number;
  readonly usefulUntil: number | undefined;
}

/** A statement outside a transaction. */
export interface RunRequest {
  readonly target: WorkTarget;
  readonly values: ValueList;
  readonly statement: LinkStatement;
}

/** The begin of a transaction under a number that the sender does not use twice on a connection. */
export interface BeginRequest {
  readonly target: WorkTarget;
  readonly values: ValueList;
  readonly number: number;
  readonly readOnly: boolean;
  readonly after: Position | undefined;
}

/** A statement in a transaction. */
export interface NextRequest {
  readonly number: number;
  readonly deadline: number;
  /** Undefined if they are those of the transaction's former statement. */
  readonly values: ValueList | undefined;
  readonly statement: LinkStatement;
}

/** A request that says or changes how an instance replicates. */
export interface Command {
  readonly name: "status" | "pause" | "resume" | "stepDown";
  /** Undefined for `status` and `resume`. */
  readonly term?: number;
}

/** A command for an instance. */
export interface CommandRequest {
  readonly target: WorkTarget;
  readonly command: Command;
}

const PRIORITIES: readonly Priority[] = ["high", "normal", "low"];
const COMMAND_NAMES: readonly Command["name"][] = [
  "status",
  "pause",
  "resume",
  "stepDown",
];

/** The list of a session's values, as they are now. */
export function listValues(values: ReadonlyMap<string, string>): ValueList {
  if (values.size === 0) return NO_VALUES;
  return [...values].flatMap(([name, value]) => [
    encodeText(name),
    encodeText(value),
  ]);
}

/** The list of no values. */
export const NO_VALUES: ValueList = [];

/** Whether two lists have the same values. */
export function equalValues(a: ValueList, b: ValueList): boolean {
  if (a === b) return true;
  return a.length === b.length &&
    a.every((text, index) => isSameText(text, b[index]!));
}

/** A text in base64 differs from the text that reads the same. */
function isSameText(a: EncodedText, b: EncodedText): boolean {
  if (typeof a === "string" || typeof b === "string") return a === b;
  return a[0] === b[0];
}

/** The values of a list. */
export function readValues(list: ValueList): ReadonlyMap<string, string> {
  const values = new Map<string, string>();
  for (let index = 0; index + 1 < list.length; index += 2) {
    values.set(decodeText(list[index])!, decodeText(list[index + 1])!);
  }
  return values;
}

/** Writes a statement outside a transaction. */
export function writeRun({ target, values, statement }: RunRequest): unknown {
  return [...writeTarget(target), values, ...writeStatement(statement)];
}

/** Reads a statement outside a transaction; throws if it is malformed. */
export function readRun(body: unknown): RunRequest {
  const fields = new Fields(body);
  return {
    target: readTarget(fields),
    values: readList(fields),
    statement: readStatement(fields),
  };
}

/** Writes the begin of a transaction. */
export function writeBegin(request: BeginRequest): unknown {
  const { target, values, number, readOnly, after } = request;
  return [
    ...writeTarget(target),
    values,
    number,
    readOnly,
    writePosition(after),
  ];
}

/** Reads the begin of a transaction; throws if it is malformed. */
export function readBegin(body: unknown): BeginRequest {
  const fields = new Fields(body);
  return {
    target: readTarget(fields),
    values: readList(fields),
    number: fields.number(),
    readOnly: fields.boolean(),
    after: readPosition(fields),
  };
}

/** Writes a statement in a transaction. */
export function writeNext(request: NextRequest): unknown {
  const { number, deadline, values, statement } = request;
  return [number, deadline, values, ...writeStatement(statement)];
}

/** Reads a statement in a transaction; throws if it is malformed. */
export function readNext(body: unknown): NextRequest {
  const fields = new Fields(body);
  return {
    number: fields.number(),
    deadline: fields.number(),
    values: fields.isNull() ? fields.skip() : readList(fields),
    statement: readStatement(fields),
  };
}

/** Writes the end of a transaction. */
export function writeEnd(number: number): unknown {
  return [number];
}

/** Reads the end of a transaction: its number; throws if it is malformed. */
export function readEnd(body: unknown): number {
  return new Fields(body).number();
}

/** Writes a command. */
export function writeCommand({ target, command }: CommandRequest): unknown {
  const { name, term } = command;
  return [...writeTarget(target), COMMAND_NAMES.indexOf(name), term];
}

/** Reads a command; throws if it is malformed. */
export function readCommand(body: unknown): CommandRequest {
  const fields = new Fields(body);
  const target = readTarget(fields);
  const name = fields.choice(COMMAND_NAMES);
  return { target, command: { name, term: fields.optionalNumber() } };
}

function writeTarget(target: WorkTarget): readonly unknown[] {
  const { instance, startedAt, account, priority, rank } = target;
  return [
    instance,
    startedAt,
    account,
    PRIORITIES.indexOf(priority),
    rank,
    Math.floor(target.deadline),
    target.usefulUntil && Math.floor(target.usefulUntil),
  ];
}

function readTarget(fields: Fields): WorkTarget {
  return {
    instance: fields.string(),
    startedAt: fields.number(),
    account: fields.optionalString(),
    priority: fields.choice(PRIORITIES),
    rank: fields.optionalNumber(),
    deadline: fields.number(),
    usefulUntil: fields.optionalNumber(),
  };
}

function writeStatement(statement: LinkStatement): readonly unknown[] {
  const { id, operation, after } = statement;
  return [
    id && encodeText(id),
    writeOperation(operation),
    writePosition(after),
  ];
}

function readStatement(fields: Fields): LinkStatement {
  return {
    id: fields.optionalText(),
    operation: readOperation(fields.list()),
    after: readPosition(fields),
  };
}

function writeOperation(operation: LinkOperation): readonly unknown[] {
  if (operation.kind === "text") return [encodeText(operation.text)];
  const { statement: { effect, shape }, arguments: given } = operation;
  return [encodeText(shape), effect === "write", encodeText(given)];
}

function readOperation(fields: Fields): LinkOperation {
  const text = fields.text();
  if (fields.isNull()) return { kind: "text", text };
  const effect = fields.boolean() ? "write" : "read";
  return {
    kind: "execute",
    statement: { effect, shape: text },
    arguments: fields.text(),
  };
}

/** Writes a position, if there is one. */
export function writePosition(
  position: Position | undefined,
): string | undefined {
  return position && formatPosition(position);
}

/** Reads a position, if there is one; throws if it is malformed, since a statement must not run without the position that it requires. */
export function readPosition(fields: Fields): Position | undefined {
  const text = fields.optionalString();
  if (text === undefined) return undefined;
  const position = parsePosition(text);
  if (position) return position;
  throw new Error("not a position");
}

function readList(fields: Fields): ValueList {
  const list = fields.array();
  if (list.some((value) => decodeText(value) === undefined)) {
    throw new Error("a value is no text");
  }
  return list as ValueList;
}
