/**
 * Sends messages over an acquired upstream connection and reads their answers in
 * order.
 *
 * @module
 */
import { Parser } from "pg-protocol/dist/parser.js";
import type { UpstreamConnection } from "../connections/connections.ts";
import {
  BackendType,
  HEADER_BYTES,
  type Message,
  readCString,
  readTransactionStatus,
  type TransactionStatus,
} from "../wire/message.ts";
import { MessageReader } from "../wire/message_reader.ts";
import type { AnswerSink } from "./caller_output.ts";
import type { ExpectedAnswer, Transmission } from "./transmission.ts";

/** Maximum length of one message from an upstream. */
const MAX_UPSTREAM_MESSAGE_BYTES = 256 * 1024 * 1024;

/** Fields of an ErrorResponse from an upstream. */
export interface UpstreamError {
  readonly sqlState: string;
  readonly message: string;
  readonly constraint: string;
}

/** Result of relaying the answers to a transmission. */
export interface AnswerResult {
  /** Transaction status in the last ReadyForQuery; undefined after a Flush or when the connection was lost. */
  readonly status?: TransactionStatus;
  /** The first error of the answer. */
  readonly error?: UpstreamError;
  /** Whether the connection was lost before the end of the answer. */
  readonly lost: boolean;
}

/** Answer to a Query that the proxy sends for itself. */
export interface InternalAnswer extends AnswerResult {
  readonly rows: readonly (readonly (string | null)[])[];
}

/** Decides whether an error is withheld from the caller because the proxy handles it. */
export type ErrorFilter = (error: UpstreamError) => boolean;

const INTERCEPT_NOTHING: ErrorFilter = () => false;

/** Exchange of messages over one acquired upstream connection. */
export class Exchange {
  readonly connection: UpstreamConnection;
  readonly #reader: MessageReader;
  #queue: readonly Message[] = [];
  #index = 0;
  /** Number of ReadyForQuery messages that have not arrived yet. */
  #pendingReadyCount = 0;
  /** Whether the last messages sent were not ended by a Sync or a Query. */
  #unsynced = false;
  #kept = false;
  #finished = false;

  constructor(connection: UpstreamConnection) {
    this.connection = connection;
    this.#reader = new MessageReader(
      connection.socket,
      MAX_UPSTREAM_MESSAGE_BYTES,
    );
  }

  /** Whether the upstream has closed the connection. */
  get lost(): boolean {
    return this.#reader.ended;
  }

  /** Sends complete messages, which `readyCount` ReadyForQuery messages will answer. */
  send(data: readonly Buffer[], readyCount: number): void {
    this.#pendingReadyCount += readyCount;
    this.#unsynced = readyCount === 0;
    const bytes = data.length === 1 ? data[0]! : Buffer.concat(data);
    this.connection.socket.write(bytes);
  }

  /** Reads the expected answers and passes the messages for the caller to the sink. */
  async relay(
    expectedAnswers: Transmission["expectedAnswers"],
    sink: AnswerSink,
    interceptsError: ErrorFilter = INTERCEPT_NOTHING,
  ): Promise<AnswerResult> {
    let error: UpstreamError | undefined;
    let status: TransactionStatus | undefined;
    let intercepted = false;
    let index = 0;
    while (index < expectedAnswers.length) {
      const expected = expectedAnswers[index]!;
      if (expected.localAnswer) {
        sink.push(expected.localAnswer);
        expected.onComplete?.();
        index += 1;
        continue;
      }
      const message = await this.#next(sink);
      if (!message) return { error, lost: true };
      if (message.type === BackendType.ERROR) {
        const found = readUpstreamError(message);
        intercepted ||= error === undefined && interceptsError(found);
        error ??= found;
        if (!intercepted) sink.push(message);
        index = findReadyAnswer(expectedAnswers, index);
        continue;
      }
      if (message.type === BackendType.COMMAND_COMPLETE) {
        this.#recordDiscard(message);
      }
      if (isForwarded(message, expected, intercepted)) sink.push(message);
      if (!expected.endTypes.includes(message.type)) continue;
      if (message.type === BackendType.READY_FOR_QUERY) {
        status = readTransactionStatus(message);
        this.#pendingReadyCount -= 1;
      }
      expected.onComplete?.();
      index += 1;
    }
    await sink.flush();
    return { status, error, lost: false };
  }

  /** Reads the answer to one Query that the proxy sent for itself. */
  async readInternalAnswer(): Promise<InternalAnswer> {
    const rows: (string | null)[][] = [];
    const parser = new Parser();
    let error: UpstreamError | undefined;
    for (;;) {
      const message = await this.#next();
      if (!message) return { rows, error, lost: true };
      if (message.type === BackendType.ERROR) {
        error ??= readUpstreamError(message);
      }
      if (message.type === BackendType.DATA_ROW) {
        parser.parse(message.data, (row) => {
          rows.push((row as unknown as { fields: (string | null)[] }).fields);
        });
      }
      if (message.type !== BackendType.READY_FOR_QUERY) continue;
      this.#pendingReadyCount -= 1;
      return {
        rows,
        error,
        status: readTransactionStatus(message),
        lost: false,
      };
    }
  }

  /** Keeps the connection for the session: `finish(true)` leaves it open. */
  keep(): void {
    this.#kept = true;
  }

  /** Whether the connection was released or closed. */
  get finished(): boolean {
    return this.#finished;
  }

  /** Releases the connection if `idle` (no transaction is open) and all answers were read; closes it otherwise. */
  finish(idle: boolean): void {
    const answered = this.#pendingReadyCount === 0 && !this.#unsynced &&
      this.#index >= this.#queue.length && !this.#reader.hasPendingBytes;
    const clean = answered && idle && !this.#reader.ended;
    if (clean && this.#kept) return;
    this.#finished = true;
    this.#reader.detach();
    if (clean) return this.connection.release();
    this.connection.destroy();
  }

  /** Clears the record of what the command has dropped, also in a transaction, which does not bring it back. */
  #recordDiscard(message: Message): void {
    const tag = readCString(message, HEADER_BYTES)?.text ?? "";
    const { prepared, settings } = this.connection;
    if (tag === "DEALLOCATE ALL" || tag === "DISCARD ALL") prepared.clear();
    if (tag === "DISCARD ALL") settings.clear();
  }

  async #next(sink?: AnswerSink): Promise<Message | undefined> {
    if (this.#index >= this.#queue.length) {
      await sink?.flush();
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

function isForwarded(
  message: Message,
  expected: ExpectedAnswer,
  intercepted: boolean,
): boolean {
  // Notices and parameter changes are asynchronous, so they are always forwarded.
  if (message.type === BackendType.NOTICE) return true;
  if (message.type === BackendType.PARAMETER_STATUS) return true;
  return expected.forward && !intercepted;
}

function findReadyAnswer(
  expectedAnswers: readonly ExpectedAnswer[],
  from: number,
): number {
  const readyIndex = expectedAnswers.findIndex((expected, index) =>
    index >= from && expected.endTypes.includes(BackendType.READY_FOR_QUERY)
  );
  return readyIndex < 0 ? expectedAnswers.length : readyIndex;
}

/** Reads the fields of an ErrorResponse that the proxy uses; an absent field is empty. */
export function readUpstreamError(message: Message): UpstreamError {
  const fields = message.data.toString("utf8", HEADER_BYTES).split("\0");
  const value = (field: string): string =>
    fields.find((item) => item.startsWith(field))?.slice(1) ?? "";
  return {
    sqlState: value("C"),
    message: value("M"),
    constraint: value("n"),
  };
}
