/**
 * Primary side of replication: streams the log as an unending result, with
 * heartbeats while there are no entries to send.
 *
 * @module
 */
import { containsPosition } from "../../src/plugins/upstream/position.ts";
import type { DatabaseInstance } from "./instance.ts";
import { formatTermStarts } from "./log.ts";
import {
  type Column,
  createDataRow,
  createRowDescription,
  SqlFailure,
} from "./wire.ts";

const HEARTBEAT_INTERVAL_MS = 50;
const BATCH = 200;

/** Row of the stream, which starts with the term history of the source and continues with entries and heartbeats. */
export interface LogRow {
  readonly kind: "history" | "entry" | "heartbeat";
  /** Term of the entry; for a history, the last term of the log; for a heartbeat, the current term. */
  readonly term: string;
  /** Log position at the end of the entry; for other rows, the end of the source's log. */
  readonly lsn: string;
  /** Encoded entry or, for a history, the term starts; empty for a heartbeat. */
  readonly body: string;
}

/** Request of a follower to stream the log. */
export interface StreamRequest {
  /** Log position at which the follower's log ends. */
  readonly from: bigint;
  /** Term of the last entry of the follower's log. */
  readonly lastTerm: number;
  /** Highest term that the follower has seen. */
  readonly seenTerm: number;
}

const COLUMNS: readonly Column[] = [
  { name: "kind", type: "text" },
  { name: "term", type: "int8" },
  { name: "lsn", type: "int8" },
  { name: "body", type: "text" },
];

/** Writes bytes to the follower; resolves when more may be written. */
export type Write = (bytes: Buffer) => Promise<void>;

/**
 * Streams the log until `write` fails or the instance is no longer primary of the
 * same term. Sends the term history before it refuses a diverged follower, which
 * needs the history to find the common prefix.
 */
export async function streamLog(
  instance: DatabaseInstance,
  request: StreamRequest,
  write: Write,
): Promise<never> {
  const { log } = instance;
  const term = instance.seenTerm;
  if (request.seenTerm > term) throw refusal(`term ${term} is not the newest`);
  checkPrimary(instance, term);
  const { history, end } = log;
  const { termStarts } = history;
  const starts = formatTermStarts(termStarts);
  await write(createRowDescription(COLUMNS));
  await write(createRow("history", history.lastTerm, end, starts));
  const held = { term: request.lastTerm, lsn: request.from };
  if (!containsPosition(history, end, held)) throw refusal("the logs diverge");
  let cursor = request.from;
  let heartbeatAt = performance.now();
  for (;;) {
    checkPrimary(instance, term);
    const entries = log.read(cursor, BATCH);
    if (entries.length > 0) {
      const rows = entries.map((entry) =>
        createRow("entry", entry.term, entry.end, entry.body)
      );
      cursor = entries.at(-1)!.end;
      await write(Buffer.concat(rows));
      continue;
    }
    const now = performance.now();
    if (now >= heartbeatAt) {
      heartbeatAt = now + HEARTBEAT_INTERVAL_MS;
      await write(createRow("heartbeat", term, log.end, ""));
      continue;
    }
    await log.waitForChange(heartbeatAt - now);
  }
}

function checkPrimary(instance: DatabaseInstance, term: number): void {
  if (instance.role === "primary" && instance.seenTerm === term) return;
  throw refusal(`this instance is not the primary of term ${term}`);
}

function createRow(
  kind: LogRow["kind"],
  term: number,
  lsn: bigint,
  body: string,
): Buffer {
  return createDataRow([kind, String(term), String(lsn), body]);
}

function refusal(message: string): SqlFailure {
  return new SqlFailure("55000", message);
}
