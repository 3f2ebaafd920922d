/**
 * The outcome of a statement, and the failures that callers get.
 *
 * @module
 */
import {
  createFailure,
  type Failure,
  ResultCodes,
} from "../../kernel/result_codes.ts";
import type { Answer, Fault } from "../upstream/link.ts";

/** What the caller gets in reply to a statement. */
export type Outcome =
  | { readonly kind: "answered"; readonly answer: Answer }
  | { readonly kind: "refused"; readonly failure: Failure };

/** Faults that guarantee that no part of the statement has run. */
const NOT_RUN: ReadonlySet<Fault> = new Set([
  "busy",
  "lagging",
  "read-only",
  "misrouted",
  "unknown-statement",
]);

/** Whether a fault guarantees that no part of the statement has run. */
export function hasNotRun(fault: Fault): boolean {
  return NOT_RUN.has(fault);
}

/** Whether a statement was refused because too many are queued; an immediate retry would only prolong the caller's wait. */
export function isOverload({ code }: Failure): boolean {
  return code === ResultCodes.QUEUE_FULL || code === ResultCodes.QUEUE_DEADLINE;
}

/** Whether an attempt that was not sent is the last one: another would be refused for the same reason. */
export function isFinal(failure: Failure): boolean {
  return isOverload(failure) || failure.code === ResultCodes.MESSAGE_TOO_LARGE;
}

/** The outcome that forwards an answer unchanged. */
export function answered(answer: Answer): Outcome {
  return { kind: "answered", answer };
}

/** The outcome that reports a failure. */
export function refused(failure: Failure): Outcome {
  return { kind: "refused", failure };
}

/** Failure for a group whose primary is being replaced or is unknown; `expectedIn` is the expected time to the next primary in ms. */
export function noPrimary(
  group: string,
  expectedIn: number | undefined,
): Failure {
  const retryAfter = Math.round(expectedIn ?? DEFAULT_RETRY_MS);
  return createFailure(
    ResultCodes.PRIMARY_ABSENT,
    `${group} has no primary now; retry in ${retryAfter} ms`,
  );
}

/** Suggested retry delay when the time to the next primary is unknown. */
const DEFAULT_RETRY_MS = 1_000;

/** Failure for a read or a transaction that no instance could serve in time. */
export function noReadInstance(group: string, detail: string): Failure {
  return createFailure(
    ResultCodes.READ_UNAVAILABLE,
    `no instance of ${group} serves the read: ${detail}; retry in 100 ms`,
  );
}

/** Failure for a transaction that got no connection to an instance in time. */
export function noConnection(
  group: string,
  instance: string,
): Failure {
  return createFailure(
    ResultCodes.QUEUE_DEADLINE,
    `no connection of ${instance} for a transaction on ${group}; retry in 200 ms`,
  );
}

/** Failure for a write or a commit that was sent and not confirmed. */
export function outcomeUnknown(detail: string): Failure {
  return createFailure(ResultCodes.OUTCOME_UNKNOWN, detail);
}

/** Failure for a transaction that was lost before it could commit. */
export function transactionLost(detail: string): Failure {
  return createFailure(ResultCodes.TRANSACTION_LOST, detail);
}

/** Failure for a statement that is too long for a message to an instance. */
export function statementTooLong(): Failure {
  return createFailure(
    ResultCodes.MESSAGE_TOO_LARGE,
    "the statement is too long to be forwarded",
  );
}

/** Failure for a value or a prepared statement that a session can't hold in addition to its others. */
export function sessionTooLarge(): Failure {
  return createFailure(
    ResultCodes.SESSION_TOO_LARGE,
    "the values and prepared statements of this session are too large; deallocate some or connect again",
  );
}
