/**
 * The process's clock and timers, and the channels to other proxies, as the
 * quotas use them.
 *
 * @module
 */
import { clock } from "../../kernel/clock.ts";
import type { PeerChannels } from "../channels/channels.ts";
import { MessageKinds } from "./messages.ts";
import type { CallEnd, Network } from "./network.ts";
import { CALL_TIMEOUT_MS, JOIN_TIMEOUT_MS } from "./timing.ts";

/** Handles a call or message; `answer` is called at most once. */
export type KindHandler = (
  kind: string,
  body: unknown,
  peer: string,
  answer: (body: unknown) => void,
) => void;

/** Calls other proxies over channels, and this one directly. */
export class ChannelNetwork implements Network {
  readonly proxy: string;
  readonly #channels: PeerChannels;
  #handler: KindHandler = () => {};

  constructor(proxy: string, channels: PeerChannels) {
    this.proxy = proxy;
    this.#channels = channels;
  }

  get endpoint(): string {
    // A host without channels calls only itself.
    return this.#channels.endpoint ?? this.proxy;
  }

  /** Passes the calls and messages of all proxies to a handler. */
  serve(handler: KindHandler): void {
    this.#handler = handler;
    for (const kind of Object.values(MessageKinds)) {
      this.#channels.serve(
        kind,
        (body, peer) =>
          new Promise((resolve) =>
            handler(kind, body, peer.proxy, (answer) => resolve(answer ?? null))
          ),
      );
    }
  }

  now(): number {
    return clock.now();
  }

  schedule(callback: () => void, delay: number): () => void {
    const timer = setTimeout(callback, delay);
    timer.unref();
    return () => clearTimeout(timer);
  }

  call(
    endpoint: string,
    kind: string,
    body: unknown,
    onEnd: (end: CallEnd) => void,
  ): void {
    if (endpoint === this.endpoint) return this.#callSelf(kind, body, onEnd);
    const timeout = kind === MessageKinds.JOIN
      ? JOIN_TIMEOUT_MS
      : CALL_TIMEOUT_MS;
    void this.#channels.call(endpoint, kind, body, timeout).match(
      ({ body: answer, stamp, receivedAt }) =>
        onEnd({ body: answer, stamp, receivedAt, mayBeReceived: true }),
      ({ mayBeReceived }) =>
        onEnd({ body: undefined, stamp: 0, receivedAt: 0, mayBeReceived }),
    );
  }

  send(endpoint: string, kind: string, body: unknown): void {
    if (endpoint === this.endpoint) {
      return queueMicrotask(() =>
        this.#handler(kind, body, this.proxy, () => {})
      );
    }
    this.#channels.send(endpoint, kind, body);
  }

  #callSelf(
    kind: string,
    body: unknown,
    onEnd: (end: CallEnd) => void,
  ): void {
    queueMicrotask(() =>
      this.#handler(kind, body, this.proxy, (answer) => {
        const now = clock.now();
        onEnd({
          body: answer,
          stamp: now,
          receivedAt: now,
          mayBeReceived: true,
        });
      })
    );
  }
}
