/**
 * Sends and receives frames over one socket. The writes of one turn of the event
 * loop are joined, and the bytes that wait for a slow peer are bounded.
 *
 * @module
 */
import type { Socket } from "node:net";
import { clock } from "../../kernel/clock.ts";
import { encodeFrame, type Frame, FrameReader } from "./frames.ts";
import type { HeldBytes } from "./held_bytes.ts";

/** Maximum number of bytes that wait for a peer: one frame of the maximum length and many short ones. */
export const MAX_BACKLOG_BYTES = 8 * 1024 * 1024;

/** Idle time after which the kernel probes a silent peer, in ms; it gives up after ten more probes, one a second. */
const KEEP_ALIVE_DELAY_MS = 2_000;

/** What became of a frame that was to be sent. */
export type SendOutcome =
  | "sent"
  /** The frame exceeds the maximum length. */
  | "too long"
  /** Too many bytes wait for the peer. */
  | "backlogged"
  | "closed";

/** Callbacks of a socket. */
export interface FrameSocketEvents {
  /** Handles a frame, which holds `length` bytes until `release`; returns false if it is malformed. */
  onFrame(frame: Frame, length: number): boolean;
  /** A frame was skipped, since there was no room for it; `head` are its first characters. */
  onSkipped(head: string): void;
  /** The socket has closed; called once. */
  onClosed(reason: string): void;
}

/** A socket that carries frames. */
export class FrameSocket {
  readonly #socket: Socket;
  readonly #events: FrameSocketEvents;
  readonly #reader: FrameReader;
  #isCorked = false;
  #isClosed = false;
  /** Monotonic ms at which bytes last arrived. */
  #receivedAt = clock.now();
  /** Bytes written when bytes last arrived. */
  #writtenBefore = 0;
  #written = 0;

  constructor(socket: Socket, held: HeldBytes, events: FrameSocketEvents) {
    this.#socket = socket;
    this.#events = events;
    this.#reader = new FrameReader({
      onFrame: (frame, length) => {
        if (!events.onFrame(frame, length)) this.#closeMalformed();
      },
      onSkipped: (head) => events.onSkipped(head),
    }, held);
    socket.setNoDelay(true);
    socket.setKeepAlive(true, KEEP_ALIVE_DELAY_MS);
    let reason = "closed by the peer";
    socket.on("error", (error) => {
      reason = error.message;
    });
    socket.on("data", (chunk) => this.#receive(chunk));
    socket.on("end", () => socket.destroy());
    socket.once("close", () => this.close(reason));
  }

  /** Monotonic ms at which bytes last arrived. */
  get receivedAt(): number {
    return this.#receivedAt;
  }

  /** Bytes that were written since bytes last arrived; the peer may still be receiving them. */
  get unconfirmedBytes(): number {
    return this.#written - this.#writtenBefore;
  }

  /** Sends a frame unless it is too long or the peer is too slow. */
  send(frame: Frame): SendOutcome {
    const bytes = encodeFrame(frame);
    return bytes ? this.sendBytes(bytes) : "too long";
  }

  /** Sends an encoded frame unless the peer is too slow. */
  sendBytes(bytes: Buffer): SendOutcome {
    if (this.#isClosed) return "closed";
    if (this.#socket.writableLength + bytes.length > MAX_BACKLOG_BYTES) {
      return "backlogged";
    }
    this.#written += bytes.length;
    if (!this.#isCorked) {
      this.#isCorked = true;
      this.#socket.cork();
      setImmediate(() => {
        this.#isCorked = false;
        this.#socket.uncork();
      });
    }
    this.#socket.write(bytes);
    return "sent";
  }

  /** Closes the socket at once. */
  close(reason: string): void {
    if (this.#isClosed) return;
    this.#isClosed = true;
    this.#reader.close();
    this.#socket.destroy();
    this.#events.onClosed(reason);
  }

  #receive(chunk: Buffer): void {
    if (this.#isClosed) return;
    this.#receivedAt = clock.now();
    this.#writtenBefore = this.#written;
    if (!this.#reader.push(chunk)) this.#closeMalformed();
  }

  #closeMalformed(): void {
    this.close(MALFORMED);
  }
}

/** Reason for which a connection with a malformed frame is closed. */
export const MALFORMED = "malformed frame";
