/**
 * Framing of PostgreSQL protocol messages: type, length, body. Bodies are decoded
 * only where names and tags are needed.
 *
 * @module
 */
import type { Socket } from "node:net";

const HEADER_BYTES = 5;
const MESSAGE_LIMIT_BYTES = 256 * 1024 * 1024;

/** A protocol message, including its header. */
export interface Message {
  readonly type: string;
  readonly bytes: Buffer;
}

/** Error with an SQLSTATE that is sent to the caller as an ErrorResponse. */
export class SqlFailure extends Error {
  readonly sqlState: string;

  constructor(sqlState: string, message: string) {
    super(message);
    this.sqlState = sqlState;
  }
}

/** Creates a message from strings (sent null-terminated) and raw bytes. */
export function createMessage(
  type: string,
  ...parts: readonly (string | Buffer)[]
): Buffer {
  const body = Buffer.concat(
    parts.map((part) =>
      typeof part === "string" ? Buffer.from(part + "\0") : part
    ),
  );
  const header = Buffer.alloc(HEADER_BYTES);
  header.write(type, "latin1");
  header.writeInt32BE(body.length + 4, 1);
  return Buffer.concat([header, body]);
}

/** Encodes a 16-bit integer in network byte order. */
export function int16(value: number): Buffer {
  const bytes = Buffer.alloc(2);
  bytes.writeInt16BE(value);
  return bytes;
}

/** Encodes a 32-bit integer in network byte order. */
export function int32(value: number): Buffer {
  const bytes = Buffer.alloc(4);
  bytes.writeInt32BE(value);
  return bytes;
}

/** Returns the body of a Query message as text, without the terminating null byte. */
export function readQueryText(message: Buffer): string {
  return message.toString("utf8", HEADER_BYTES, message.length - 1);
}

/** Reads a null-terminated string; returns it and the offset after the terminator. */
export function readString(
  bytes: Buffer,
  start: number,
): readonly [string, number] {
  const end = bytes.indexOf(0, start);
  if (end < 0) throw new SqlFailure("08P01", "malformed message");
  return [bytes.toString("utf8", start, end), end + 1];
}

/** Splits a buffer of complete messages. */
export function* splitMessages(buffer: Buffer): Generator<Message> {
  let start = 0;
  while (start < buffer.length) {
    const end = start + 1 + buffer.readInt32BE(start + 1);
    yield {
      type: String.fromCharCode(buffer[start]!),
      bytes: buffer.subarray(start, end),
    };
    start = end;
  }
}

/** Yields complete messages from a socket until the stream ends. */
export async function* readMessages(socket: Socket): AsyncGenerator<Message> {
  let chunks: Buffer[] = [];
  let length = 0;
  let needed = HEADER_BYTES;
  for await (const chunk of socket as AsyncIterable<Buffer>) {
    chunks.push(chunk);
    length += chunk.length;
    if (length < needed) continue;
    let buffer = Buffer.concat(chunks);
    needed = readMessageLength(buffer);
    while (buffer.length >= needed) {
      const bytes = buffer.subarray(0, needed);
      yield { type: String.fromCharCode(bytes[0]!), bytes };
      buffer = buffer.subarray(needed);
      needed = readMessageLength(buffer);
    }
    chunks = [buffer];
    length = buffer.length;
  }
}

function readMessageLength(buffer: Buffer): number {
  if (buffer.length < HEADER_BYTES) return HEADER_BYTES;
  const length = buffer.readInt32BE(1);
  if (length < 4 || length > MESSAGE_LIMIT_BYTES) {
    throw new SqlFailure("08P01", `invalid message length ${length}`);
  }
  return length + 1;
}

/** Reads the fields of an ErrorResponse or NoticeResponse by field code. */
export function readFields(message: Buffer): ReadonlyMap<string, string> {
  const fields = new Map<string, string>();
  let offset = HEADER_BYTES;
  while (offset < message.length && message[offset] !== 0) {
    const code = String.fromCharCode(message[offset]!);
    const [value, next] = readString(message, offset + 1);
    fields.set(code, value);
    offset = next;
  }
  return fields;
}

/** Reads the text-format columns of a DataRow. */
export function readRow(message: Buffer): (string | null)[] {
  const count = message.readInt16BE(HEADER_BYTES);
  const row: (string | null)[] = [];
  let offset = HEADER_BYTES + 2;
  for (let column = 0; column < count; column += 1) {
    const length = message.readInt32BE(offset);
    offset += 4;
    if (length < 0) {
      row.push(null);
      continue;
    }
    row.push(message.toString("utf8", offset, offset + length));
    offset += length;
  }
  return row;
}

/** Creates a DataRow of text-format columns. */
export function createDataRow(row: readonly (string | null)[]): Buffer {
  const parts = [int16(row.length)];
  for (const value of row) {
    const bytes = value === null ? undefined : Buffer.from(value);
    parts.push(int32(bytes ? bytes.length : -1));
    if (bytes) parts.push(bytes);
  }
  return createMessage("D", ...parts);
}

/** Column of a RowDescription. */
export interface Column {
  readonly name: string;
  readonly type: "text" | "int8" | "bool";
}

const TYPE_OIDS = { text: 25, int8: 20, bool: 16 } as const;
const TYPE_SIZES = { text: -1, int8: 8, bool: 1 } as const;

/** Creates a RowDescription of text-format columns. */
export function createRowDescription(columns: readonly Column[]): Buffer {
  const parts: (Buffer | string)[] = [int16(columns.length)];
  for (const column of columns) {
    parts.push(column.name, int32(0), int16(0));
    parts.push(
      int32(TYPE_OIDS[column.type]),
      int16(TYPE_SIZES[column.type]),
    );
    parts.push(int32(-1), int16(0));
  }
  return createMessage("T", ...parts);
}

/** Creates an ErrorResponse. */
export function createErrorResponse(
  failure: SqlFailure,
  severity: "ERROR" | "FATAL" = "ERROR",
): Buffer {
  return createMessage(
    "E",
    "S" + severity,
    "V" + severity,
    "C" + failure.sqlState,
    "M" + failure.message,
    "",
  );
}

/** Creates a CommandComplete. */
export function createCommandComplete(tag: string): Buffer {
  return createMessage("C", tag);
}
