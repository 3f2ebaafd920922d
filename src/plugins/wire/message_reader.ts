/**
 * Reads whole messages from a socket, only as fast as they are asked for.
 *
 * @module
 */
import type { Socket } from "node:net";
import { HEADER_BYTES, type Message } from "./message.ts";

/** Thrown for a message whose length field is impossible or over the limit. */
export class MessageLengthError extends Error {
  readonly length: number;

  constructor(length: number) {
    super(`message length ${length} is not accepted`);
    this.length = length;
  }
}

/** Splits the bytes of a socket into messages; only one task may read at a time. */
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

  /** `maxLength` bounds one message, in bytes. */
  constructor(socket: Socket, maxLength: number) {
    this.#socket = socket;
    this.#maxLength = maxLength;
    this.#ended = socket.destroyed || socket.readableEnded;
    socket.on("readable", this.#onReadable);
    socket.on("end", this.#onEnd);
    socket.on("close", this.#onEnd);
    socket.on("error", this.#onEnd);
  }

  /** Whether bytes of an unread message are held. */
  get hasPendingBytes(): boolean {
    return this.#bufferedBytes > 0;
  }

  /** Whether the other side has ended the connection. */
  get ended(): boolean {
    return this.#ended;
  }

  /** All whole messages at hand, at least one; undefined once the connection has ended. */
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

  /** Stops listening; bytes not yet read stay with the socket. */
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

  /** The bytes at hand as one buffer once they hold a whole message, so that a long message is joined once. */
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
