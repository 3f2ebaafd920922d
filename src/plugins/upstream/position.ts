/**
 * Positions in the log of a database group: pairs of a term and a log position.
 *
 * @module
 */

/** A position in a group's log; `lsn` counts the bytes of the log up to it. */
export interface Position {
  readonly term: number;
  readonly lsn: bigint;
}

/** Log position at which a term starts. */
export interface TermStart {
  readonly term: number;
  readonly lsn: bigint;
}

/** Term history of a log, which determines whether the log contains a position. */
export interface LogHistory {
  /** Term of the last entry of the log. */
  readonly lastTerm: number;
  /** Starts of the terms in the log, in ascending order. */
  readonly termStarts: readonly TermStart[];
}

/** The lowest position, which every log contains. */
export const ZERO_POSITION: Position = Object.freeze({ term: 0, lsn: 0n });

/** Comparator of positions: by term, then by log position. */
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
 * Whether a log with this history, which ends at `lsn`, contains a position: the log must reach
 * the position, and the next term in its history must not start before it. A log whose history
 * lacks the position's term never contained the position.
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

/** Formats a position as `term/lsn`, both in decimal. */
export function formatPosition(position: Position): string {
  return `${position.term}/${position.lsn}`;
}

const POSITION_PATTERN = /^(\d{1,10})\/(\d{1,20})$/;

/** Parses a position from `term/lsn`; undefined for any other text. */
export function parsePosition(text: string): Position | undefined {
  const match = POSITION_PATTERN.exec(text.trim());
  if (!match) return undefined;
  return { term: Number(match[1]), lsn: BigInt(match[2]!) };
}
