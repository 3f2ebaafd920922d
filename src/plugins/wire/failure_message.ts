/**
 * Converts a failure to the ErrorResponse that a caller receives.
 *
 * @module
 */
import type { Failure } from "../../kernel/result_codes.ts";
import { BackendType, createMessage, type Message } from "./message.ts";

/** Severity of an ErrorResponse; after FATAL the connection is closed. */
export type Severity = "ERROR" | "FATAL";

/** Creates the ErrorResponse for a failure; DETAIL starts with the result code's number, its name and the statement's outcome. */
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
