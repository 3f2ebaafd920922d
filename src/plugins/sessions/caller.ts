/**
 * The caller's side of a session, independent of the wire protocol.
 *
 * @module
 */
import type { Failure } from "../../kernel/result_codes.ts";
import type {
  Answer,
  PreparedStatement,
  TransactionState,
} from "../upstream/link.ts";

/** A parsed statement of a caller. */
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
  | { readonly kind: "malformed"; readonly reason: string }
  /** A statement that can't be forwarded because of its length. */
  | { readonly kind: "too long" };

/** A statement with its request id and time of receipt. */
export interface CallerRequest {
  readonly id: string;
  readonly statement: CallerStatement;
  /** Monotonic time in ms at which the statement was read completely. */
  readonly receivedAt: number;
}

/** A caller's connection: the source of its statements and the sink for their answers. */
export interface CallerChannel {
  /** Resolves to the next statement, or to undefined once the caller has disconnected. */
  next(): Promise<CallerRequest | undefined>;
  /** Takes the next statement if it has already been received. */
  takeReceived(): CallerRequest | undefined;
  /** Whether no complete or incomplete statement waits to be read. */
  readonly inputEmpty: boolean;
  /** Forwards the complete answer of an instance. */
  answer(answer: Answer): void;
  /** Reports success for a statement that the proxy handles locally. */
  complete(state: TransactionState): void;
  /** Sends a failure as the answer to a statement. */
  refuse(failure: Failure, state: TransactionState): void;
  /** Closes the connection after pending output has been flushed; statements that arrive later are ignored. */
  close(): void;
}
