/**
 * Which instances may serve a read, and which of them is the best.
 *
 * @module
 */
import type { Connections } from "../connections/connections.ts";
import type { GroupView, Health, InstanceView } from "../health/health.ts";
import type { Position } from "../upstream/position.ts";
import type { ReadRequest } from "./routing.ts";

/** Outstanding statements that outweigh another availability zone. */
const ZONE_PENALTY = 4;

/** Usable replicas whose data is young enough for the read. */
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

/** Those that have applied the position. */
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

/** The instance of least cost: outstanding work, and a penalty for another availability zone. */
export function lowestCost(
  instances: readonly InstanceView[],
  connections: Connections,
  database: string,
  zone: string,
): InstanceView | undefined {
  let best: InstanceView | undefined;
  let bestCost = Infinity;
  for (const item of instances) {
    const { name, zone: place } = item.instance;
    const penalty = place === zone ? 0 : ZONE_PENALTY;
    const cost = connections.outstanding(database, name) + penalty;
    if (cost >= bestCost) continue;
    best = item;
    bestCost = cost;
  }
  return best;
}
