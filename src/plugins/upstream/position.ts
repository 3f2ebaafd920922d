/**
 * Positions in the log of a database group: a pair of term and log position.
 *
 * @module
 */

/** A place in a group's log; log positions are byte counts of the log, as `bigint`. */
export interface Position {
  readonly term: number;
  readonly lsn: bigint;
}

/** The first log position of a term. */
export interface TermStart {
  readonly term: number;
  readonly lsn: bigint;
}

/** The part of a log's history that decides whether it contains a position. */
export interface LogHistory {
  /** Term of the last entry of the log. */
  readonly lastTerm: number;
  /** Start positions of the terms that the log knows, in ascending order. */
  readonly termStarts: readonly TermStart[];
}

/** The position before all others. */
export const ZERO_POSITION: Position = Object.freeze({ term: 0, lsn: 0n });

/** Orders positions: first by term, then by log position. */
export function comparePositions(a: Position, b: Position): number {
  if (a.term !== b.term) return a.term - b.term;
  if (a.lsn === b.lsn) return 0;
  return a.lsn < b.lsn ? -1 : 1;
}

/** The later of two positions. */
export function laterPosition(a: Position, b: Position): Position {
  return comparePositions(a, b) >= 0 ? a : b;
}

/**
 * Whether a log with this history, present up to `lsn`, contains a position:
 * in the same term at least that far, or in a later term that started at or after it.
 * A history without the position's term belongs to a log that never held it.
 */
export function containsPosition(
  history: LogHistory,
  lsn: bigint,
  position: Position,
): boolean {
  if (position.lsn === 0n) return true;
  if (lsn < position.lsn || history.lastTerm < position.term) return false;
  if (!history.termStarts.some((start) => start.term === position.term)) {
    return false;
  }
  const next = history.termStarts.find((start) => start.term > position.term);
  return next === undefined || next.lsn >= position.lsn;
}

/** Writes a position as `term/lsn`, both decimal. */
export function formatPosition(position: Position): string {
  return `${position.term}/${position.lsn}`;
}

const POSITION_PATTERN = /^(\d{1,10})\/(\d{1,20})$/;

/** Reads a position from `term/lsn`; undefined for any other text. */
export function parsePosition(text: string): Position | undefined {
  const match = POSITION_PATTERN.exec(text.trim());
  if (!match) return undefined;
  return { term: Number(match[1]), lsn: BigInt(match[2]!) };
}
