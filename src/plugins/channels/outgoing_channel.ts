/**
 * The connection over which this process calls one peer.
 *
 * @module
 */
import { connect, type Socket } from "node:net";
import { err, ok, type Result } from "neverthrow";
import { clock } from "../../kernel/clock.ts";
import { RetryDelay } from "../connections/retry_delay.ts";
import type { Endpoint } from "../../utils/endpoint.ts";
import { CallTable } from "./call_table.ts";
import type { ChannelFailure, ChannelPeer, ChannelReply } from "./channels.ts";
import { FrameSocket, MAX_BACKLOG_BYTES } from "./frame_socket.ts";
import {
  encodeFrame,
  type Frame,
  FrameKinds,
  FRAMES_VERSION,
  parseAnswerNumber,
} from "./frames.ts";
import type { HeldBytes } from "./held_bytes.ts";
import { LivenessCheck } from "./liveness_check.ts";
import { PeerClock } from "./peer_clock.ts";

/** Timeout until the peer has accepted the connection and sent its hello, in ms: twice what a ping may take. */
const CONNECT_TIMEOUT_MS = 600;

/** Longest pause between two attempts to connect, in ms; the first pauses are far shorter. */
const MAX_CONNECT_DELAY_MS = 2_000;

/** Dependencies of an outgoing channel. */
export interface OutgoingChannelOptions {
  /** Name of this proxy. */
  readonly proxy: string;
  readonly endpoint: Endpoint;
  readonly held: HeldBytes;
  /** Handles a message of the peer. */
  readonly onMessage: (kind: string, body: unknown, peer: ChannelPeer) => void;
  /** An open connection has ended, or none could be opened. */
  readonly onLost: (reason: string) => void;
  readonly connect?: (endpoint: Endpoint) => Socket;
}

/** What is known of the connection while there is one. */
interface Connection {
  readonly socket: FrameSocket;
  readonly clock: PeerClock;
  /** The peer as the sender of messages; undefined until its hello. */
  peer?: ChannelPeer;
  /** Frames that wait for the peer's hello, with the numbers of their calls. */
  readonly waiting: { readonly bytes: Buffer; readonly call?: number }[];
  waitingBytes: number;
  readonly endListeners: (() => void)[];
  readonly timer: NodeJS.Timeout;
}

/** Calls one peer; connects when there is something to send. */
export class OutgoingChannel {
  readonly #options: OutgoingChannelOptions;
  readonly #calls = new CallTable();
  readonly #liveness: LivenessCheck;
  readonly #delay = new RetryDelay(MAX_CONNECT_DELAY_MS);
  /** Callers that wait for the connection. */
  #connectWaiters: ((outcome: Result<void, ChannelFailure>) => void)[] = [];
  #connection: Connection | undefined;

