/**
 * Makes the subject of the rules from a route table.
 *
 * @module
 */
import type { GroupSettings, Route, RouteTable } from "../deployment/routes.ts";
import { MAX_SAMPLE_AGE_MS } from "../freshness/primary_samples.ts";
import { formatDuration } from "./duration.ts";
import type { CheckedGroup, CheckedRoute, Limit, Subject } from "./rule.ts";

/**
 * Age of a position of the primary when it arrives, in ms: a round trip between
 * two regions of 12 ms each way (docs/work_plan.md). A read that accepts less
 * has to ask the primary itself.
 */
const POSITION_AGE_MS = 24;

/** Creates the subject; `hosts` is the number of proxies, undefined if it is not known. */
export function tableSubject(
  table: RouteTable,
  hosts: number | undefined,
): Subject {
  const routes = [...table.routes.values()];
  const reached = new Set(routes.map(({ group }) => group));
  const timeoutOf = (name: string, value: number): Limit => ({
    name,
    place: [name],
    value,
  });
  return {
    hosts,
    sharing: { kind: "forwarded" },
    lag: POSITION_AGE_MS,
    accounts: (table.accounts?.all() ?? []).map(({ name, limit }) => ({
      name,
      place: ["accounts", name],
      limit,
      limitPlace: ["accounts", name, "quota"],
      absent: [],
    })),
    accountFindings: table.accounts?.findings ?? [],
    routes: routes.map(describeRoute),
    groups: [...table.groups.values()].map((group) =>
      describeGroup(group, reached)
    ),
    emptyZones: [],
    timeouts: [
      timeoutOf("transactionIdleTimeout", table.transactionIdleTimeout),
      timeoutOf("startupTimeout", table.startupTimeout),
    ],
    unused: table.unused ?? [],
  };
}

function describeRoute(route: Route): CheckedRoute {
  const { database, group, consistency } = route;
  const place = ["routes", database];
  const limitOf = (name: string, value: number): Limit => ({
    name,
    place: [...place, name],
    value,
  });
  const age = limitOf("maxAge", route.maxAge);
  const usesReplicas = consistency !== "primary";
  const reason = unusedReason(route);
  return {
    database,
    group,
    place,
    deadline: limitOf("statementTimeout", route.statementTimeout),
    targetLatency: limitOf("targetLatency", route.targetLatency),
    ages: usesReplicas ? [age] : [],
    unusedAges: reason ? [{ limit: age, reason }] : [],
    kinds: [],
  };
}

function unusedReason({ consistency, maxAge }: Route): string | undefined {
  if (consistency === "primary" && maxAge > 0) {
    return "its reads go to the primary";
  }
  if (maxAge <= MAX_SAMPLE_AGE_MS) return undefined;
  const retention = formatDuration(MAX_SAMPLE_AGE_MS);
  return `positions of the primary are kept for ${retention}, so reads are never older`;
}

function describeGroup(
  { name, connectionsPerInstance }: GroupSettings,
  reached: ReadonlySet<string>,
): CheckedGroup {
  const place = ["groups", name];
  return {
    name,
    place,
    isReached: reached.has(name),
    connections: {
      name: "connectionsPerInstance",
      place: [...place, "connectionsPerInstance"],
      value: connectionsPerInstance,
    },
    instances: [],
  };
}
