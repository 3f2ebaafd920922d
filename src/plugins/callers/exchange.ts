/**
 * One exchange with an upstream over a borrowed connection: sends messages and
 * reads their answers in order.
 *
 * @module
 */
import { Parser } from "pg-protocol/dist/parser.js";
import type { UpstreamConnection } from "../connections/connections.ts";
import {
  BackendType,
  HEADER_BYTES,
  type Message,
  readTransactionStatus,
  type TransactionStatus,
} from "../wire/message.ts";
import { MessageReader } from "../wire/message_reader.ts";
import type { AnswerSink } from "./caller_output.ts";
import type { Sending, Step } from "./steps.ts";

/** Greatest length of one message of an upstream, in bytes. */
const MAX_UPSTREAM_MESSAGE_BYTES = 256 * 1024 * 1024;

/** An ErrorResponse of an upstream. */
export interface UpstreamError {
  readonly sqlState: string;
  readonly message: string;
  readonly constraint: string;
}

/** How the answer to a sending ended. */
export interface AnswerEnd {
  /** Status of the last ReadyForQuery; undefined after a Flush or when the connection was lost. */
  readonly status?: TransactionStatus;
  /** The first error of the answer. */
  readonly error?: UpstreamError;
  /** Whether the connection was lost before the answer ended. */
  readonly lost: boolean;
}

/** The answer to a statement of the proxy's own. */
export interface InternalAnswer extends AnswerEnd {
  readonly rows: readonly (readonly (string | null)[])[];
}

/** Decides whether an error is kept from the caller, because the proxy acts on it. */
export type ErrorFilter = (error: UpstreamError) => boolean;

const KEEP_NOTHING: ErrorFilter = () => false;

/** Sends to and reads from one borrowed connection. */
export class Exchange {
  readonly connection: UpstreamConnection;
  readonly #reader: MessageReader;
  #queue: readonly Message[] = [];
  #index = 0;
  /** ReadyForQuery messages that are still to come. */
  #expected = 0;
  /** Whether messages were sent that no Sync has ended yet. */
  #unsynced = false;

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

  /** Sends bytes of whole messages that `readies` ReadyForQuery messages will answer. */
  send(data: readonly Buffer[], readies: number): void {
    this.#expected += readies;
    this.#unsynced = readies === 0;
    const bytes = data.length === 1 ? data[0]! : Buffer.concat(data);
    this.connection.socket.write(bytes);
  }

  /** Reads the answers of a sending and gives the caller's part of them to the sink. */
  async relay(
    steps: Sending["steps"],
    sink: AnswerSink,
    keepsError: ErrorFilter = KEEP_NOTHING,
  ): Promise<AnswerEnd> {
    let error: UpstreamError | undefined;
    let status: TransactionStatus | undefined;
    let kept = false;
    let place = 0;
    while (place < steps.length) {
      const step = steps[place]!;
      if (step.made) {
        sink.push(step.made);
        step.done?.();
        place += 1;
        continue;
      }
      const message = await this.#next(sink);
      if (!message) return { error, lost: true };
      if (message.type === BackendType.ERROR) {
        const found = readUpstreamError(message);
        kept ||= error === undefined && keepsError(found);
        error ??= found;
        if (!kept) sink.push(message);
        place = findReady(steps, place);
        continue;
      }
      if (shows(message, step, kept)) sink.push(message);
      if (!step.ends.includes(message.type)) continue;
      if (message.type === BackendType.READY_FOR_QUERY) {
        status = readTransactionStatus(message);
        this.#expected -= 1;
      }
      step.done?.();
      place += 1;
    }
    await sink.flush();
    return { status, error, lost: false };
  }

  /** Reads the answer of one Query of the proxy's own. */
  async readInternal(): Promise<InternalAnswer> {
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
      this.#expected -= 1;
      return {
        rows,
        error,
        status: readTransactionStatus(message),
        lost: false,
      };
    }
  }

  /** Gives the connection back when its answers were read to the end and no transaction is open; closes it otherwise. */
  finish(idle: boolean): void {
    const answered = this.#expected === 0 && !this.#unsynced &&
      this.#index >= this.#queue.length && !this.#reader.hasPendingBytes;
    const clean = answered && idle && !this.#reader.ended;
    this.#reader.detach();
    if (clean) return this.connection.release();
    this.connection.destroy();
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

function shows(message: Message, step: Step, kept: boolean): boolean {
  // Notices and parameter changes reach the caller whichever step they fall into.
  if (message.type === BackendType.NOTICE) return true;
  if (message.type === BackendType.PARAMETER_STATUS) return true;
  return step.forward && !kept;
}

function findReady(steps: readonly Step[], from: number): number {
  const place = steps.findIndex((step, index) =>
    index >= from && step.ends.includes(BackendType.READY_FOR_QUERY)
  );
  return place < 0 ? steps.length : place;
}

/** Reads the fields of an ErrorResponse that the proxy acts on. */
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
