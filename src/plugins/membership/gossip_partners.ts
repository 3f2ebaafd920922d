/**
 * Chooses the members that this one probes and swaps news with. Each partner is
 * the successor on one of several rings ordered by hash, so that every member
 * is the partner of as many as it has partners, whatever the size.
 *
 * @module
 */
import { createHash } from "node:crypto";

/** Most partners of a member. */
export const PARTNERS_LIMIT = 12;

/** Names of the partners of `own` among the others. */
export function choosePartners(
  own: string,
  others: readonly string[],
): readonly string[] {
  if (others.length <= PARTNERS_LIMIT) return others;
  const partners = new Set<string>();
  for (let ring = 0; ring < PARTNERS_LIMIT; ring += 1) {
    partners.add(successor(ring, own, others));
  }
  return [...partners];
}

function successor(
  ring: number,
  own: string,
  others: readonly string[],
): string {
  const place = placeOn(ring, own);
  let next = others[0]!;
  let shortest = Infinity;
  for (const other of others) {
    const distance = (placeOn(ring, other) - place + 2 ** 32) % 2 ** 32;
    if (distance >= shortest) continue;
    next = other;
    shortest = distance;
  }
  return next;
}

function placeOn(ring: number, name: string): number {
  return createHash("sha1").update(`${ring}:${name}`).digest().readUInt32BE(0);
}
