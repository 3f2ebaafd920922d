/**
 * Groups a caller's messages into units: a Query, or the messages of the
 * extended protocol up to a Sync or a Flush.
 *
 * @module
 */
import { createFailure, ResultCodes } from "../../kernel/result_codes.ts";
import type { Failure } from "../../kernel/result_codes.ts";
import {
  createBodylessMessage,
  FrontendType,
  type Message,
} from "../wire/message.ts";
import type { MessageReader } from "../wire/message_reader.ts";

/** Maximum total length of the messages of one unit. */
export const MAX_UNIT_BYTES = 32 * 1024 * 1024;

/** Messages of a caller that are sent to an upstream together. */
export interface Unit {
  readonly messages: readonly Message[];
  readonly end: "query" | "sync" | "flush";
  /** Whether the proxy added the Sync, so that its ReadyForQuery is hidden from the caller. */
  readonly hidesReady?: boolean;
  /** Set when the unit is too large or has an unsupported message, so that it must not run. */
  readonly failure?: Failure;
}

const EXTENDED_TYPES: ReadonlySet<number> = new Set([
  FrontendType.BIND,
  FrontendType.CLOSE,
  FrontendType.DESCRIBE,
  FrontendType.EXECUTE,
  FrontendType.PARSE,
]);

/** Reads units in the order in which the caller sent them. */
export class UnitReader {
  readonly #reader: MessageReader;
  #queue: readonly Message[] = [];
  #index = 0;

  constructor(reader: MessageReader) {
    this.#reader = reader;
  }

  /** Reads the next unit; undefined when the caller has ended the connection. */
  async next(): Promise<Unit | undefined> {
    const messages: Message[] = [];
    let bytes = 0;
    let failure: Failure | undefined;
    for (;;) {
      const message = await this.#nextMessage();
      if (!message || message.type === FrontendType.TERMINATE) return undefined;
      bytes += message.data.length;
      if (bytes > MAX_UNIT_BYTES) failure ??= tooLarge();
      if (message.type === FrontendType.QUERY) {
        return { messages: [message], end: "query", failure };
      }
      if (message.type === FrontendType.SYNC) {
        return { messages: [...messages, message], end: "sync", failure };
      }
      if (message.type === FrontendType.FLUSH) {
        return { messages: [...messages, message], end: "flush", failure };
      }
      if (message.type === FrontendType.FUNCTION_CALL) {
        // A FunctionCall gets its own ReadyForQuery, like a Query.
        return { messages: [], end: "query", failure: unsupported(message) };
      }
      if (!EXTENDED_TYPES.has(message.type)) {
        failure ??= unsupported(message);
        continue;
      }
      if (!failure) messages.push(message);
    }
  }

  async #nextMessage(): Promise<Message | undefined> {
    if (this.#index >= this.#queue.length) {
      const batch = await this.#reader.next();
      if (!batch) return undefined;
      this.#queue = batch;
      this.#index = 0;
    }
    const message = this.#queue[this.#index];
    this.#index += 1;
    return message;
  }
}

const PREPARING_TYPES: ReadonlySet<number> = new Set([
  FrontendType.CLOSE,
  FrontendType.DESCRIBE,
  FrontendType.FLUSH,
  FrontendType.PARSE,
]);

/**
 * Replaces the Flush of a unit that only prepares, describes or closes by a Sync,
 * so that its connection can be released after the unit.
 */
export function endPreparingUnit(unit: Unit): Unit {
  if (unit.end !== "flush") return unit;
  const prepares = unit.messages.every((item) =>
    PREPARING_TYPES.has(item.type)
  );
  if (!prepares) return unit;
  const sync = createBodylessMessage(FrontendType.SYNC);
  const messages = [...unit.messages.slice(0, -1), sync];
  return { messages, end: "sync", hidesReady: true, failure: unit.failure };
}

function unsupported(message: Message): Failure {
  const type = String.fromCharCode(message.type);
  return createFailure(
    ResultCodes.PROTOCOL_UNSUPPORTED,
    `protocol message ${JSON.stringify(type)} is not supported`,
  );
}

function tooLarge(): Failure {
  return createFailure(
    ResultCodes.MESSAGE_TOO_LARGE,
    `the messages up to a Sync are longer than ${MAX_UNIT_BYTES} bytes`,
  );
}
