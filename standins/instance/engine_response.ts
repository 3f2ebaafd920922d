/**
 * Reads the answers of the engine before they go to a caller: notices of the
 * capture and answers to messages that the caller did not send are taken out.
 *
 * @module
 */
import { SCHEMA_NOTICE, WRITE_NOTICE } from "./capture_schema.ts";
import { readFields, splitMessages } from "./wire.ts";

/** Transaction status of ReadyForQuery: idle, in a transaction, in a failed one. */
export type TransactionStatus = "I" | "T" | "E";

/** What the engine answered. */
export interface EngineResponse {
  /** What the caller gets. */
  readonly bytes: Buffer;
  /** Status of the last ReadyForQuery. */
  readonly status?: TransactionStatus;
  readonly failed: boolean;
  readonly wrote: boolean;
  readonly schemaChanged: boolean;
}

/** Answers to take out. */
export interface SuppressedMessages {
  /** For each Close in order, whether its CloseComplete is taken out. */
  readonly closeCompletes?: readonly boolean[];
  /** Whether ReadyForQuery is taken out. */
  readonly readyForQuery?: boolean;
}

/** Reads answers and takes out what the caller must not see. */
export function filterResponse(
  answer: Buffer,
  suppressed: SuppressedMessages = {},
): EngineResponse {
  const kept: Buffer[] = [];
  let status: TransactionStatus | undefined;
  let failed = false;
  let wrote = false;
  let schemaChanged = false;
  let closes = 0;
  for (const { type, bytes } of splitMessages(answer)) {
    if (type === "Z") status = String.fromCharCode(bytes[5]!) as "I";
    if (type === "Z" && suppressed.readyForQuery) continue;
    if (type === "E") failed = true;
    if (type === "3" && suppressed.closeCompletes?.[closes++]) continue;
    const notice = type === "N" ? readFields(bytes).get("C") : undefined;
    if (notice === WRITE_NOTICE) {
      wrote = true;
      continue;
    }
    if (notice === SCHEMA_NOTICE) {
      schemaChanged = true;
      continue;
    }
    kept.push(bytes);
  }
  const bytes = Buffer.concat(kept);
  return { bytes, status, failed, wrote, schemaChanged };
}
