/**
 * Rendezvous hashing: an order of hosts for each key on which all hosts agree,
 * and which changes little when a host comes or goes.
 *
 * @module
 */

const FNV_OFFSET = 0x811c9dc5;
const FNV_PRIME = 0x01000193;

/** Hashes a text to 32 bits (FNV-1a with the final mix of MurmurHash3, which FNV-1a lacks for similar short texts). */
export function hashText(text: string): number {
  let hash = FNV_OFFSET;
  for (let index = 0; index < text.length; index += 1) {
    hash = Math.imul(hash ^ text.charCodeAt(index), FNV_PRIME);
  }
  hash = Math.imul(hash ^ (hash >>> 16), 0x85ebca6b);
  hash = Math.imul(hash ^ (hash >>> 13), 0xc2b2ae35);
  return (hash ^ (hash >>> 16)) >>> 0;
}

/** Sorts names for a key; the first is the one that the key belongs to. */
export function orderNames(
  key: string,
  names: Iterable<string>,
): readonly string[] {
  return [...names]
    .map((name) => ({ name, score: hashText(`${key}\n${name}`) }))
    .sort((left, right) =>
      right.score - left.score || (left.name < right.name ? -1 : 1)
    )
    .map(({ name }) => name);
}