  constructor(options: OutgoingChannelOptions) {
    this.#options = options;
    this.#liveness = new LivenessCheck({
      isExpecting: () => this.#calls.size > 0,
      receivedAt: () => this.#connection?.socket.receivedAt ?? clock.now(),
      unconfirmedBytes: () => this.#connection?.socket.unconfirmedBytes ?? 0,
      ping: () => this.#connection?.socket.send([FrameKinds.PING]),
      onDead: () => this.#connection?.socket.close("no answer to a ping"),
    });
  }

  /** Whether nothing is sent or expected, so that the channel can be dropped. */
  get isIdle(): boolean {
    return this.#connection === undefined && !this.#delay.isActive(clock.now());
  }

  /** The earliest time that the clock of the connected process can show; undefined without a connection. */
  earliestPeerTime(at: number): number | undefined {
    return this.#connection?.clock.earliest(at);
  }

  /** Sends a call and waits for its answer for `timeout` ms at most. */
  call(
    kind: string,
    body: unknown,
    timeout: number,
  ): Promise<Result<ChannelReply, ChannelFailure>> {
    const number = this.#calls.nextNumber();
    const bytes = encodeFrame([FrameKinds.CALL, number, kind, body]);
    if (!bytes) return Promise.resolve(notReceived("too long for a frame"));
    const connection = this.#connect();
    if (!connection) return Promise.resolve(notReceived(UNREACHABLE));
    return new Promise((resolve) => {
      this.#calls.add(number, resolve, timeout);
      const problem = this.#send(connection, bytes, number);
      if (problem) this.#calls.settle(number, notReceived(problem));
      else this.#liveness.start();
    });
  }

  /** Sends a message; returns false if it can't be sent. */
  send(kind: string, body: unknown): boolean {
    const bytes = encodeFrame([FrameKinds.MESSAGE, kind, body]);
    const connection = bytes && this.#connect();
    if (!connection) return false;
    return this.#send(connection, bytes) === undefined;
  }

  /** Resolves once the connection is open, within `timeout` ms. */
  connect(timeout: number): Promise<Result<void, ChannelFailure>> {
    const connection = this.#connect();
    if (!connection) return Promise.resolve(notReceived(UNREACHABLE));
    if (connection.peer) return Promise.resolve(ok(undefined));
    return new Promise((resolve) => {
      const timer = setTimeout(
        () => resolve(notReceived("not connected in time")),
        timeout,
      );
      this.#connectWaiters.push((outcome) => {
        clearTimeout(timer);
        resolve(outcome);
      });
    });
  }

  /** Closes the connection. */
  close(reason: string): void {
    this.#connection?.socket.close(reason);
  }

  /** Returns the reason if the frame is not sent. */
  #send(
    connection: Connection,
    bytes: Buffer,
    call?: number,
  ): string | undefined {
    if (!connection.peer) {
      if (connection.waitingBytes + bytes.length > MAX_BACKLOG_BYTES) {
        return "backlogged";
      }
      connection.waitingBytes += bytes.length;
      connection.waiting.push({ bytes, call });
      return undefined;
    }
    const outcome = connection.socket.sendBytes(bytes);
    if (outcome !== "sent") return outcome;
    if (call !== undefined) this.#calls.markSent(call);
    return undefined;
  }

  /** The connection, which may still be opening; undefined during the pause after a failure. */
  #connect(): Connection | undefined {
    if (this.#connection) return this.#connection;
    if (this.#delay.isActive(clock.now())) return undefined;
    const { endpoint, held, proxy } = this.#options;
    const open = this.#options.connect ?? openSocket;
    const socket = new FrameSocket(open(endpoint), held, {
      onFrame: (frame, length) => {
        held.release(length);
        return this.#receive(connection, frame);
      },
      onSkipped: (head) => this.#skip(head),
      onClosed: (reason) => this.#onClosed(connection, reason),
    });
    const timer = setTimeout(
      () => socket.close("no connection in time"),
      CONNECT_TIMEOUT_MS,
    );
    const connection: Connection = {
      socket,
      clock: new PeerClock(),
      waiting: [],
      waitingBytes: 0,
      endListeners: [],
      timer,
    };
    this.#connection = connection;
    socket.send([FrameKinds.HELLO, FRAMES_VERSION, proxy]);
    return connection;
  }

  /** Handles a frame of the peer; returns false if it is malformed. */
  #receive(connection: Connection, frame: Frame): boolean {
    const [kind, stamp, first, second, third] = frame;
    if (typeof stamp !== "number" || !Number.isFinite(stamp)) return false;
    const receivedAt = connection.socket.receivedAt;
    connection.clock.record(stamp, receivedAt);
    if (!connection.peer) {
      if (kind !== FrameKinds.HELLO) return false;
      if (first !== FRAMES_VERSION || typeof second !== "string") return false;
      this.#onOpen(connection, second);
      return true;
    }
    switch (kind) {
      case FrameKinds.ANSWER:
        if (typeof first !== "number") return false;
        this.#calls.answer(first, { body: second, stamp, receivedAt });
        return true;
      case FrameKinds.FAILURE:
        if (typeof first !== "number") return false;
        this.#calls.settle(
          first,
          err({ reason: String(second), mayBeReceived: third !== false }),
        );
        return true;
      case FrameKinds.MESSAGE:
        if (typeof first !== "string") return false;
        this.#options.onMessage(first, second, connection.peer);
        return true;
      case FrameKinds.PONG:
        return true;
    }
    return false;
  }

  /** An answer without room is lost; the peer has taken its call. */
  #skip(head: string): void {
    const number = parseAnswerNumber(head);
    if (number === undefined) return;
    const reason = "no room for the answer";
    this.#calls.settle(number, err({ reason, mayBeReceived: true }));
  }

  #onOpen(connection: Connection, proxy: string): void {
    clearTimeout(connection.timer);
    this.#delay.reset();
    connection.peer = {
      proxy,
      send: (kind, body) =>
        connection.socket.send([FrameKinds.MESSAGE, kind, body]) === "sent",
      onEnd: (listener) => connection.endListeners.push(listener),
    };
    for (const { bytes, call } of connection.waiting.splice(0)) {
      if (call !== undefined && !this.#calls.has(call)) continue;
      this.#send(connection, bytes, call);
    }
    this.#finishWaiters(ok(undefined));
  }

  #onClosed(connection: Connection, reason: string): void {
    clearTimeout(connection.timer);
    this.#connection = undefined;
    this.#liveness.stop();
    // Also after an open connection, so that a peer that accepts and closes is not asked in a loop.
    this.#delay.next(clock.now());
    this.#calls.failAll(reason);
    this.#finishWaiters(notReceived(reason));
    for (const listener of connection.endListeners) listener();
    this.#options.onLost(reason);
  }

  #finishWaiters(outcome: Result<void, ChannelFailure>): void {
    const waiters = this.#connectWaiters;
    this.#connectWaiters = [];
    for (const finish of waiters) finish(outcome);
  }
}

const UNREACHABLE = "the peer could not be reached a moment ago";

function openSocket({ host, port }: Endpoint): Socket {
  return connect({ host, port });
}

function notReceived(reason: string): Result<never, ChannelFailure> {
  return err({ reason, mayBeReceived: false });
}
