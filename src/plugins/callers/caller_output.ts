/**
 * Writing to a caller's socket, and sinks that decide which messages of an answer
 * are written and when.
 *
 * @module
 */
import type { Socket } from "node:net";
import { clock } from "../../kernel/clock.ts";
import { BackendType, type Message } from "../wire/message.ts";

/** Writes to the caller's socket with backpressure. */
export class CallerOutput {
  readonly #socket: Socket;
  #written = 0;

  constructor(socket: Socket) {
    this.#socket = socket;
  }

  /** Bytes written since the connection was opened. */
  get bytesWritten(): number {
    return this.#written;
  }

  /** Whether the socket is still writable. */
  get open(): boolean {
    return this.#socket.writable;
  }

  /** Writes the parts; resolves when the socket's buffer can take more, or on close. */
  async write(parts: readonly Buffer[]): Promise<void> {
    if (parts.length === 0 || !this.open) return;
    const data = parts.length === 1 ? parts[0]! : Buffer.concat(parts);
    this.#written += data.length;
    if (this.#socket.write(data)) return;
    await this.#drained();
  }

  #drained(): Promise<void> {
    const socket = this.#socket;
    return new Promise((resolve) => {
      const finish = (): void => {
        socket.off("drain", finish);
        socket.off("close", finish);
        resolve();
      };
      socket.on("drain", finish);
      socket.on("close", finish);
    });
  }
}

/** Receives the messages of an answer in order. */
export interface AnswerSink {
  push(message: Message): void;
  /** Called after all messages received so far were pushed. */
  flush(): Promise<void>;
}

/** Writes every message to the caller at the next flush. */
export class DirectSink implements AnswerSink {
  readonly #output: CallerOutput;
  #parts: Buffer[] = [];
  #firstMessageAt: number | undefined;

  constructor(output: CallerOutput) {
    this.#output = output;
  }

  /** Time of the first message in monotonic ms; undefined before it. */
  get firstMessageAt(): number | undefined {
    return this.#firstMessageAt;
  }

  push(message: Message): void {
    this.#firstMessageAt ??= clock.now();
    appendPart(this.#parts, message.data);
  }

  async flush(): Promise<void> {
    const parts = this.#parts;
    this.#parts = [];
    await this.#output.write(parts);
  }
}

/** Writes messages up to the first CommandComplete like a direct sink, and keeps it and all later ones until `release`. */
export class DeferredSink implements AnswerSink {
  readonly #direct: DirectSink;
  readonly #deferred: Message[] = [];

  constructor(output: CallerOutput) {
    this.#direct = new DirectSink(output);
  }

  get commandCompleted(): boolean {
    return this.#deferred.length > 0;
  }

  push(message: Message): void {
    if (
      this.commandCompleted || message.type === BackendType.COMMAND_COMPLETE
    ) {
      this.#deferred.push(message);
      return;
    }
    this.#direct.push(message);
  }

  flush(): Promise<void> {
    return this.#direct.flush();
  }

  /** Writes the deferred messages; inserts `extra` before the final ReadyForQuery. */
  async release(extra: readonly Message[]): Promise<void> {
    const last = this.#deferred.at(-1);
    const ready = last?.type === BackendType.READY_FOR_QUERY;
    const head = ready ? this.#deferred.slice(0, -1) : this.#deferred;
    for (const message of head) this.#direct.push(message);
    for (const message of extra) this.#direct.push(message);
    if (ready) this.#direct.push(last!);
    await this.#direct.flush();
  }
}

/** Buffers a whole answer up to a limit, so that it can be stored or discarded. */
export class BufferedSink implements AnswerSink {
  readonly #limit: number;
  readonly #messages: Message[] = [];
  #bytes = 0;

  /** `limit` in bytes. */
  constructor(limit: number) {
    this.#limit = limit;
  }

  /** Whether the answer exceeds the limit; the messages beyond it are dropped. */
  get overflowed(): boolean {
    return this.#bytes > this.#limit;
  }

  /** The buffered messages, including the final ReadyForQuery. */
  get messages(): readonly Message[] {
    return this.#messages;
  }

  push(message: Message): void {
    this.#bytes += message.data.length;
    if (!this.overflowed) this.#messages.push(message);
  }

  flush(): Promise<void> {
    return Promise.resolve();
  }
}

/** Appends a part; merges it with the last one when they are adjacent in one buffer. */
function appendPart(parts: Buffer[], data: Buffer): void {
  const last = parts.at(-1);
  const adjacent = last !== undefined && last.buffer === data.buffer &&
    last.byteOffset + last.length === data.byteOffset;
  if (!adjacent) {
    parts.push(data);
    return;
  }
  const length = last.length + data.length;
  parts[parts.length - 1] = Buffer.from(
    last.buffer as ArrayBuffer,
    last.byteOffset,
    length,
  );
}
