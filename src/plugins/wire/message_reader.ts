/**
 * Reads complete messages from a socket on demand, so that a slow consumer causes
 * backpressure.
 *
 * @module
 */
import type { Socket } from "node:net";
import { HEADER_BYTES, type Message } from "./message.ts";

/** Thrown for a message whose length field is invalid or exceeds the limit. */
export class MessageLengthError extends Error {
  readonly length: number;

  constructor(length: number) {
    super(`message length ${length} is not accepted`);
    this.length = length;
  }
}

/** Splits a socket's byte stream into messages; concurrent calls of `next` are not allowed. */
export class MessageReader {
  readonly #socket: Socket;
  readonly #maxLength: number;
  #chunks: Buffer[] = [];
  #bufferedBytes = 0;
  #ended = false;
  #wake: (() => void) | undefined;
  readonly #onReadable = (): void => this.#wakeReader();
  readonly #onEnd = (): void => {
    this.#ended = true;
    this.#wakeReader();
  };

  /** `maxLength` is the upper limit for a message's length field, in bytes. */
  constructor(socket: Socket, maxLength: number) {
    this.#socket = socket;
    this.#maxLength = maxLength;
    this.#ended = socket.destroyed || socket.readableEnded;
    socket.on("readable", this.#onReadable);
    socket.on("end", this.#onEnd);
    socket.on("close", this.#onEnd);
    socket.on("error", this.#onEnd);
  }

  /** Whether the buffer holds bytes of a message that has not been returned yet. */
  get hasPendingBytes(): boolean {
    return this.#bufferedBytes > 0;
  }

  /** Whether the connection has ended or the reader is detached. */
  get ended(): boolean {
    return this.#ended;
  }

  /** Resolves to all complete messages received so far, at least one, or to undefined once the connection has ended; throws `MessageLengthError`. */
  async next(): Promise<readonly Message[] | undefined> {
    for (;;) {
      const messages = this.#split();
      if (messages.length > 0) return messages;
      const chunk = await this.#read();
      if (!chunk) return undefined;
      this.#chunks.push(chunk);
      this.#bufferedBytes += chunk.length;
    }
  }

  /** Removes the socket listeners; bytes not yet read from the socket stay there. */
  detach(): void {
    this.#socket.off("readable", this.#onReadable);
    this.#socket.off("end", this.#onEnd);
    this.#socket.off("close", this.#onEnd);
    this.#socket.off("error", this.#onEnd);
    this.#ended = true;
    this.#wakeReader();
  }

  async #read(): Promise<Buffer | undefined> {
    for (;;) {
      const chunk = this.#socket.read() as Buffer | null;
      if (chunk) return chunk;
      if (this.#ended) return undefined;
      await new Promise<void>((resolve) => this.#wake = resolve);
    }
  }

  #wakeReader(): void {
    const wake = this.#wake;
    this.#wake = undefined;
    wake?.();
  }

  #split(): readonly Message[] {
    if (this.#bufferedBytes < HEADER_BYTES) return [];
    const buffer = this.#joinChunks();
    if (!buffer) return [];
    const messages: Message[] = [];
    let offset = 0;
    while (offset + HEADER_BYTES <= buffer.length) {
      const end = offset + 1 + this.#lengthAt(buffer, offset);
      if (end > buffer.length) break;
      messages.push({
        type: buffer[offset]!,
        data: buffer.subarray(offset, end),
      });
      offset = end;
    }
    this.#chunks = offset < buffer.length ? [buffer.subarray(offset)] : [];
    this.#bufferedBytes = buffer.length - offset;
    return messages;
  }

  /** Joins the chunks once they contain a complete message, so that a long message is copied only once. */
  #joinChunks(): Buffer | undefined {
    if (this.#chunks.length === 1) return this.#chunks[0];
    if (this.#chunks[0]!.length < HEADER_BYTES) {
      this.#chunks = [Buffer.concat(this.#chunks)];
      return this.#chunks[0];
    }
    const required = 1 + this.#lengthAt(this.#chunks[0]!, 0);
    if (this.#bufferedBytes < required) return undefined;
    this.#chunks = [Buffer.concat(this.#chunks)];
    return this.#chunks[0];
  }

  #lengthAt(buffer: Buffer, offset: number): number {
    const length = buffer.readUInt32BE(offset + 1);
    if (length < 4 || length > this.#maxLength) {
      throw new MessageLengthError(length);
    }
    return length;
  }
}
