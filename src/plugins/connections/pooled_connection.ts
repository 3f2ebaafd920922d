/**
 * One open connection of a pool.
 *
 * @module
 */
import type { Socket } from "node:net";
import type { UpstreamConnection } from "./connections.ts";
import type { PoolMember, PoolOwner } from "./pool_member.ts";
import type { OpenedUpstream, UpstreamTarget } from "./upstream_client.ts";

/** Message Terminate of the protocol: a connection that ends in good order. */
const TERMINATE = Buffer.from([0x58, 0, 0, 0, 4]);

/** How long the instance may take to close its side. */
const CLOSE_TIMEOUT_MS = 1_000;

const READER_EVENTS = ["data", "readable", "drain"] as const;

let lastId = 0;

/** Connection of a pool, lent to one borrower at a time. */
export class PooledConnection implements UpstreamConnection, PoolMember {
  readonly id = ++lastId;
  readonly database: string;
  readonly instance: string;
  readonly socket: Socket;
  readonly processId: number;
  readonly secretKey: number;
  readonly parameters: ReadonlyMap<string, string>;
  readonly prepared = new Set<string>();
  readonly settings = new Map<string, string>();
  /** Monotonic ms of the last loan or return. */
  lastUsedAt = performance.now();

  readonly #owner: PoolOwner<PooledConnection>;
  #lent = false;
  #canceled = false;
  #closing = false;

  constructor(
    target: UpstreamTarget,
    opened: OpenedUpstream,
    owner: PoolOwner<PooledConnection>,
  ) {
    this.database = target.database;
    this.instance = target.instance;
    this.socket = opened.socket;
    this.processId = opened.processId;
    this.secretKey = opened.secretKey;
    this.parameters = opened.parameters;
    this.#owner = owner;
    this.socket.on("error", () => {});
    this.socket.once("close", () => {
      this.#closing = true;
      owner.onClosed(this);
    });
  }

  /** Whether it can be lent: open, and nothing has come in that no one asked for. */
  get isUsable(): boolean {
    return !this.#closing && !this.socket.destroyed && this.socket.writable &&
      this.socket.readableLength === 0;
  }

  /** Begins to watch for the end of an idle connection and for unasked data. */
  watchIdle(): void {
    this.socket.once("data", this.#unasked);
    this.socket.resume();
  }

  /** Marks it as lent; the socket is paused and without reader. */
  markInUse(): void {
    this.#lent = true;
    this.lastUsedAt = performance.now();
    this.socket.off("data", this.#unasked);
    this.socket.pause();
  }

  release(): void {
    if (!this.#lent) return;
    this.#lent = false;
    for (const event of READER_EVENTS) this.socket.removeAllListeners(event);
    this.socket.pause();
    if (!this.isUsable || this.#canceled) {
      this.destroy();
      return;
    }
    this.#owner.onReleased(this);
  }

  /** Notes that a cancel request was sent for it, which may still arrive after the statement has ended. */
  cancel(): void {
    this.#canceled = true;
  }

  destroy(): void {
    this.#lent = false;
    this.#closing = true;
    this.socket.destroy();
  }

  /** Ends an idle connection in good order. */
  end(): void {
    if (this.#closing) return;
    this.#closing = true;
    this.socket.off("data", this.#unasked);
    this.socket.resume();
    this.socket.end(TERMINATE);
    const timer = setTimeout(() => this.socket.destroy(), CLOSE_TIMEOUT_MS);
    this.socket.once("close", () => clearTimeout(timer));
  }

  readonly #unasked = () => this.destroy();
}
