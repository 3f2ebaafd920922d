/**
 * Selects the instances that may serve a read, and the one with the lowest cost.
 *
 * @module
 */
import type { Connections } from "../connections/connections.ts";
import type { GroupView, Health, InstanceView } from "../health/health.ts";
import type { Position } from "../upstream/position.ts";
import type { ReadRequest } from "./routing.ts";

/** Cost of another availability zone, as a number of outstanding statements. */
const ZONE_PENALTY_STATEMENTS = 4;

/** Usable replicas whose data is recent enough for the read. */
export function eligibleReplicas(
  view: GroupView,
  health: Health,
  request: ReadRequest,
): readonly InstanceView[] {
  return view.instances.filter((item) =>
    item.usable && !item.leaving && !item.slow &&
    item.instance.name !== view.primary &&
    !request.excluded.has(item.instance.name) &&
    health.age(request.database, item.instance.name) <= request.maxAge
  );
}

/** The instances that have applied a position. */
export function caughtUp(
  instances: readonly InstanceView[],
  health: Health,
  database: string,
  position: Position,
): readonly InstanceView[] {
  return instances.filter((item) =>
    health.hasApplied(database, item.instance.name, position)
  );
}

/** The instance with the lowest cost: outstanding statements plus a penalty for another availability zone. */
export function lowestCost(
  instances: readonly InstanceView[],
  connections: Connections,
  database: string,
  zone: string,
): InstanceView | undefined {
  let best: InstanceView | undefined;
  let bestCost = Infinity;
  for (const item of instances) {
    const { name, zone: instanceZone } = item.instance;
    const penalty = instanceZone === zone ? 0 : ZONE_PENALTY_STATEMENTS;
    const cost = connections.outstanding(database, name) + penalty;
    if (cost >= bestCost) continue;
    best = item;
    bestCost = cost;
  }
  return best;
}
