/**
 * Random permutation of a list.
 *
 * @module
 */

/** Returns a copy of the items in random order. */
export function shuffle<T>(items: readonly T[]): T[] {
  return items
    .map((item) => ({ item, order: Math.random() }))
    .sort((a, b) => a.order - b.order)
    .map(({ item }) => item);
}
