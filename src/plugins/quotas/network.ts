/**
 * What the quotas need of the process: its clock, timers and calls to other
 * hosts. Tests replace it by virtual time and a simulated network.
 *
 * @module
 */

/** The end of a call. */
export interface CallEnd {
  /** Body of the answer; undefined if there was none. */
  readonly body: unknown;
  /** The peer's clock, in ms, when it sent the answer. */
  readonly stamp: number;
  /** Clock ms at which the answer arrived. */
  readonly receivedAt: number;
  /** Whether the peer may have received the call. */
  readonly mayBeReceived: boolean;
}

/** Clock, timers and calls. */
export interface Network {
  /** Name and endpoint of this host. */
  readonly proxy: string;
  readonly endpoint: string;
  /** Time in ms of the process's clock. */
  now(): number;
  /** Runs a callback after a delay in ms; returns a function that cancels it. */
  schedule(callback: () => void, delay: number): () => void;
  /** Calls a host, this one included; `onEnd` runs once, and not before the call returns. */
  call(
    endpoint: string,
    kind: string,
    body: unknown,
    onEnd: (end: CallEnd) => void,
  ): void;
  /** Sends a message without an answer. */
  send(endpoint: string, kind: string, body: unknown): void;
}
