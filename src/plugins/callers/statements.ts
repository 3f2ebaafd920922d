/**
 * A caller's prepared statements. They are prepared anew on whichever upstream
 * connection runs them, under a name made from their text.
 *
 * @module
 */
import { createHash } from "node:crypto";
import {
  createMessage,
  FrontendType,
  HEADER_BYTES,
  type Message,
  readCString,
} from "../wire/message.ts";

/** A prepared statement of a caller. */
export interface PreparedStatement {
  readonly text: string;
  /** Name on upstream connections; empty for the unnamed statement. */
  readonly upstreamName: string;
  /** The Parse message under the upstream name. */
  readonly parse: Message;
}

/** What a Parse message holds. */
export interface ParsedStatement {
  readonly name: string;
  readonly statement: PreparedStatement;
}

const NAME_PREFIX = "marjoramshed_";
const NAME_DIGITS = 24;

/** Reads a Parse message; undefined when it is malformed. */
export function readParse(message: Message): ParsedStatement | undefined {
  const name = readCString(message, HEADER_BYTES);
  if (!name) return undefined;
  const text = readCString(message, name.end);
  if (!text) return undefined;
  const tail = message.data.subarray(name.end);
  const upstreamName = name.text === "" ? "" : nameOf(tail);
  const parse = name.text === ""
    ? message
    : withName(FrontendType.PARSE, upstreamName, tail);
  return {
    name: name.text,
    statement: { text: text.text, upstreamName, parse },
  };
}

/** Name of the statement in a Bind message and the offset after it. */
export function readBind(
  message: Message,
):
  | { readonly portalEnd: number; readonly name: string; readonly end: number }
  | undefined {
  const portal = readCString(message, HEADER_BYTES);
  if (!portal) return undefined;
  const name = readCString(message, portal.end);
  if (!name) return undefined;
  return { portalEnd: portal.end, name: name.text, end: name.end };
}

/** A Bind message under another statement name. */
export function renameBind(message: Message, name: string): Message {
  const place = readBind(message)!;
  const body = Buffer.concat([
    message.data.subarray(HEADER_BYTES, place.portalEnd),
    Buffer.from(name + "\0"),
    message.data.subarray(place.end),
  ]);
  return createMessage(FrontendType.BIND, body);
}

/** Kind (`S` or `P`) and name in a Describe or Close message. */
export function readTarget(
  message: Message,
): { readonly kind: "S" | "P"; readonly name: string } | undefined {
  const kind = String.fromCharCode(message.data[HEADER_BYTES] ?? 0);
  if (kind !== "S" && kind !== "P") return undefined;
  const name = readCString(message, HEADER_BYTES + 1);
  return name && { kind, name: name.text };
}

/** A Describe message for a statement under another name. */
export function renameDescribe(name: string): Message {
  return createMessage(FrontendType.DESCRIBE, Buffer.from(`S${name}\0`));
}

function nameOf(tail: Buffer): string {
  const digest = createHash("sha256").update(tail).digest("hex");
  return NAME_PREFIX + digest.slice(0, NAME_DIGITS);
}

function withName(type: number, name: string, tail: Buffer): Message {
  return createMessage(type, Buffer.concat([Buffer.from(name + "\0"), tail]));
}

/** Notes the statements of a unit that the proxy answers itself. */
export function noteLocalStatements(
  messages: readonly Message[],
  statements: Map<string, PreparedStatement>,
): void {
  for (const message of messages) {
    if (message.type !== FrontendType.PARSE) continue;
    const parsed = readParse(message);
    if (parsed) statements.set(parsed.name, parsed.statement);
  }
}
