/**
 * Connections to upstreams: pools under a budget that live proxies share.
 *
 * @module
 */
import type { Socket } from "node:net";
import type { ResultAsync } from "neverthrow";
import type { Failure } from "../../kernel/result_codes.ts";

/** Class of a statement in the queue; lower goes first. */
export type Priority = "high" | "normal" | "low";

/** What a statement asks for. */
export interface ConnectionRequest {
  readonly database: string;
  readonly instance: string;
  readonly priority: Priority;
  /** Monotonic ms. */
  readonly deadline: number;
  /** Monotonic ms after which an answer is worth less to the caller, where that is known. */
  readonly usefulUntil?: number;
}

/** An open, authenticated connection to an upstream, lent to one statement or transaction. */
export interface UpstreamConnection {
  readonly id: number;
  readonly database: string;
  readonly instance: string;
  /** The connected socket, paused and without reader; the borrower reads and writes whole messages. */
  readonly socket: Socket;
  /** Process id and secret of the upstream for cancel requests. */
  readonly processId: number;
  readonly secretKey: number;
  /** Parameters that the upstream reported at start, such as server_version. */
  readonly parameters: ReadonlyMap<string, string>;
  /** Names of statements prepared on this connection; the borrower keeps it up to date. */
  readonly prepared: Set<string>;
  /** Settings in effect on this connection by name; the borrower keeps it up to date. */
  readonly settings: Map<string, string>;
  /** Gives the connection back. Only one that stands idle, outside a transaction, with its answer read to the end. */
  release(): void;
  /** Notes that a cancel request is sent for it: it is closed when it comes back. */
  cancel(): void;
  /** Closes the connection; for every other case. */
  destroy(): void;
}

/** Use of an instance's connections by this proxy. */
export interface ConnectionUse {
  readonly database: string;
  readonly instance: string;
  readonly open: number;
  readonly busy: number;
  readonly waiting: number;
  /** Connections that this proxy may open at present. */
  readonly share: number;
  /** Opened since the start. */
  readonly opened: number;
}

/** Lends connections. */
export interface Connections {
  /** Lends a connection; fails early with QUEUE_FULL, at the deadline with QUEUE_DEADLINE, or when the instance can't be reached. */
  acquire(request: ConnectionRequest): ResultAsync<UpstreamConnection, Failure>;
  /** Connections of an instance in use and waited for by this proxy: its outstanding work. */
  outstanding(database: string, instance: string): number;
  /** Use of all instances. */
  use(): readonly ConnectionUse[];
  /** Opens a connection outside the budget and sends a cancel request for a borrowed connection. */
  cancel(connection: UpstreamConnection): Promise<void>;
}

declare module "../../kernel/kernel.ts" {
  interface Services {
    connections: Connections;
  }
}
