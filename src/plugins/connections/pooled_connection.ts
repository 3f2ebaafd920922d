/**
 * A connection of a pool that speaks the PostgreSQL protocol.
 *
 * @module
 */
import type { Socket } from "node:net";
import { clock } from "../../kernel/clock.ts";
import type { UpstreamConnection } from "./connections.ts";
import type { PoolMember, PoolOwner } from "./pool_member.ts";
import type { OpenedUpstream, UpstreamTarget } from "./upstream_client.ts";

/** Terminate message of the protocol, for a graceful close. */
const TERMINATE = Buffer.from([0x58, 0, 0, 0, 4]);

/** Time limit for the instance to close its side. */
const CLOSE_TIMEOUT_MS = 1_000;

const READER_EVENTS = ["data", "readable", "drain"] as const;

let lastId = 0;

/** Pooled connection, used by one statement or transaction at a time. */
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
  /** Monotonic ms of the last acquisition or release. */
  lastUsedAt = clock.now();

  readonly #owner: PoolOwner<PooledConnection>;
  #isInUse = false;
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

  /** Whether it can be used: it is open and has received no unexpected data. */
  get isUsable(): boolean {
    return !this.#closing && !this.socket.destroyed && this.socket.writable &&
      this.socket.readableLength === 0;
  }

  /** Watches an idle connection for its end and for unexpected data. */
  watchIdle(): void {
    this.socket.once("data", this.#onUnexpectedData);
    this.socket.resume();
  }

  /** Marks the connection as in use; the socket is paused and has no reader. */
  markInUse(): void {
    this.#isInUse = true;
    this.lastUsedAt = clock.now();
    this.socket.off("data", this.#onUnexpectedData);
    this.socket.pause();
  }

  release(): void {
    if (!this.#isInUse) return;
    this.#isInUse = false;
    for (const event of READER_EVENTS) this.socket.removeAllListeners(event);
    this.socket.pause();
    if (!this.isUsable || this.#canceled) {
      this.destroy();
      return;
    }
    this.#owner.onReleased(this);
  }

  /** Marks the connection as having a cancel request, which may arrive after the statement has ended. */
  cancel(): void {
    this.#canceled = true;
  }

  destroy(): void {
    const isInUse = this.#isInUse;
    this.#isInUse = false;
    this.#closing = true;
    // A reset drops a statement that is still on its way; an orderly close would deliver it.
    if (isInUse) this.socket.resetAndDestroy();
    else this.socket.destroy();
  }

  /** Closes an idle connection gracefully. */
  end(): void {
    if (this.#closing) return;
    this.#closing = true;
    this.socket.off("data", this.#onUnexpectedData);
    this.socket.resume();
    this.socket.end(TERMINATE);
    const timer = setTimeout(() => this.socket.destroy(), CLOSE_TIMEOUT_MS);
    this.socket.once("close", () => clearTimeout(timer));
  }

  readonly #onUnexpectedData = () => this.destroy();
}
