/**
 * Channels over TCP: one connection for each peer that this process calls, and
 * one for each that calls it.
 *
 * @module
 */
import { createServer, type Server } from "node:net";
import { ResultAsync } from "neverthrow";
import { clock } from "../../kernel/clock.ts";
import { type EventLog, Events } from "../../kernel/events.ts";
import type { Service } from "../../kernel/kernel.ts";
import { logUnexpected } from "../../kernel/unexpected_errors.ts";
import {
  type Endpoint,
  formatEndpoint,
  parseEndpoint,
} from "../../utils/endpoint.ts";
import type {
  ChannelFailure,
  ChannelHandler,
  ChannelPeer,
  ChannelReply,
  PeerChannels,
} from "./channels.ts";
import { MALFORMED } from "./frame_socket.ts";
import { HeldBytes } from "./held_bytes.ts";
import { IncomingChannel } from "./incoming_channel.ts";
import { OutgoingChannel } from "./outgoing_channel.ts";

/** Connections that are accepted at a time; several times the number of hosts. */
const MAX_INCOMING = 1_024;

/** Number of channels to peers from which those without a connection are dropped. */
const MAX_IDLE_OUTGOING = 256;

/** Minimum interval between two log lines of one kind about one peer or handler, in ms. */
const LOG_INTERVAL_MS = 1_000;

/** Number of last log lines that are remembered. */
const MAX_LOG_KEYS = 1_024;

/** Reason for which this process itself closes a connection when it stops. */
const CLOSED_HERE = "closed here";

/** Name and endpoint of this process. */
export interface TcpChannelsOptions {
  readonly proxy: string;
  readonly endpoint: Endpoint;
  readonly log: EventLog;
}

/** Channels of one process. */
export class TcpChannels implements PeerChannels, Service {
  readonly #options: TcpChannelsOptions;
  readonly #server: Server;
  readonly #handlers = new Map<string, ChannelHandler>();
  readonly #outgoing = new Map<string, OutgoingChannel>();
  readonly #incoming = new Set<IncomingChannel>();
  /** Apart from each other, so that calls can't keep out the answers that this process waits for. */
  readonly #heldCalls = new HeldBytes();
  readonly #heldAnswers = new HeldBytes();
  /** Monotonic ms of the last log line, by kind and peer or handler. */
  readonly #loggedAt = new Map<string, number>();

  constructor(options: TcpChannelsOptions) {
    this.#options = options;
    this.#server = createServer({ noDelay: true }, (socket) => {
      const from = socket.remoteAddress ?? "";
      const channel = new IncomingChannel(socket, {
        proxy: options.proxy,
        held: this.#heldCalls,
        handler: (kind) => this.#handlers.get(kind),
        onHello: (opened) => this.#replaceFormer(opened),
        onClosed: (closed, reason) => this.#onClosed(closed, from, reason),
        onHandlerFailed: (kind, error) => this.#logFailure(kind, error),
      });
      this.#incoming.add(channel);
    });
    this.#server.maxConnections = MAX_INCOMING;
  }

  get endpoint(): string {
    return formatEndpoint(this.#options.endpoint);
  }

  /** Starts listening; rejects when the endpoint can't be bound. */
  start(): Promise<void> {
    const { host, port } = this.#options.endpoint;
    return new Promise((resolve, reject) => {
      this.#server.once("error", reject);
      this.#server.listen(port, host, () => {
        this.#server.off("error", reject);
        this.#server.on(
          "error",
          (error) => logUnexpected(this.#options.log, "channels", error),
        );
        resolve();
      });
    });
  }

  /** Closes all connections. */
  stop(): void {
    this.#server.close();
    for (const channel of this.#incoming) channel.close(CLOSED_HERE);
    for (const channel of this.#outgoing.values()) channel.close(CLOSED_HERE);
  }

  call(
    endpoint: string,
    kind: string,
    body: unknown,
    timeout: number,
  ): ResultAsync<ChannelReply, ChannelFailure> {
    const channel = this.#channel(endpoint);
    return new ResultAsync(channel.call(kind, body, timeout));
  }

  send(endpoint: string, kind: string, body: unknown): boolean {
    return this.#channel(endpoint).send(kind, body);
  }

  serve(kind: string, handler: ChannelHandler): void {
    this.#handlers.set(kind, handler);
  }

  connect(
    endpoint: string,
    timeout: number,
  ): ResultAsync<void, ChannelFailure> {
    return new ResultAsync(this.#channel(endpoint).connect(timeout));
  }

  earliestPeerTime(endpoint: string, at: number): number | undefined {
    return this.#outgoing.get(endpoint)?.earliestPeerTime(at);
  }

  #channel(endpoint: string): OutgoingChannel {
    const known = this.#outgoing.get(endpoint);
    if (known) return known;
    if (this.#outgoing.size >= MAX_IDLE_OUTGOING) this.#dropIdle();
    const channel = new OutgoingChannel({
      proxy: this.#options.proxy,
      endpoint: parseEndpoint(endpoint),
      held: this.#heldAnswers,
      onMessage: (kind, body, peer) => void this.#onMessage(kind, body, peer),
      onLost: (reason) => this.#logEnd(endpoint, reason),
    });
    this.#outgoing.set(endpoint, channel);
    return channel;
  }

  /** Drops the channels to peers that are gone. */
  #dropIdle(): void {
    for (const [endpoint, channel] of this.#outgoing) {
      if (channel.isIdle) this.#outgoing.delete(endpoint);
    }
  }

  /** A proxy has one connection to this one; another one under its name is left over from before it was lost there. */
  #replaceFormer(opened: IncomingChannel): void {
    for (const channel of this.#incoming) {
      if (channel !== opened && channel.proxy === opened.proxy) {
        channel.close("replaced by a later connection");
      }
    }
  }

  async #onMessage(
    kind: string,
    body: unknown,
    peer: ChannelPeer,
  ): Promise<void> {
    try {
      await this.#handlers.get(kind)?.(body, peer);
    } catch (error) {
      this.#logFailure(kind, error);
    }
  }

  #onClosed(channel: IncomingChannel, from: string, reason: string): void {
    this.#incoming.delete(channel);
    if (reason === MALFORMED) this.#logEnd(channel.proxy ?? from, reason);
  }

  /** Logs the end of a connection. */
  #logEnd(peer: string, reason: string): void {
    if (reason === CLOSED_HERE) return;
    const kind = reason === MALFORMED
      ? Events.CHANNEL_MALFORMED
      : Events.CHANNEL_LOST;
    if (!this.#mayLog(`${kind.number} ${peer}`)) return;
    this.#options.log.write(kind, { peer, reason });
  }

  #logFailure(kind: string, error: unknown): void {
    if (!this.#mayLog(kind)) return;
    logUnexpected(this.#options.log, `channel ${kind}`, error);
  }

  /** Whether an interval has passed since the last line of this key. */
  #mayLog(key: string): boolean {
    const now = clock.now();
    const last = this.#loggedAt.get(key) ?? -Infinity;
    if (now - last < LOG_INTERVAL_MS) return false;
    if (this.#loggedAt.size >= MAX_LOG_KEYS) this.#loggedAt.clear();
    this.#loggedAt.set(key, now);
    return true;
  }
}
