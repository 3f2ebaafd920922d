/**
 * Demands as published to peers: rounded, so that small changes cause no
 * traffic.
 *
 * @module
 */
import type { Demand } from "./membership.ts";

const MIN_STEP_CONNECTIONS = 0.5;
/** Rounding steps between consecutive powers of two. */
const STEPS_PER_DOUBLING = 4;

/** Rounds demands up to the next step and removes demands of zero. */
export function roundDemands(demands: readonly Demand[]): readonly Demand[] {
  return demands
    .map((demand) => ({
      ...demand,
      wanted: roundUp(demand.wanted),
    }))
    .filter((demand) => demand.wanted > 0);
}

/** Whether two lists contain the same demands, in any order. */
export function sameDemands(
  left: readonly Demand[],
  right: readonly Demand[],
): boolean {
  if (left.length !== right.length) return false;
  const wantedByKey = new Map(
    right.map((demand) => [keyOf(demand), demand.wanted]),
  );
  return left.every((demand) =>
    wantedByKey.get(keyOf(demand)) === demand.wanted
  );
}

function roundUp(connections: number): number {
  if (connections <= 0) return 0;
  const scale = 2 ** Math.floor(Math.log2(connections));
  const step = Math.max(MIN_STEP_CONNECTIONS, scale / STEPS_PER_DOUBLING);
  return Math.ceil(connections / step) * step;
}

function keyOf(demand: Demand): string {
  return `${demand.database}/${demand.instance}`;
}
