/**
 * What a pool of connections to one instance offers, whatever its connections
 * are shared by.
 *
 * @module
 */
import type { ResultAsync } from "neverthrow";
import type { Failure } from "../../kernel/result_codes.ts";
import type { ConnectionRequest, ConnectionUse } from "./connections.ts";
import type { PoolMember, PoolTarget } from "./pool_member.ts";

/** Connections of this proxy to one instance. */
export interface ConnectionPool<Member extends PoolMember> {
  readonly target: PoolTarget;
  /** Number of connections in use plus queued requests. */
  readonly load: number;
  readonly use: ConnectionUse;
  /** Acquires a connection, from the idle ones or through the queue. */
  acquire(request: ConnectionRequest): ResultAsync<Member, Failure>;
  /** Sets the maximum number of connections of this proxy; idle ones in excess are closed immediately. */
  setShare(share: number): void;
  /** Closes the pool: waiters get the failure, idle connections are closed, those in use when they are released. */
  close(failure: Failure): void;
  /** Accepts requests again after `close`. */
  reopen(): void;
  /** Closes the pool and all connections, including those in use. */
  destroy(failure: Failure): void;
  /** Closes the connections in use; their users see them as lost. */
  destroyBusy(): void;
  /** Periodic maintenance; `now` is in monotonic ms. */
  maintain(now: number): void;
}
