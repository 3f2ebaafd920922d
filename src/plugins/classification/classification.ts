/**
 * Types of the classification of statement texts.
 *
 * @module
 */
import type { Position } from "../upstream/position.ts";

/** Effect of a whole text on data. */
export type Effect =
  /** Proved to be read-only. */
  | "read"
  /** May write, or could not be proved to be read-only. */
  | "write"
  /** Transaction control and settings without effect on data. */
  | "control";

/** Transaction command of a text that has no other statement. */
export type TransactionCommand =
  | "begin"
  | "begin read only"
  | "commit"
  | "rollback";

/** Kind of session state that a text leaves on an upstream connection. */
export type SessionStateKind =
  /** `SET` of a parameter that the proxy replays. */
  | "setting"
  /** Temporary tables, LISTEN, advisory locks, cursors WITH HOLD and other state that can't be replayed. */
  | "pinned";

/** A setting that the caller makes for the proxy itself (`SET marjoramshed.x = 'y'`). */
export interface ProxySetting {
  readonly name: "request" | "position" | "kind" | "session";
  readonly value: string;
  /** Whether it is a SET LOCAL, which ends with the transaction. */
  readonly local: boolean;
}

/** A `SET name = value` or `RESET` that the proxy replays on each connection that runs a later statement of the caller. */
export interface ReplayedSetting {
  readonly name: string;
  /** The statement to replay; undefined for a RESET. */
  readonly text?: string;
}

/** Classification of the text of one Query or Parse message. */
export interface Classification {
  readonly effect: Effect;
  /** Number of statements in the text. */
  readonly statementCount: number;
  /** Set when the only statement of the text is transaction control. */
  readonly transaction?: TransactionCommand;
  /** Whether the text contains transaction control among other statements. */
  readonly mixedTransaction: boolean;
  /** Session state that the text may leave on the connection; undefined for none. */
  readonly sessionState?: SessionStateKind;
  readonly replayed?: ReplayedSetting;
  readonly proxySetting?: ProxySetting;
  /** Name after `SHOW marjoramshed.`. */
  readonly shownSetting?: string;
  /** Whether the text contains `DISCARD ALL` or `DEALLOCATE ALL`, after which the proxy clears its own records of the session too. */
  readonly discardsState: boolean;
  /** Whether the text contains `DISCARD ALL`, which resets the session's settings too. */
  readonly resetsSettings?: boolean;
  /** Name of the prepared statement that `DEALLOCATE name` drops. */
  readonly deallocatedStatement?: string;
  /** Whether the text contains LISTEN, UNLISTEN, NOTIFY or COPY, whose message flow the proxy does not support. */
  readonly unsupported: boolean;
  /** Names of the referenced tables, in lower case and without schema; empty when unknown. */
  readonly tables: readonly string[];
  /** Value of `request` in a leading comment. */
  readonly requestId?: string;
  /** Value of `position` in a leading comment. */
  readonly position?: Position;
  /** Value of `kind` in a leading comment. */
  readonly kind?: string;
}

/** Classifies texts with the grammar of PostgreSQL; texts that don't parse count as writes. */
export interface Classifier {
  classify(text: string): Classification;
}

declare module "../../kernel/kernel.ts" {
  interface Services {
    classification: Classifier;
  }
}
