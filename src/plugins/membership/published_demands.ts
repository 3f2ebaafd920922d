/**
 * The form in which a proxy tells its demands: rounded, so that small changes
 * cause no traffic.
 *
 * @module
 */
import type { Demand } from "./membership.ts";

const ROUNDING_STEP = 0.5;

/** Rounds demands up to steps and drops those of nothing. */
export function smoothDemands(demands: readonly Demand[]): readonly Demand[] {
  return demands
    .map((demand) => ({
      ...demand,
      wanted: Math.ceil(demand.wanted / ROUNDING_STEP) * ROUNDING_STEP,
    }))
    .filter((demand) => demand.wanted > 0);
}

/** Whether two lists say the same. */
export function sameDemands(
  left: readonly Demand[],
  right: readonly Demand[],
): boolean {
  if (left.length !== right.length) return false;
  const wanted = new Map(right.map((item) => [keyOf(item), item.wanted]));
  return left.every((item) => wanted.get(keyOf(item)) === item.wanted);
}

function keyOf(demand: Demand): string {
  return `${demand.database}/${demand.instance}`;
}
