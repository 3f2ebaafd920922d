/**
 * A connection to an instance as the sessions see it, whatever protocol it speaks.
 *
 * @module
 */
import type { Result } from "neverthrow";
import type { PoolMember } from "../connections/pool_member.ts";
import type { Position } from "./position.ts";

/** Where a session or connection stands with regard to transactions. */
export type TransactionState = "idle" | "open" | "failed";

/** Why an instance did not do what a statement asks. */
export type Fault =
  /** Not run: all slots and the queue are taken. */
  | "busy"
  /** Not run: the log lacks the position that the statement asks for. */
  | "lagging"
  /** Not run: the instance is not the primary. */
  | "read-only"
  /** Not run: the address belongs to another instance. */
  | "misrouted"
  /** Not run: the connection has no statement of that name. */
  | "unknown-statement"
  /** It ran and failed. */
  | "failed"
  /** It ran for too long. */
  | "timeout"
  | "other";

/** The whole answer of an instance to one statement. */
export interface Answer {
  readonly rows: readonly string[];
  /** The instance's proof that it ran the statement; undefined after a fault. */
  readonly signature?: string;
  readonly fault?: Fault;
  /** The instance's own words for the fault. */
  readonly faultText?: string;
  readonly state: TransactionState;
  /** End of the instance's log that its data show. */
  readonly position?: Position;
  /** Monotonic ms at which the statement was handed to the network. */
  readonly sentAt: number;
}

/** A connection ended or was given up before the answer was whole. */
export interface LinkLoss {
  readonly reason: string;
  /**
   * Whether the deadline passed with no answer. The connection then goes back
   * by itself once the answer has come; its borrower lets go of it.
   */
  readonly silent: boolean;
  /** Resolves when the statement can't run any more: its late answer has come, or the connection is closed. */
  readonly over?: Promise<void>;
}

/** What to run: a text as the caller gave it, or a statement prepared on the link. */
export type LinkOperation =
  | { readonly kind: "text"; readonly text: string }
  | {
    readonly kind: "execute";
    readonly name: string;
    readonly arguments: string;
  };

/** A statement for an instance. */
export interface LinkStatement {
  /** The caller's id; undefined for a statement of the proxy's own. */
  readonly id?: string;
  readonly operation: LinkOperation;
  /** Position that the instance's data must show. */
  readonly after?: Position;
}

/** The role and log of an instance, by its own account. */
export interface LinkStatus {
  readonly role: "primary" | "replica";
  readonly term: number;
  /** End of the log that it has received. */
  readonly received: Position;
  /** Term up to which it has been told to take nothing more; 0 for none. */
  readonly pausedAt: number;
  /** Estimated age of its data, in ms. */
  readonly lag: number;
  readonly sentAt: number;
}

/** The effect of a prepared statement and what it does. */
export interface PreparedStatement {
  readonly effect: "read" | "write";
  readonly shape: string;
}

/** Outcome of something asked of an instance. */
export type LinkResult<T> = Promise<Result<T, LinkLoss>>;

/** A connection to an instance. Statements that are run without waiting are answered in order. */
export interface UpstreamLink extends PoolMember {
  readonly instance: string;
  /** Session values in effect. */
  readonly values: ReadonlyMap<string, string>;
  /** Names of the statements prepared on it. */
  readonly prepared: ReadonlySet<string>;
  /** Runs a statement; `deadline` is in monotonic ms. */
  run(statement: LinkStatement, deadline: number): LinkResult<Answer>;
  /** Opens a transaction. */
  begin(
    options: { readonly readOnly: boolean; readonly after?: Position },
    deadline: number,
  ): LinkResult<Answer>;
  /** Ends the transaction without effect. */
  rollback(deadline: number): LinkResult<Answer>;
  /** Sets a session value. */
  setValue(name: string, value: string, deadline: number): LinkResult<Answer>;
  /** Clears session values and prepared statements. */
  reset(deadline: number): LinkResult<Answer>;
  /** Prepares a statement. */
  prepare(
    name: string,
    shape: PreparedStatement,
    deadline: number,
  ): LinkResult<Answer>;
  /** Asks for role and log; a fault is a loss here. */
  status(deadline: number): LinkResult<LinkStatus>;
  /** Tells a replica to receive nothing more below a term. */
  pause(term: number, deadline: number): LinkResult<LinkStatus>;
  /** Lets a replica receive again. */
  resume(deadline: number): LinkResult<LinkStatus>;
  /** Makes a primary of a lower term a replica. */
  stepDown(term: number, deadline: number): LinkResult<LinkStatus>;
  /** Gives the connection back; only one that is idle with its answers read. `wasTurnedAway` when the instance had no place for its statement. */
  release(wasRejected?: boolean): void;
}
