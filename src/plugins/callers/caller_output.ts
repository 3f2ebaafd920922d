/**
 * Writes to a caller's socket, and the sinks that decide what of an answer is
 * written when.
 *
 * @module
 */
import type { Socket } from "node:net";
import { BackendType, type Message } from "../wire/message.ts";

/** The caller's socket with backpressure. */
export class CallerOutput {
  readonly #socket: Socket;
  #written = 0;

  constructor(socket: Socket) {
    this.#socket = socket;
  }

  /** Bytes written since the start. */
  get bytesWritten(): number {
    return this.#written;
  }

  /** Whether the caller can still be written to. */
  get open(): boolean {
    return this.#socket.writable;
  }

  /** Writes and waits while the caller reads more slowly than the proxy writes. */
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

/** Takes the messages of an answer in order. */
export interface AnswerSink {
  push(message: Message): void;
  /** Called when all messages at hand were pushed. */
  flush(): Promise<void>;
}

/** Passes everything on at once. */
export class DirectSink implements AnswerSink {
  readonly #output: CallerOutput;
  #parts: Buffer[] = [];
  #firstMessageAt: number | undefined;

  constructor(output: CallerOutput) {
    this.#output = output;
  }

  /** Monotonic ms of the first message; undefined before it. */
  get firstMessageAt(): number | undefined {
    return this.#firstMessageAt;
  }

  push(message: Message): void {
    this.#firstMessageAt ??= performance.now();
    appendPart(this.#parts, message.data);
  }

  async flush(): Promise<void> {
    const parts = this.#parts;
    this.#parts = [];
    await this.#output.write(parts);
  }
}

/** Passes rows on at once and holds everything from the first CommandComplete until it is released. */
export class DeferredSink implements AnswerSink {
  readonly #direct: DirectSink;
  readonly #deferred: Message[] = [];

  constructor(output: CallerOutput) {
    this.#direct = new DirectSink(output);
  }

  /** Whether a command has completed. */
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

  /** Passes on what was held; `extra` goes before the final ReadyForQuery. */
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

/** Keeps a whole answer up to a limit, so that it can be stored or given up. */
export class BufferedSink implements AnswerSink {
  readonly #limit: number;
  readonly #messages: Message[] = [];
  #bytes = 0;

  /** `limit` in bytes. */
  constructor(limit: number) {
    this.#limit = limit;
  }

  /** Whether the answer is longer than the limit; messages over it are dropped. */
  get overflowed(): boolean {
    return this.#bytes > this.#limit;
  }

  /** All messages, the final ReadyForQuery included. */
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

/** Appends a part, joining it with the last one where both lie side by side in one buffer. */
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
