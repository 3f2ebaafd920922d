/**
 * What a proxy reads off the text of a statement.
 *
 * @module
 */
import type { Position } from "../upstream/position.ts";

/** What the whole text may do to data. */
export type Effect =
  /** Proved to read only. */
  | "read"
  /** May write, or could not be proved to read only. */
  | "write"
  /** Transaction control and settings without effect on data. */
  | "control";

/** Transaction control of a text that consists of just that statement. */
export type TransactionCommand =
  | "begin"
  | "begin read only"
  | "commit"
  | "rollback";

/** What leaves state on an upstream connection. */
export type SessionStateKind =
  /** `SET` of a parameter that the proxy replays. */
  | "setting"
  /** Temporary tables, LISTEN, advisory locks, cursors WITH HOLD, and all that can't be replayed. */
  | "pinned";

/** A setting of the caller for the proxy itself (`SET marjoramshed.x = 'y'`). */
export interface ProxySetting {
  readonly name: "request" | "position" | "kind" | "session";
  readonly value: string;
  /** Whether it ends with the transaction. */
  readonly local: boolean;
}

/** A `SET name = value` or `RESET` that the proxy replays on the connection that runs the caller's next statement. */
export interface ReplayedSetting {
  readonly name: string;
  /** The statement to replay; undefined for a RESET. */
  readonly text?: string;
}

/** The classification of one text of a Query or Parse. */
export interface Classification {
  readonly effect: Effect;
  /** Number of statements in the text. */
  readonly statementCount: number;
  /** Set when the text has exactly one statement and it is transaction control. */
  readonly transaction?: TransactionCommand;
  /** Whether the text holds transaction control besides other statements. */
  readonly mixedTransaction: boolean;
  /** Whether running the text may leave state on the connection. */
  readonly sessionState?: SessionStateKind;
  readonly replayed?: ReplayedSetting;
  readonly proxySetting?: ProxySetting;
  /** Name after `SHOW marjoramshed.`. */
  readonly shownSetting?: string;
  /** `DISCARD ALL`, `DEALLOCATE ALL` and the like, which the proxy answers by its own means too. */
  readonly discardsState: boolean;
  /** Names of the statement that SQL `DEALLOCATE name` drops. */
  readonly deallocatedStatement?: string;
  /** Whether it holds LISTEN, NOTIFY, COPY or another command with an answer flow of its own. */
  readonly unsupported: boolean;
  /** Tables read, lower case, without schema; empty when unknown. */
  readonly tables: readonly string[];
  /** From a leading comment: request=... */
  readonly requestId?: string;
  /** From a leading comment: position=... */
  readonly position?: Position;
  /** From a leading comment: kind=... */
  readonly kind?: string;
}

/** Classifies texts with the real grammar; texts that don't parse count as writes. */
export interface Classifier {
  classify(text: string): Classification;
}

declare module "../../kernel/kernel.ts" {
  interface Services {
    classification: Classifier;
  }
}
