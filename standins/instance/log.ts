/**
 * The log of an instance, in memory: one entry for each committed write
 * transaction and one for the start of each term.
 *
 * @module
 */
import type {
  LogHistory,
  TermStart,
} from "../../src/plugins/upstream/position.ts";
import type { Change } from "./capture.ts";

const MAX_WAIT_MS = 1_000;

/** A committed transaction, or the start of a term when it has no changes. */
export interface Entry {
  readonly term: number;
  /** Position behind the entry: the one before plus the byte count of the body. */
  readonly end: bigint;
  /** The encoded entry. */
  readonly body: string;
  /** When it was appended here, in ms of `performance.now()`. */
  readonly at: number;
}

/** The changes that an entry holds. */
export function changesOf(entry: Entry): readonly Change[] {
  return JSON.parse(entry.body).changes;
}

/** Entries in order, with the start of each term. */
export class Log {
  #entries: Entry[] = [];
  #termStarts: TermStart[] = [];
  readonly #waiters = new Set<() => void>();

  /** Position behind the last entry. */
  get end(): bigint {
    return this.#entries.at(-1)?.end ?? 0n;
  }

  /** The terms with their starts. */
  get history(): LogHistory {
    return {
      lastTerm: this.#termStarts.at(-1)?.term ?? 0,
      termStarts: this.#termStarts,
    };
  }

  /** Encodes changes as the next entry of a term. */
  write(term: number, changes: readonly Change[]): void {
    const body = JSON.stringify({ term, changes });
    this.append(term, body);
  }

  /** Appends an encoded entry. */
  append(term: number, body: string): void {
    if (term > this.history.lastTerm) {
      this.#termStarts = [...this.#termStarts, { term, lsn: this.end }];
    }
    const end = this.end + BigInt(Buffer.byteLength(body));
    this.#entries.push({ term, end, body, at: performance.now() });
    this.wake();
  }

  /** Drops all behind a position, which must be the end of an entry. */
  truncate(lsn: bigint): void {
    this.#entries = this.#entries.filter((entry) => entry.end <= lsn);
    this.#termStarts = this.#termStarts.filter((start) => start.lsn < lsn);
    this.wake();
  }

  /** Up to `limit` entries that start at or behind a position. */
  read(lsn: bigint, limit: number): readonly Entry[] {
    const index = this.#indexBehind(lsn);
    return this.#entries.slice(index, index + limit);
  }

  /** Resolves at the next change of the log, when it is woken, or after a time in ms. */
  changed(timeout = MAX_WAIT_MS): Promise<void> {
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

  /** Wakes all that wait for a change. */
  wake(): void {
    for (const waiter of [...this.#waiters]) waiter();
  }

  #indexBehind(lsn: bigint): number {
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

/** The longest common part of two logs, as a position. */
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
    const ends = own.termStarts[index + 1]?.lsn ?? ownEnd;
    const otherEnds = other.termStarts[index + 1]?.lsn ?? otherEnd;
    common = ends < otherEnds ? ends : otherEnds;
    if (ends !== otherEnds) break;
  }
  return common;
}

/** Writes term starts as `1:0,2:512`. */
export function formatTermStarts(starts: readonly TermStart[]): string {
  return starts.map(({ term, lsn }) => `${term}:${lsn}`).join(",");
}

/** Reads term starts from `1:0,2:512`. */
export function parseTermStarts(text: string): readonly TermStart[] {
  if (text === "") return [];
  return text.split(",").map((part) => {
    const [term, lsn] = part.split(":");
    return { term: Number(term), lsn: BigInt(lsn!) };
  });
}
