/**
 * Describes a running stack for those that use it.
 *
 * @module
 */
import type { DatabaseDescription, StackDescription } from "./options.ts";
import { ENVIRONMENT } from "./example.ts";
import { type HostPlan, type InstancePlan, realEndpoint } from "./plan.ts";
import { formatEndpoint, type Routes } from "./routes.ts";
import type { Stack } from "./stack.ts";

/** Describes a stack as it is at present. */
export function describeStack(stack: Stack, routes: Routes): StackDescription {
  const { plan } = stack;
  const place = (host: HostPlan) => ({
    ...routes.of(host),
    pid: stack.process(host.name).ready.pid,
    real: realEndpoint(host),
  });
  const proxies = plan.proxies.map((proxy) => ({
    name: proxy.name,
    zone: proxy.zone,
    ...place(proxy),
    peers: formatEndpoint(routes.ofPeers(proxy)),
    metricsPort: Number(stack.process(proxy.name).ready["metricsPort"] ?? 0),
  }));
  const describeInstance = (one: InstancePlan) => ({
    name: one.name,
    zone: one.zone,
    role: one.role,
    ...place(one),
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
    tableService: place(plan.tableService),
    objectStore: place(plan.objectStore),
    hostList: place(plan.hostList),
    ...(networks.length > 0 ? { network: networks } : {}),
  };
}
