/**
 * How much a host can carry, in statements a second.
 *
 * @module
 */

/** Statements a second that one core of a host carries, from docs/work_plan.md. */
const STATEMENTS_PER_CORE = 2_500;

/** Statements a second that 1 Mbit/s of a host's link carries, from docs/work_plan.md: some 3 kB for each. */
const STATEMENTS_PER_MBIT = 41;

/** Weight of a host of which nothing is known, that of a host with one core. */
export const DEFAULT_WEIGHT = STATEMENTS_PER_CORE;

/** What a host has. */
export interface HostCapacity {
  /** Processor time a second, in cores. */
  readonly processor?: number | undefined;
  /** Rate of the link, in Mbit/s. */
  readonly link?: number | undefined;
}

/** The weight of a host: the lesser of what its processor and its link can carry. */
export function computeHostWeight(
  { processor, link }: HostCapacity,
): number {
  const byProcessor = processor === undefined
    ? DEFAULT_WEIGHT
    : STATEMENTS_PER_CORE * processor;
  const byLink = link === undefined ? Infinity : STATEMENTS_PER_MBIT * link;
  return Math.round(Math.min(byProcessor, byLink));
}
