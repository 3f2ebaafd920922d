/**
 * A caller's prepared statements. They are prepared on each upstream connection
 * that runs them, under a name derived from a hash of their text and types, and
 * of the settings with which the upstream reads these.
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
  /** The part of the Parse message after the name. */
  readonly content: Buffer;
}

/** Statement of a Parse message, with the name that the caller gave it. */
export interface ParsedStatement {
  readonly name: string;
  readonly statement: PreparedStatement;
}

const NAME_PREFIX = "marjoramshed_";
const NAME_DIGITS = 24;

/** Parameters that an upstream applies when it reads a text, so that a prepared statement keeps their values. */
const READING_PARAMETERS: ReadonlySet<string> = new Set([
  "array_nulls",
  "backslash_quote",
  "client_encoding",
  "datestyle",
  "intervalstyle",
  "lc_monetary",
  "search_path",
  "standard_conforming_strings",
  "timezone",
  "timezone_abbreviations",
  "transform_null_equals",
  "xmloption",
]);

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
    statement: { text: text.text, upstreamName, parse, content: tail },
  };
}

/** Identifies the settings with which an upstream reads texts; empty for the defaults. */
export function createReadingKey(
  settings: ReadonlyMap<string, string>,
): string {
  return [...settings]
    .filter(([name]) => READING_PARAMETERS.has(name))
    .map(([name, text]) => `${name}\0${text}\0`)
    .sort().join("");
}

/** The statement as it is prepared on a connection with the settings of the key. */
export function underSettings(
  statement: PreparedStatement,
  readingKey: string,
): PreparedStatement {
  const { content } = statement;
  if (statement.upstreamName === "" || readingKey === "") return statement;
  const upstreamName = createUpstreamName(content, readingKey);
  const parse = withName(FrontendType.PARSE, upstreamName, content);
  return { ...statement, upstreamName, parse };
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

/** A content ends with its types and a key begins with a name of a parameter, so that no two pairs are joined to the same bytes. */
function createUpstreamName(content: Buffer, readingKey = ""): string {
  const hash = createHash("sha256").update(content).update(readingKey);
  const digest = hash.digest("hex");
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
