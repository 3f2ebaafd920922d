/**
 * How a statement ended, and which failures are told for what happened.
 *
 * @module
 */
import {
  createFailure,
  type Failure,
  ResultCodes,
} from "../../kernel/result_codes.ts";
import type { Answer, Fault } from "../upstream/link.ts";

/** What the caller is to be told. */
export type Outcome =
  | { readonly kind: "answered"; readonly answer: Answer }
  | { readonly kind: "refused"; readonly failure: Failure };

/** Faults with which nothing of the statement has run. */
const NOT_RUN: ReadonlySet<Fault> = new Set([
  "busy",
  "lagging",
  "read-only",
  "misrouted",
  "unknown-statement",
]);

/** Whether nothing of a statement that ended with this fault has run. */
export function hasNotRun(fault: Fault): boolean {
  return NOT_RUN.has(fault);
}

/** Whether a statement was refused because too many wait; to ask again at once would only keep its caller waiting. */
export function isOverload({ code }: Failure): boolean {
  return code === ResultCodes.QUEUE_FULL || code === ResultCodes.QUEUE_DEADLINE;
}

/** An answer as it came. */
export function answered(answer: Answer): Outcome {
  return { kind: "answered", answer };
}

/** A refusal. */
export function refused(failure: Failure): Outcome {
  return { kind: "refused", failure };
}

/** The failure of a group whose primary is being replaced or not known. */
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

/** When to come back while nothing tells when there will be a primary, in ms. */
const DEFAULT_RETRY_MS = 1_000;

/** The failure of a read that no instance could serve in time. */
export function noReadInstance(group: string, detail: string): Failure {
  return createFailure(
    ResultCodes.READ_UNAVAILABLE,
    `no instance of ${group} serves the read: ${detail}; retry in 100 ms`,
  );
}

/** The failure of a transaction for which an instance had no connection in time. */
export function noConnection(
  group: string,
  instance: string,
): Failure {
  return createFailure(
    ResultCodes.QUEUE_DEADLINE,
    `no connection of ${instance} for a transaction on ${group}; retry in 200 ms`,
  );
}

/** The failure of a write that was sent and not confirmed. */
export function outcomeUnknown(detail: string): Failure {
  return createFailure(ResultCodes.OUTCOME_UNKNOWN, detail);
}

/** The failure of a transaction that was lost before its commit was sent. */
export function transactionLost(detail: string): Failure {
  return createFailure(ResultCodes.TRANSACTION_LOST, detail);
}
