/**
 * Framed messages between proxies over connections that stay open, with a bound
 * on the other side's clock, so that a deadline can be passed on.
 *
 * @module
 */
import type { ResultAsync } from "neverthrow";

/** Why a call has no answer. */
export interface ChannelFailure {
  readonly reason: string;
  /** Whether the peer may have received the call, so that it may have taken or may still take effect. */
  readonly mayBeReceived: boolean;
}

/** The answer to a call. */
export interface ChannelReply {
  readonly body: unknown;
  /** Monotonic ms at which the call was sent. */
  readonly sentAt: number;
  /** The peer's clock, in ms, when it sent the answer. */
  readonly stamp: number;
  /** Monotonic ms at which the answer arrived. */
  readonly receivedAt: number;
}

/** The caller of a handler: one connection of a proxy. */
export interface ChannelPeer {
  /** Name that the proxy gave when it connected. */
  readonly proxy: string;
  /** Sends a message without an answer back to the proxy; returns false if it can't be sent. */
  send(kind: string, body: unknown): boolean;
  /** Calls the listener once when the connection has ended. */
  onEnd(listener: () => void): void;
}

/** Handles the calls and messages of one kind; what it returns, or resolves to, answers a call. */
export type ChannelHandler = (
  body: unknown,
  peer: ChannelPeer,
) => unknown;

/** Sends messages to other proxies and receives theirs. */
export interface PeerChannels {
  /** Host and port at which peers reach this process. */
  readonly endpoint: string;
  /** Sends a call to the peer at `host:port` and waits for its answer, for `timeout` ms at most. */
  call(
    endpoint: string,
    kind: string,
    body: unknown,
    timeout: number,
  ): ResultAsync<ChannelReply, ChannelFailure>;
  /** Sends a message without an answer; returns false if it can't be sent. */
  send(endpoint: string, kind: string, body: unknown): boolean;
  /** Registers the handler of a kind, for calls, and for messages in either direction. */
  serve(kind: string, handler: ChannelHandler): void;
  /** The earliest time, in ms, that the peer's clock can show at the local time `at`; undefined before its first frame. */
  earliestPeerTime(endpoint: string, at: number): number | undefined;
}

declare module "../../kernel/kernel.ts" {
  interface Services {
    channels: PeerChannels;
  }
}
