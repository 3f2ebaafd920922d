/**
 * Turns a failure into the ErrorResponse that a caller sees.
 *
 * @module
 */
import type { Failure } from "../../kernel/result_codes.ts";
import { BackendType, createMessage, type Message } from "./message.ts";

/** Severity of an ErrorResponse; after FATAL the connection is closed. */
export type Severity = "ERROR" | "FATAL";

/** Makes the ErrorResponse of a failure; DETAIL begins with the result code's number and what is known of the statement's run. */
export function createFailureMessage(
  failure: Failure,
  severity: Severity,
): Message {
  const { code } = failure;
  const outcome = code.outcome[0]!.toUpperCase() + code.outcome.slice(1);
  const detail = failure.detail ? ` ${failure.detail}` : "";
  const fields = [
    `S${severity}`,
    `V${severity}`,
    `C${code.sqlState}`,
    `M${failure.message}`,
    `Dmarjoramshed code ${code.number} (${code.name}). ${outcome}.${detail}`,
  ];
  if (failure.hint) fields.push(`H${failure.hint}`);
  const body = Buffer.from(fields.join("\0") + "\0\0");
  return createMessage(BackendType.ERROR, body);
}
