/**
 * The protocol-independent interface between a pool and its connections.
 *
 * @module
 */

/** A connection managed by a pool. */
export interface PoolMember {
  readonly id: number;
  /** Monotonic ms of the last acquisition or release. */
  lastUsedAt: number;
  /** Whether it can be used: it is open and has received no unexpected data. */
  readonly isUsable: boolean;
  /** Watches an idle connection for its end and for unexpected data. */
  watchIdle(): void;
  /** Marks the connection as in use and stops watching it. */
  markInUse(): void;
  /** Closes an idle connection gracefully. */
  end(): void;
  /** Closes the connection immediately. */
  destroy(): void;
}

/** Callbacks from a connection to its pool. */
export interface PoolOwner<Member extends PoolMember> {
  /** The connection was released; `wasRejected` if the instance had no capacity for its statement. */
  onReleased(connection: Member, wasRejected?: boolean): void;
  /** The socket was closed, for any reason. */
  onClosed(connection: Member): void;
}

/** Creates the pool member for a newly opened connection. */
export type MemberFactory<Member extends PoolMember> = (
  owner: PoolOwner<Member>,
) => Member;

/** The instance that a pool connects to. */
export interface PoolTarget {
  readonly database: string;
  readonly instance: string;
}
