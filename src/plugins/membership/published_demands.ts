/**
 * The form in which a proxy tells its demands: rounded, so that small changes
 * cause no traffic.
 *
 * @module
 */
import type { Demand } from "./membership.ts";

const SMALLEST_STEP = 0.5;
/** Steps between a power of two and the next. */
const STEPS_PER_DOUBLING = 4;

/** Rounds demands up to steps and drops those of nothing. */
export function smoothDemands(demands: readonly Demand[]): readonly Demand[] {
  return demands
    .map((demand) => ({
      ...demand,
      wanted: roundUp(demand.wanted),
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

function roundUp(wanted: number): number {
  if (wanted <= 0) return 0;
  const scale = 2 ** Math.floor(Math.log2(wanted));
  const step = Math.max(SMALLEST_STEP, scale / STEPS_PER_DOUBLING);
  return Math.ceil(wanted / step) * step;
}

function keyOf(demand: Demand): string {
  return `${demand.database}/${demand.instance}`;
}
