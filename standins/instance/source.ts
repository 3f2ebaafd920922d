/**
 * The primary's side of replication: rows of the log without end, with a
 * heartbeat while there is nothing to send.
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

/** A row of the stream: the source's history first, then entries and heartbeats. */
export interface LogRow {
  readonly kind: "history" | "entry" | "heartbeat";
  readonly term: string;
  /** Position behind the entry, else the end of the source's log. */
  readonly lsn: string;
  /** The encoded entry, or the term starts of a history. */
  readonly body: string;
}

/** What a follower holds. */
export interface StreamRequest {
  readonly from: bigint;
  readonly lastTerm: number;
  readonly seenTerm: number;
}

const COLUMNS: readonly Column[] = [
  { name: "kind", type: "text" },
  { name: "term", type: "int8" },
  { name: "lsn", type: "int8" },
  { name: "body", type: "text" },
];

/** Writes bytes to the follower and resolves when more may follow. */
export type Write = (bytes: Buffer) => Promise<void>;

/** Streams the log until the instance is no longer the primary or `write` fails. */
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
    await log.changed(heartbeatAt - now);
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
