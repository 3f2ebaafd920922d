/**
 * A caller's prepared statements. They are prepared on each upstream connection
 * that runs them, under a name derived from a hash of their text and types.
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

/** A caller's prepared statement. */
export interface PreparedStatement {
  readonly text: string;
  /** Name on upstream connections; empty for the unnamed statement. */
  readonly upstreamName: string;
  /** The Parse message with the upstream name. */
  readonly parse: Message;
}

/** Statement of a Parse message, with the name that the caller gave it. */
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
  const upstreamName = name.text === "" ? "" : createUpstreamName(tail);
  const parse = name.text === ""
    ? message
    : withName(FrontendType.PARSE, upstreamName, tail);
  return {
    name: name.text,
    statement: { text: text.text, upstreamName, parse },
  };
}

/** Reads the statement name of a Bind message, with the offsets after the portal name and after it; undefined when the message is malformed. */
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

/** Creates a copy of a Bind message with another statement name. */
export function renameBind(message: Message, name: string): Message {
  const bind = readBind(message)!;
  const body = Buffer.concat([
    message.data.subarray(HEADER_BYTES, bind.portalEnd),
    Buffer.from(name + "\0"),
    message.data.subarray(bind.end),
  ]);
  return createMessage(FrontendType.BIND, body);
}

/** Reads the kind (`S` for statement, `P` for portal) and name of a Describe or Close message; undefined when it is malformed. */
export function readTarget(
  message: Message,
): { readonly kind: "S" | "P"; readonly name: string } | undefined {
  const kind = String.fromCharCode(message.data[HEADER_BYTES] ?? 0);
  if (kind !== "S" && kind !== "P") return undefined;
  const name = readCString(message, HEADER_BYTES + 1);
  return name && { kind, name: name.text };
}

/** Creates a Describe message for the statement of the given name. */
export function renameDescribe(name: string): Message {
  return createMessage(FrontendType.DESCRIBE, Buffer.from(`S${name}\0`));
}

function createUpstreamName(tail: Buffer): string {
  const digest = createHash("sha256").update(tail).digest("hex");
  return NAME_PREFIX + digest.slice(0, NAME_DIGITS);
}

function withName(type: number, name: string, tail: Buffer): Message {
  return createMessage(type, Buffer.concat([Buffer.from(name + "\0"), tail]));
}

/** Records the prepared statements of a unit that the proxy answers itself. */
export function recordLocalStatements(
  messages: readonly Message[],
  statements: Map<string, PreparedStatement>,
): void {
  for (const message of messages) {
    if (message.type !== FrontendType.PARSE) continue;
    const parsed = readParse(message);
    if (parsed) statements.set(parsed.name, parsed.statement);
  }
}
