/**
 * Derives from a plan the entries of the host list and the network latencies.
 *
 * @module
 */
import type { Host } from "../../src/plugins/host_list/host_list.ts";
import type { Fault } from "../network/faults.ts";
import type { Latencies } from "./example.ts";
import { PLATFORM_ZONE, type StackPlan } from "./plan.ts";
import { formatEndpoint, type Routes } from "./routes.ts";

const CALLERS = { zone: "clients" };

/** Lists the instances and proxies of a plan as hosts in the state `live`. */
export function listHosts(plan: StackPlan, routes: Routes): readonly Host[] {
  const instances = plan.instances.map((one): Host => ({
    name: one.name,
    kind: "instance",
    zone: one.zone,
    endpoint: formatEndpoint(routes.resolve(one)),
    state: "live",
  }));
  const proxies = plan.proxies.map((one): Host => ({
    name: one.name,
    kind: "proxy",
    zone: one.zone,
    endpoint: formatEndpoint(routes.resolvePeers(one)),
    state: "live",
  }));
  return [...instances, ...proxies];
}

/** Lists the latencies of a deployment as faults; the platform counts as a separate zone. */
export function listLatencies(
  plan: StackPlan,
  latencies: Latencies,
): readonly Fault[] {
  const callers: Fault = {
    kind: "latency",
    between: [CALLERS, {}],
    ms: latencies.toCallersMs,
  };
  const zones = [...plan.zones, PLATFORM_ZONE].map((zone): Fault => ({
    kind: "latency",
    between: [{ zone }, { outside: zone }],
    ms: latencies.betweenZonesMs,
  }));
  return [callers, ...zones];
}
