/**
 * Protocol-independent interface of a connection to an instance, as sessions use it.
 *
 * @module
 */
import type { Result } from "neverthrow";
import type { Failure } from "../../kernel/result_codes.ts";
import type { PoolMember } from "../connections/pool_member.ts";
import type { Position } from "./position.ts";

/** Transaction state of a session or connection. */
export type TransactionState = "idle" | "open" | "failed";

/** Why an instance did not execute a statement successfully. */
export type Fault =
  /** Not run: all slots and the queue are full. */
  | "busy"
  /** Not run: the instance has not reached the position that the statement requires. */
  | "lagging"
  /** Not run: the instance is not the primary. */
  | "read-only"
  /** Not run: the address belongs to another instance. */
  | "misrouted"
  /** Not run: the connection has no statement of that name. */
  | "unknown-statement"
  /** Run, and failed. */
  | "failed"
  /** Run, and exceeded its time limit. */
  | "timeout"
  | "other";

/** Complete response of an instance to one statement. */
export interface Answer {
  readonly rows: readonly string[];
  /** Signature by which the instance proves that it ran the statement; undefined after a fault. */
  readonly signature?: string;
  readonly fault?: Fault;
  /** Error text of the fault, as the instance sent it. */
  readonly faultText?: string;
  readonly state: TransactionState;
  /** Log position that the instance's data reflect. */
  readonly position?: Position;
  /** Monotonic ms at which the statement was written to the socket. */
  readonly sentAt: number;
}

/** The connection was closed or abandoned before the response was complete. */
export interface LinkLoss {
  readonly reason: string;
  /**
   * Whether the deadline passed without a response. The connection then returns to the pool
   * by itself when the late response arrives, and its borrower must not release it.
   */
  readonly silent: boolean;
  /**
   * Resolves, when the late response has arrived or the connection is closed, to the monotonic
   * time in ms until which the statement may still run. Without it, it can no longer run.
   */
  readonly over?: Promise<number>;
  /** Why the statement was not sent; the connection is open then, and its borrower releases it. */
  readonly notSent?: Failure;
  /** Whether the proxy that holds the connection was lost, which says nothing about the instance. */
  readonly holderLost?: boolean;
}

/** Operation to run: the caller's statement text, or a statement prepared on the link. */
export type LinkOperation =
  | { readonly kind: "text"; readonly text: string }
  | {
    readonly kind: "execute";
    readonly statement: PreparedStatement;
    readonly arguments: string;
  };

/** A statement to run at an instance. */
export interface LinkStatement {
  /** Id of the caller's statement; undefined for the proxy's own statements. */
  readonly id?: string;
  readonly operation: LinkOperation;
  /** Position that the instance's data must include. */
  readonly after?: Position;
}

/** Role and log position that an instance reports for itself. */
export interface LinkStatus {
  readonly role: "primary" | "replica";
  readonly term: number;
  /** End of the received log. */
  readonly received: Position;
  /** Lowest term from whose primary the instance may receive, as set by `pause`; 0 if not paused. */
  readonly pausedAt: number;
  /** Estimated age of the instance's data, in ms. */
  readonly lag: number;
  readonly sentAt: number;
}

/** A prepared statement: its effect and its definition, without arguments. */
export interface PreparedStatement {
  readonly effect: "read" | "write";
  readonly shape: string;
}

/** Outcome of a request to an instance. */
export type LinkResult<T> = Promise<Result<T, LinkLoss>>;

/** A way to run statements at an instance: a connection to it, or a place on one that another proxy holds. Pipelined statements are answered in order. Deadlines are in monotonic ms. */
export interface UpstreamLink extends PoolMember {
  readonly instance: string;
  /** Whether another proxy holds the connection. */
  readonly isForwarded: boolean;
  /**
   * Makes the session's values, and the statement that an operation executes, available to what is
   * run next. Returns the name under which the statement was newly prepared, if it was.
   */
  adopt(
    values: ReadonlyMap<string, string>,
    operation: LinkOperation | undefined,
    deadline: number,
  ): string | undefined;
  /** Runs a statement; an instance's fault is part of the answer, not a loss. */
  run(statement: LinkStatement, deadline: number): LinkResult<Answer>;
  /** Begins a transaction; the instance's data must include the position `after`. */
  begin(
    options: { readonly readOnly: boolean; readonly after?: Position },
    deadline: number,
  ): LinkResult<Answer>;
  /** Rolls back the open transaction. */
  rollback(deadline: number): LinkResult<Answer>;
  /** Requests the role and log position; a fault is reported as a loss. */
  status(deadline: number): LinkResult<LinkStatus>;
  /** Tells a replica to stop receiving from primaries of terms below `term`. */
  pause(term: number, deadline: number): LinkResult<LinkStatus>;
  /** Tells a replica to resume receiving. */
  resume(deadline: number): LinkResult<LinkStatus>;
  /** Demotes a primary of a term lower than `term` to a replica. */
  stepDown(term: number, deadline: number): LinkResult<LinkStatus>;
  /**
   * Returns the connection to its pool; it must be idle and all its answers read. `wasRejected` says
   * that the instance rejected its statement because the slots and the queue were full.
   */
  release(wasRejected?: boolean): void;
}

/** The state of a connection to an instance, and the statements that change it. */
export interface LinkState {
  /** Session values that are set on the connection. */
  readonly values: ReadonlyMap<string, string>;
  /** Name by which the instance knows a statement that is prepared on the connection; undefined if it is not prepared. Counts as a use, which keeps the statement prepared for longer. */
  preparedName(statement: PreparedStatement): string | undefined;
  /** Sets a session value. */
  setValue(name: string, value: string, deadline: number): LinkResult<Answer>;
  /** Discards all session values and prepared statements. */
  reset(deadline: number): LinkResult<Answer>;
  /** Prepares a statement that the connection lacks. */
  prepare(statement: PreparedStatement, deadline: number): LinkResult<Answer>;
}

/** A link on a connection of this proxy's own. */
export interface DirectLink extends UpstreamLink, LinkState {}
