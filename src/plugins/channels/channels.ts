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
  /** Host and port at which peers reach this process; undefined for a host without a port for channels, whose calls all fail. */
  readonly endpoint: string | undefined;
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
  /** Connects to a peer unless it is connected, within `timeout` ms; `earliestPeerTime` is defined then. */
  connect(
    endpoint: string,
    timeout: number,
  ): ResultAsync<void, ChannelFailure>;
  /**
   * The earliest time, in ms, that the peer's clock can show at the local time `at`; undefined before
   * its first frame. It belongs to the process that a call sent in the same turn goes to; a later
   * connection may lead to another process, with another clock.
   */
  earliestPeerTime(endpoint: string, at: number): number | undefined;
}

declare module "../../kernel/kernel.ts" {
  interface Services {
    channels: PeerChannels;
  }
}
