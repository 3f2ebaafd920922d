/**
 * Replicated log of an instance, held in memory: one entry for each committed
 * write transaction and one for the start of each term.
 *
 * @module
 */
import type {
  LogHistory,
  TermStart,
} from "../../src/plugins/upstream/position.ts";
import type { Change } from "./capture.ts";

const MAX_WAIT_MS = 1_000;

/** Entry of the log: a committed transaction or, without changes, the start of a term. */
export interface LogEntry {
  readonly term: number;
  /** Log position at the end of the entry: the end of the previous entry plus the bytes of the body. */
  readonly end: bigint;
  /** Term and changes, encoded as JSON. */
  readonly body: string;
  /** Time at which this instance appended the entry, in ms of `performance.now()`. */
  readonly appendedAt: number;
}

/** Parses the changes from the body of an entry. */
export function parseChanges(entry: LogEntry): readonly Change[] {
  return JSON.parse(entry.body).changes;
}

/** Entries in log order, and the start of each term. */
export class Log {
  #entries: LogEntry[] = [];
  #termStarts: TermStart[] = [];
  readonly #waiters = new Set<() => void>();

  /** Log position at the end of the last entry; 0 for an empty log. */
  get end(): bigint {
    return this.#entries.at(-1)?.end ?? 0n;
  }

  /** Term history of the log. */
  get history(): LogHistory {
    return {
      lastTerm: this.#termStarts.at(-1)?.term ?? 0,
      termStarts: this.#termStarts,
    };
  }

  /** Encodes the changes and appends them as the next entry of a term. */
  appendChanges(term: number, changes: readonly Change[]): void {
    const body = JSON.stringify({ term, changes });
    this.append(term, body);
  }

  /** Appends an encoded entry, which starts the term if the term is new. */
  append(term: number, body: string): void {
    if (term > this.history.lastTerm) {
      this.#termStarts = [...this.#termStarts, { term, lsn: this.end }];
    }
    const end = this.end + BigInt(Buffer.byteLength(body));
    this.#entries.push({ term, end, body, appendedAt: performance.now() });
    this.wake();
  }

  /** Removes all entries after a position, which must be the end of an entry. */
  truncate(lsn: bigint): void {
    this.#entries = this.#entries.filter((entry) => entry.end <= lsn);
    this.#termStarts = this.#termStarts.filter((start) => start.lsn < lsn);
    this.wake();
  }

  /** Reads up to `limit` entries that end after a position, in log order. */
  read(lsn: bigint, limit: number): readonly LogEntry[] {
    const index = this.#indexAfter(lsn);
    return this.#entries.slice(index, index + limit);
  }

  /** Resolves at the next change of the log, at a call of `wake`, or after `timeout` ms. */
  waitForChange(timeout = MAX_WAIT_MS): Promise<void> {
    return new Promise((resolve) => {
      const wake = () => {
        clearTimeout(timer);
        this.#waiters.delete(wake);
        resolve();
      };
      const timer = setTimeout(wake, timeout);
      this.#waiters.add(wake);
    });
  }

  /** Resolves all pending calls of `waitForChange`. */
  wake(): void {
    for (const waiter of [...this.#waiters]) waiter();
  }

  #indexAfter(lsn: bigint): number {
    let low = 0;
    let high = this.#entries.length;
    while (low < high) {
      const middle = (low + high) >> 1;
      if (this.#entries[middle]!.end <= lsn) low = middle + 1;
      else high = middle;
    }
    return low;
  }
}

/** Log position at which the longest common prefix of two logs ends; `ownEnd` and `otherEnd` are the ends of the logs. */
export function commonPosition(
  own: LogHistory,
  ownEnd: bigint,
  other: LogHistory,
  otherEnd: bigint,
): bigint {
  let common = 0n;
  for (const [index, start] of own.termStarts.entries()) {
    const match = other.termStarts[index];
    if (match?.term !== start.term || match.lsn !== start.lsn) break;
    const termEnd = own.termStarts[index + 1]?.lsn ?? ownEnd;
    const otherTermEnd = other.termStarts[index + 1]?.lsn ?? otherEnd;
    common = termEnd < otherTermEnd ? termEnd : otherTermEnd;
    if (termEnd !== otherTermEnd) break;
  }
  return common;
}

/** Formats term starts as `term:lsn` pairs, such as `1:0,2:512`. */
export function formatTermStarts(starts: readonly TermStart[]): string {
  return starts.map(({ term, lsn }) => `${term}:${lsn}`).join(",");
}

/** Parses term starts from `term:lsn` pairs, such as `1:0,2:512`. */
export function parseTermStarts(text: string): readonly TermStart[] {
  if (text === "") return [];
  return text.split(",").map((part) => {
    const [term, lsn] = part.split(":");
    return { term: Number(term), lsn: BigInt(lsn!) };
  });
}
