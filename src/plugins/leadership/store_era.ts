/**
 * Versions of the store across its eras. A store that comes back from an older
 * copy begins a new era and gives out again the versions that the copy lacks, so
 * a version only orders rows together with its era. Both are kept in one number.
 *
 * @module
 */

/** Number of versions of one era: 400 transactions a second for five years. */
const VERSIONS_PER_ERA = 2 ** 36;

/** Highest era whose versions are exact as a number. */
export const MAX_ERA = 2 ** 17 - 1;

/** The version of an era that orders after all versions of earlier eras. */
export function joinEra(era: number, version: number): number {
  return era * VERSIONS_PER_ERA + version;
}

/** The era of a version; 0 if the store announces none. */
export function eraOf(version: number): number {
  return Math.floor(version / VERSIONS_PER_ERA);
}

/** The version as the store counts it, without its era. */
export function versionInEra(version: number): number {
  return version % VERSIONS_PER_ERA;
}
