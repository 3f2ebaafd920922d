/**
 * Connections to upstreams: pools with a connection budget shared by all live
 * proxies.
 *
 * @module
 */
import type { Socket } from "node:net";
import type { ResultAsync } from "neverthrow";
import type { Failure } from "../../kernel/result_codes.ts";
import type { ScheduleUse } from "../scheduling/schedule_use.ts";

/** Priority of a statement in the queue; `high` is served first. */
export type Priority = "high" | "normal" | "low";

/** A request for a connection to run a statement or transaction on. */
export interface ConnectionRequest {
  readonly database: string;
  readonly instance: string;
  /** Account that the work belongs to; undefined for the proxy's own statements and where callers have no accounts. */
  readonly account?: string;
  readonly priority: Priority;
  /** Order among the work of one instance where that is scheduled, 0 first; undefined for the proxy's own statements. */
  readonly rank?: number;
  /** Monotonic ms until which the request may wait. */
  readonly deadline: number;
  /** Monotonic ms after which the result is less useful to the caller, if known. */
  readonly usefulUntil?: number;
}

/** An open, authenticated connection to an upstream, in use by one statement or transaction (its user). */
export interface UpstreamConnection {
  readonly id: number;
  readonly database: string;
  readonly instance: string;
  /** The connected socket, paused and without a reader; the user reads and writes whole messages. */
  readonly socket: Socket;
  /** Process id and secret key that the upstream assigned for cancel requests. */
  readonly processId: number;
  readonly secretKey: number;
  /** Parameters that the upstream reported at connection startup, such as server_version. */
  readonly parameters: ReadonlyMap<string, string>;
  /** Names of the statements prepared on this connection; maintained by the user. */
  readonly prepared: Set<string>;
  /** Settings in effect on this connection by name; maintained by the user. */
  readonly settings: Map<string, string>;
  /** Returns the connection to the pool. It must be idle, outside a transaction, with its response read completely. */
  release(): void;
  /** Marks the connection as having a cancel request: it is closed on release. */
  cancel(): void;
  /** Closes the connection; for use whenever `release` is not allowed. */
  destroy(): void;
}

/** Connection counts of this proxy at one instance. */
export interface ConnectionUse {
  readonly database: string;
  readonly instance: string;
  readonly open: number;
  readonly busy: number;
  readonly waiting: number;
  /** Maximum number of connections that this proxy may currently hold. */
  readonly share: number;
  /** Connections opened since the pool was created. */
  readonly opened: number;
  /** Where the instance is scheduled. */
  readonly schedule?: ScheduleUse;
}

/** Connection pools for all instances. */
export interface Connections {
  /** Acquires a connection; fails early with QUEUE_FULL, at the deadline with QUEUE_DEADLINE, or when the instance is unreachable. */
  acquire(request: ConnectionRequest): ResultAsync<UpstreamConnection, Failure>;
  /** Number of connections in use plus queued requests of this proxy at an instance. */
  outstanding(database: string, instance: string): number;
  /** Connection counts of all instances. */
  use(): readonly ConnectionUse[];
  /** Sends a cancel request for a connection in use, on a new connection outside the budget. */
  cancel(connection: UpstreamConnection): Promise<void>;
}

declare module "../../kernel/kernel.ts" {
  interface Services {
    connections: Connections;
  }
}
