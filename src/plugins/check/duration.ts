/**
 * Formats durations as the document writes them.
 *
 * @module
 */

const UNITS = [["h", 3_600_000], ["m", 60_000], ["s", 1_000]] as const;

/** Formats ms such as `250ms`, `2s`, `5m` or `24h`. */
export function formatDuration(ms: number): string {
  for (const [unit, length] of UNITS) {
    if (ms >= length && ms % length === 0) return `${ms / length}${unit}`;
  }
  return `${ms}ms`;
}
