/**
 * Selects the gossip partners of a member: the members that it probes and
 * exchanges updates with. Each partner is the member's successor on one of
 * several hash rings, so that every member is the partner of about as many
 * members as it has partners, regardless of the number of members.
 *
 * @module
 */
import { createHash } from "node:crypto";

/** Maximum number of partners of a member. */
export const PARTNERS_LIMIT = 12;

/** Names of the partners of the member `ownName` among `others`. */
export function choosePartners(
  ownName: string,
  others: readonly string[],
): readonly string[] {
  if (others.length <= PARTNERS_LIMIT) return others;
  const partners = new Set<string>();
  for (let ring = 0; ring < PARTNERS_LIMIT; ring += 1) {
    partners.add(successor(ring, ownName, others));
  }
  return [...partners];
}

function successor(
  ring: number,
  ownName: string,
  others: readonly string[],
): string {
  const ownPosition = ringPosition(ring, ownName);
  let nearest = others[0]!;
  let shortestDistance = Infinity;
  for (const other of others) {
    const distance = (ringPosition(ring, other) - ownPosition + 2 ** 32) %
      2 ** 32;
    if (distance >= shortestDistance) continue;
    nearest = other;
    shortestDistance = distance;
  }
  return nearest;
}

function ringPosition(ring: number, name: string): number {
  return createHash("sha1").update(`${ring}:${name}`).digest().readUInt32BE(0);
}
