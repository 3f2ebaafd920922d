/**
 * Filters the engine's response before it is sent to a caller. Removes the notices
 * raised by change capture and the responses to messages that the caller did not send.
 *
 * @module
 */
import { SCHEMA_NOTICE, WRITE_NOTICE } from "./capture_schema.ts";
import { createCommandComplete, readFields, splitMessages } from "./wire.ts";

const PLANS_DISCARDED = createCommandComplete("DISCARD PLANS");
const ALL_DEALLOCATED = createCommandComplete("DEALLOCATE ALL");

/** Transaction status of ReadyForQuery: idle, in a transaction, or in a failed transaction. */
export type TransactionStatus = "I" | "T" | "E";

/** Filtered response of the engine and what was learned from it. */
export interface EngineResponse {
  /** Messages to send to the caller. */
  readonly bytes: Buffer;
  /** Status of the last ReadyForQuery; undefined when there was none. */
  readonly status?: TransactionStatus;
  /** Whether the response contains an ErrorResponse. */
  readonly failed: boolean;
  /** Whether change capture reported a write. */
  readonly wrote: boolean;
  /** Whether change capture reported a schema change. */
  readonly schemaChanged: boolean;
}

/** Messages to remove from a response. */
export interface SuppressedMessages {
  /** For each Close in order, whether its CloseComplete is removed. */
  readonly closeCompletes?: readonly boolean[];
  /** Whether ReadyForQuery is removed. */
  readonly readyForQuery?: boolean;
}

/** Reads a response and removes the messages that the caller must not see. */
export function filterResponse(
  response: Buffer,
  suppressed: SuppressedMessages = {},
): EngineResponse {
  const kept: Buffer[] = [];
  let status: TransactionStatus | undefined;
  let failed = false;
  let wrote = false;
  let schemaChanged = false;
  let closeIndex = 0;
  for (const { type, bytes } of splitMessages(response)) {
    if (type === "Z") status = String.fromCharCode(bytes[5]!) as "I";
    if (type === "Z" && suppressed.readyForQuery) continue;
    if (type === "E") failed = true;
    if (type === "3" && suppressed.closeCompletes?.[closeIndex++]) continue;
    const noticeCode = type === "N" ? readFields(bytes).get("C") : undefined;
    if (noticeCode === WRITE_NOTICE) {
      wrote = true;
      continue;
    }
    if (noticeCode === SCHEMA_NOTICE) {
      schemaChanged = true;
      continue;
    }
    kept.push(bytes.equals(PLANS_DISCARDED) ? ALL_DEALLOCATED : bytes);
  }
  const bytes = Buffer.concat(kept);
  return { bytes, status, failed, wrote, schemaChanged };
}
