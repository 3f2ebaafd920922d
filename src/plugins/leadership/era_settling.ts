/**
 * When a proxy may rely on the rows of a new era of the store. A proxy that has
 * known the rows of the former era all the while knows what was lost. Any other
 * one waits until no change of primary can be in progress that only the former
 * era's rows showed.
 *
 * @module
 */
import type { Coordination } from "./coordination.ts";

/**
 * Time limit of a change before another proxy may take it over, in ms: the wait
 * for leases, then one promotion.
 */
export const CHANGE_TIMEOUT_MS = 9_000;

/** Whether the rows show all changes of primary that may be in progress. */
export function isEraSettled(
  coordination: Pick<Coordination, "eraSince" | "clock">,
): boolean {
  const { eraSince } = coordination;
  if (eraSince === undefined) return false;
  return eraSince === -Infinity ||
    coordination.clock() >= eraSince + CHANGE_TIMEOUT_MS;
}
