/**
 * What a pool asks of a connection, whatever protocol it speaks.
 *
 * @module
 */

/** A connection that a pool keeps and lends. */
export interface PoolMember {
  readonly id: number;
  /** Monotonic ms of the last loan or return. */
  lastUsedAt: number;
  /** Whether it can be lent: open, and nothing has come in that no one asked for. */
  readonly isUsable: boolean;
  /** Begins to watch for the end of an idle connection and for unasked data. */
  watchIdle(): void;
  /** Marks it as lent. */
  markInUse(): void;
  /** Ends an idle connection in good order. */
  end(): void;
  /** Closes it at once. */
  destroy(): void;
}

/** What a connection tells its pool. */
export interface PoolOwner<Member extends PoolMember> {
  /** The borrower gave it back; `wasTurnedAway` when the instance had no place for its statement. */
  onReleased(connection: Member, wasRejected?: boolean): void;
  /** The socket is closed, for whatever reason. */
  onClosed(connection: Member): void;
}

/** Makes the pool's member of a connection that has just been opened. */
export type MemberFactory<Member extends PoolMember> = (
  owner: PoolOwner<Member>,
) => Member;

/** The instance that a pool connects to. */
export interface PoolTarget {
  readonly database: string;
  readonly instance: string;
}
