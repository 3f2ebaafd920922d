/**
 * A connection over which a peer calls this process.
 *
 * @module
 */
import type { Socket } from "node:net";
import { clock } from "../../kernel/clock.ts";
import type { ChannelHandler, ChannelPeer } from "./channels.ts";
import { FrameSocket } from "./frame_socket.ts";
import {
  type Frame,
  FrameKinds,
  FRAMES_VERSION,
  parseCallNumber,
} from "./frames.ts";
import type { HeldBytes } from "./held_bytes.ts";

/** Timeout for the peer's hello, in ms; the peer sends it with the connection. */
const HELLO_TIMEOUT_MS = 2_000;

/** Dependencies of an incoming channel. */
export interface IncomingChannelOptions {
  /** Name of this proxy. */
  readonly proxy: string;
  readonly held: HeldBytes;
  /** The handler of a kind. */
  readonly handler: (kind: string) => ChannelHandler | undefined;
  /** The peer has named itself. */
  readonly onHello: (channel: IncomingChannel) => void;
  readonly onClosed: (channel: IncomingChannel, reason: string) => void;
  /** A handler failed. */
  readonly onHandlerFailed: (kind: string, error: unknown) => void;
}

/** Answers the calls of one connection. */
export class IncomingChannel {
  readonly #options: IncomingChannelOptions;
  readonly #socket: FrameSocket;
  readonly #endListeners: (() => void)[] = [];
  readonly #helloTimer: NodeJS.Timeout;
  #peer: ChannelPeer | undefined;
  #isClosed = false;

  constructor(socket: Socket, options: IncomingChannelOptions) {
    this.#options = options;
    this.#socket = new FrameSocket(socket, options.held, {
      onFrame: (frame, length) => this.#receive(frame, length),
      onSkipped: (head) => this.#skip(head),
      onClosed: (reason) => this.#onClosed(reason),
    });
    this.#helloTimer = setTimeout(
      () => this.close("no hello"),
      HELLO_TIMEOUT_MS,
    );
  }

  /** Name of the peer; undefined until its hello. */
  get proxy(): string | undefined {
    return this.#peer?.proxy;
  }

  /** Closes the connection at once. */
  close(reason: string): void {
    this.#socket.close(reason);
  }

  /** Handles a frame; returns false if it is malformed. */
  #receive(frame: Frame, length: number): boolean {
    const [kind, first, second, third] = frame;
    if (kind === FrameKinds.CALL && this.#peer) {
      if (!Number.isSafeInteger(first) || typeof second !== "string") {
        this.#options.held.release(length);
        return false;
      }
      void this.#answer(first as number, second, third, this.#peer)
        .finally(() => this.#options.held.release(length));
      return true;
    }
    this.#options.held.release(length);
    if (!this.#peer) {
      if (kind !== FrameKinds.HELLO) return false;
      return this.#open(first, second);
    }
    switch (kind) {
      case FrameKinds.MESSAGE:
        if (typeof first !== "string") return false;
        void this.#handle(first, second, this.#peer);
        return true;
      case FrameKinds.PING:
        this.#socket.send([FrameKinds.PONG, stamp()]);
        return true;
    }
    return false;
  }

  #open(version: unknown, proxy: unknown): boolean {
    if (version !== FRAMES_VERSION || typeof proxy !== "string") return false;
    clearTimeout(this.#helloTimer);
    this.#peer = {
      proxy,
      send: (kind, body) =>
        this.#socket.send([FrameKinds.MESSAGE, stamp(), kind, body]) === "sent",
      onEnd: (listener) => {
        if (this.#isClosed) listener();
        else this.#endListeners.push(listener);
      },
    };
    this.#options.onHello(this);
    const { proxy: name } = this.#options;
    this.#socket.send([FrameKinds.HELLO, stamp(), FRAMES_VERSION, name]);
    return true;
  }

  async #answer(
    number: number,
    kind: string,
    body: unknown,
    peer: ChannelPeer,
  ): Promise<void> {
    if (!this.#options.handler(kind)) {
      return this.#fail(number, `no handler of ${kind}`, false);
    }
    const handled = await this.#handle(kind, body, peer);
    if (!handled) return this.#fail(number, "the handler failed", true);
    const frame = [FrameKinds.ANSWER, stamp(), number, handled.answer];
    const outcome = this.#socket.send(frame);
    if (outcome === "sent") return;
    // A failure is short, so it may still find room.
    this.#fail(number, `the answer was not sent: ${outcome}`, true);
  }

  /** Calls a handler; undefined if it failed. */
  async #handle(
    kind: string,
    body: unknown,
    peer: ChannelPeer,
  ): Promise<{ readonly answer: unknown } | undefined> {
    try {
      return { answer: await this.#options.handler(kind)?.(body, peer) };
    } catch (error) {
      this.#options.onHandlerFailed(kind, error);
      return undefined;
    }
  }

  #fail(number: number, reason: string, mayHaveBegun: boolean): void {
    this.#socket.send([
      FrameKinds.FAILURE,
      stamp(),
      number,
      reason,
      mayHaveBegun,
    ]);
  }

  #skip(head: string): void {
    const number = parseCallNumber(head);
    if (number !== undefined && this.#peer) {
      this.#fail(number, "no room for the call", false);
    }
  }

  #onClosed(reason: string): void {
    clearTimeout(this.#helloTimer);
    this.#isClosed = true;
    for (const listener of this.#endListeners.splice(0)) listener();
    this.#options.onClosed(this, reason);
  }
}

/** The time of this process, rounded down: a stamp must not be later than the clock. */
function stamp(): number {
  return Math.floor(clock.now());
}
