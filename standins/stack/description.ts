/**
 * Creates the description of a running stack that callers and tools connect with.
 *
 * @module
 */
import type { DatabaseDescription, StackDescription } from "./options.ts";
import { ENVIRONMENT } from "./example.ts";
import { type HostPlan, type InstancePlan, realEndpoint } from "./plan.ts";
import { formatEndpoint, type Routes } from "./routes.ts";
import type { Stack } from "./stack.ts";

/** Describes the current processes and endpoints of a stack. */
export function describeStack(stack: Stack, routes: Routes): StackDescription {
  const { plan } = stack;
  const describeEndpoint = (host: HostPlan) => ({
    ...routes.resolve(host),
    pid: stack.process(host.name).ready.pid,
    real: realEndpoint(host),
  });
  const proxies = plan.proxies.map((proxy) => ({
    name: proxy.name,
    zone: proxy.zone,
    ...describeEndpoint(proxy),
    peers: formatEndpoint(routes.resolvePeers(proxy)),
    metricsPort: Number(stack.process(proxy.name).ready["metricsPort"] ?? 0),
  }));
  const describeInstance = (one: InstancePlan) => ({
    name: one.name,
    zone: one.zone,
    role: one.role,
    ...describeEndpoint(one),
  });
  const names = [...new Set(plan.instances.map((one) => one.database))];
  const databases = names.map((name): DatabaseDescription => ({
    name,
    instances: plan.instances
      .filter((one) => one.database === name)
      .map(describeInstance),
  }));
  const networks = plan.networks.map((network) => ({
    ...realEndpoint(network),
    pid: stack.process(network.name).ready.pid,
    zone: network.zone,
  }));
  return {
    user: stack.example.document.accounts[0]!.name,
    password: stack.password,
    environment: ENVIRONMENT,
    peerKey: stack.peerKey,
    proxies,
    databases,
    tableService: describeEndpoint(plan.tableService),
    objectStore: describeEndpoint(plan.objectStore),
    hostList: describeEndpoint(plan.hostList),
    ...(networks.length > 0 ? { network: networks } : {}),
  };
}
