/**
 * Complete messages of the PostgreSQL protocol, version 3, in wire format: a type
 * byte, a length and a body. Bodies are forwarded without parsing, except for the
 * few fields that routing needs.
 *
 * @module
 */
import { isUtf8 } from "node:buffer";
import { serialize } from "pg-protocol";

/** A complete message; `data` holds the type byte, the length and the body. */
export interface Message {
  readonly type: number;
  readonly data: Buffer;
}

/** Types of the messages that callers send. */
export const FrontendType = {
  BIND: 0x42,
  CLOSE: 0x43,
  COPY_DATA: 0x64,
  COPY_DONE: 0x63,
  COPY_FAIL: 0x66,
  DESCRIBE: 0x44,
  EXECUTE: 0x45,
  FLUSH: 0x48,
  FUNCTION_CALL: 0x46,
  PARSE: 0x50,
  QUERY: 0x51,
  SYNC: 0x53,
  TERMINATE: 0x58,
} as const;

/** Types of the messages that upstreams send. */
export const BackendType = {
  BIND_COMPLETE: 0x32,
  CLOSE_COMPLETE: 0x33,
  COMMAND_COMPLETE: 0x43,
  COPY_IN: 0x47,
  DATA_ROW: 0x44,
  EMPTY_QUERY: 0x49,
  ERROR: 0x45,
  NO_DATA: 0x6e,
  NOTICE: 0x4e,
  NOTIFICATION: 0x41,
  PARAMETER_DESCRIPTION: 0x74,
  PARAMETER_STATUS: 0x53,
  PARSE_COMPLETE: 0x31,
  PORTAL_SUSPENDED: 0x73,
  READY_FOR_QUERY: 0x5a,
  ROW_DESCRIPTION: 0x54,
} as const;

/** Size of the type byte and the length field together. */
export const HEADER_BYTES = 5;

/** Transaction status of a ReadyForQuery message. */
export type TransactionStatus = "I" | "T" | "E";

/** Reads the transaction status of a ReadyForQuery message. */
export function readTransactionStatus(message: Message): TransactionStatus {
  return String.fromCharCode(message.data[HEADER_BYTES]!) as TransactionStatus;
}

/** Reads the NUL-terminated string at an offset; undefined if the terminator is missing. `end` is the offset after the terminator. In another encoding than UTF-8 each byte stands for a character, so that different bytes stay different. */
export function readCString(
  message: Message,
  offset: number,
): { readonly text: string; readonly end: number } | undefined {
  const end = message.data.indexOf(0, offset);
  if (end < 0) return undefined;
  const bytes = message.data.subarray(offset, end);
  const text = bytes.toString(isUtf8(bytes) ? "utf8" : "latin1");
  return { text, end: end + 1 };
}

/** Creates a message from its type and body. */
export function createMessage(type: number, body: Buffer): Message {
  const data = Buffer.allocUnsafe(HEADER_BYTES + body.length);
  data[0] = type;
  data.writeUInt32BE(4 + body.length, 1);
  body.copy(data, HEADER_BYTES);
  return { type, data };
}

/** Creates a Query message for the simple query protocol. */
export function createQuery(text: string): Buffer {
  return serialize.query(text);
}

/** Creates a ReadyForQuery message. */
export function createReadyForQuery(status: TransactionStatus): Message {
  return createMessage(BackendType.READY_FOR_QUERY, Buffer.from(status));
}

/** Creates a CommandComplete message with a command tag. */
export function createCommandComplete(tag: string): Message {
  return createMessage(BackendType.COMMAND_COMPLETE, Buffer.from(tag + "\0"));
}

/** Creates a ParameterStatus message. */
export function createParameterStatus(name: string, value: string): Message {
  const body = Buffer.from(`${name}\0${value}\0`);
  return createMessage(BackendType.PARAMETER_STATUS, body);
}

/** Creates a message without a body, such as ParseComplete. */
export function createBodylessMessage(type: number): Message {
  return createMessage(type, Buffer.alloc(0));
}

/** Splits a buffer that contains only complete messages. */
export function splitMessages(data: Buffer): readonly Message[] {
  const messages: Message[] = [];
  let offset = 0;
  while (offset + HEADER_BYTES <= data.length) {
    const end = offset + 1 + data.readUInt32BE(offset + 1);
    messages.push({ type: data[offset]!, data: data.subarray(offset, end) });
    offset = end;
  }
  return messages;
}
