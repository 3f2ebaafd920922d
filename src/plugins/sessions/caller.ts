/**
 * A caller's side of a session, whatever protocol it speaks.
 *
 * @module
 */
import type { Failure } from "../../kernel/result_codes.ts";
import type {
  Answer,
  PreparedStatement,
  TransactionState,
} from "../upstream/link.ts";

/** What a statement of a caller does. */
export type CallerStatement =
  | { readonly kind: "begin"; readonly readOnly: boolean }
  | { readonly kind: "commit"; readonly text: string }
  | { readonly kind: "rollback" }
  | { readonly kind: "read"; readonly text: string }
  | { readonly kind: "write"; readonly text: string }
  | { readonly kind: "set"; readonly name: string; readonly value: string }
  | {
    readonly kind: "prepare";
    readonly name: string;
    readonly shape: PreparedStatement;
  }
  | {
    readonly kind: "execute";
    readonly name: string;
    readonly arguments: string;
  }
  | { readonly kind: "deallocate"; readonly name: string }
  | { readonly kind: "malformed"; readonly reason: string };

/** A statement with its id. */
export interface CallerRequest {
  readonly id: string;
  readonly statement: CallerStatement;
  /** Monotonic ms at which the whole of it was read. */
  readonly receivedAt: number;
}

/** The connection of a caller. */
export interface CallerChannel {
  /** The next statement; undefined once the caller has gone. */
  next(): Promise<CallerRequest | undefined>;
  /** Passes on the whole answer of an instance. */
  answer(answer: Answer): void;
  /** Confirms a statement that the proxy answers by itself. */
  complete(state: TransactionState): void;
  /** Refuses a statement. */
  refuse(failure: Failure, state: TransactionState): void;
  /** Ends the connection once all that was written has left. */
  close(): void;
}
