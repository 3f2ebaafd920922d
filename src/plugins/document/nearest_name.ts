/**
 * Suggests the known name that a misspelled name most likely means.
 *
 * @module
 */

const MAX_EDIT_DISTANCE = 3;

/** Known names that are compared; a document may have thousands of names and of mistakes. */
const MAX_CANDIDATES = 1_000;

/** Returns the known name with the smallest edit distance; undefined when none is close enough. */
export function nearestName(
  name: string,
  known: readonly string[],
): string | undefined {
  const maxDistance = Math.min(MAX_EDIT_DISTANCE, Math.ceil(name.length / 2));
  const ranked = known
    .slice(0, MAX_CANDIDATES)
    .filter((candidate) =>
      Math.abs(candidate.length - name.length) <= maxDistance
    )
    .map((candidate) => ({
      candidate,
      distance: editDistance(name, candidate),
    }))
    .filter((item) => item.distance <= maxDistance)
    .sort((a, b) => a.distance - b.distance);
  return ranked[0]?.candidate;
}

/** Case-insensitive Levenshtein distance. */
function editDistance(left: string, right: string): number {
  const a = left.toLowerCase();
  const b = right.toLowerCase();
  let row = Array.from({ length: b.length + 1 }, (_, index) => index);
  for (let i = 1; i <= a.length; i += 1) {
    const next = [i];
    for (let j = 1; j <= b.length; j += 1) {
      const substitution = row[j - 1]! + (a[i - 1] === b[j - 1] ? 0 : 1);
      next.push(Math.min(row[j]! + 1, next[j - 1]! + 1, substitution));
    }
    row = next;
  }
  return row[b.length]!;
}
