/**
 * Plans a stack: assigns every process its name, zone, address and port before
 * any process starts.
 *
 * @module
 */
import type { Link, Source } from "../network/network.ts";
import type { AddressSpace, Endpoint } from "./address_space.ts";
import { findFreePort } from "./address_space.ts";
import { ENVIRONMENT, type Example } from "./example.ts";
import type { StackOptions } from "./options.ts";

const DEFAULT_PROXIES = 4;
/** Zone of the platform services. */
export const PLATFORM_ZONE = "platform";
const PLATFORM_SUBNET = 5;
const FIRST_ZONE_SUBNET = 10;
const FIRST_NETWORK_SUBNET = 100;

/** A planned process. */
export interface HostPlan {
  readonly name: string;
  readonly zone: string;
  readonly address: string;
  readonly port: number;
}

/** A planned proxy. */
export interface ProxyPlan extends HostPlan {
  readonly peerPort: number;
}

/** A planned instance. */
export interface InstancePlan extends HostPlan {
  readonly database: string;
  readonly connections: number;
  readonly role: "primary" | "replica";
}

/** A planned network simulator, which forwards to the targets in one zone. */
export interface NetworkPlan extends HostPlan {
  readonly links: readonly Link[];
}

/** All planned processes of a stack. */
export interface StackPlan {
  readonly zones: readonly string[];
  readonly tableService: HostPlan;
  readonly objectStore: HostPlan;
  readonly hostList: HostPlan;
  readonly instances: readonly InstancePlan[];
  readonly proxies: readonly ProxyPlan[];
  readonly networks: readonly NetworkPlan[];
  /** Rules by which the network identifies the source of a connection. */
  readonly sources: readonly Source[];
}

/** Creates the plan of a stack with addresses from an address space. */
export async function createPlan(
  example: Example,
  options: StackOptions,
  space: AddressSpace,
): Promise<StackPlan> {
  const { zones } = example.document.environments[ENVIRONMENT]!;
  const subnetOf = (zone: string) => FIRST_ZONE_SUBNET + zones.indexOf(zone);
  const platform = (name: string) =>
    planHost(name, PLATFORM_ZONE, space.allocateAddress(PLATFORM_SUBNET));
  const tableService = await platform("table-service");
  const objectStore = await platform("object-store");
  const hostList = await platform("host-list");
  const instances: InstancePlan[] = [];
  for (const one of listInstances(example, options)) {
    const host = await planHost(
      one.name,
      one.zone,
      space.allocateAddress(subnetOf(one.zone)),
    );
    instances.push({ ...one, ...host });
  }
  const proxies: ProxyPlan[] = [];
  for (const one of listProxies(example, options)) {
    const address = space.allocateAddress(subnetOf(one.zone));
    const host = await planHost(one.name, one.zone, address);
    proxies.push({ ...host, peerPort: await findFreePort(address) });
  }
  const all = [tableService, objectStore, hostList, ...instances, ...proxies];
  const sources = all.map(({ name, zone, address }) => ({
    ip: address,
    name,
    zone,
  }));
  const base = { zones, tableService, objectStore, hostList };
  const networks = options.network
    ? await planNetworks([...zones, PLATFORM_ZONE], all, proxies, space)
    : [];
  return { ...base, instances, proxies, sources, networks };
}

/** Id of the network link to a host; proxies have a second link for peers. */
export function linkId(name: string, service: "main" | "peers"): string {
  return service === "main" ? name : `${name}/peers`;
}

/** A host's own endpoint, which bypasses the network. */
export function realEndpoint(host: HostPlan): Endpoint {
  return { host: host.address, port: host.port };
}

async function planHost(
  name: string,
  zone: string,
  address: string,
): Promise<HostPlan> {
  return { name, zone, address, port: await findFreePort(address) };
}

async function planNetworks(
  zones: readonly string[],
  hosts: readonly HostPlan[],
  proxies: readonly ProxyPlan[],
  space: AddressSpace,
): Promise<readonly NetworkPlan[]> {
  const plans: NetworkPlan[] = [];
  for (const [index, zone] of zones.entries()) {
    const address = space.allocateAddress(FIRST_NETWORK_SUBNET + index);
    const inZone = (host: HostPlan) => host.zone === zone;
    const links = [
      ...hosts.filter(inZone).map((host) =>
        planLink(host, host.port, "main", address)
      ),
      ...proxies.filter(inZone).map((host) =>
        planLink(host, host.peerPort, "peers", address)
      ),
    ];
    const host = await planHost(`network-${zone}`, zone, address);
    plans.push({ ...host, links });
  }
  return plans;
}

function planLink(
  host: HostPlan,
  targetPort: number,
  service: "main" | "peers",
  listenHost: string,
): Link {
  return {
    id: linkId(host.name, service),
    name: host.name,
    zone: host.zone,
    listenHost,
    listenPort: 0,
    targetHost: host.address,
    targetPort,
  };
}

type ExampleInstance = Omit<InstancePlan, "address" | "port">;

function listInstances(
  example: Example,
  options: StackOptions,
): readonly ExampleInstance[] {
  const { groups } = example.document.environments[ENVIRONMENT]!;
  return groups.flatMap((group, index) => {
    if (options.databases && !options.databases.includes(group.database)) {
      return [];
    }
    // Spreads the initial primaries over the zones, so that no zone takes all writes.
    const primary = index % group.instances.length;
    return group.instances.map((instance, place): ExampleInstance => ({
      name: instance.name,
      zone: instance.zone,
      database: group.database,
      connections: group.connectionsPerInstance,
      role: place === primary ? "primary" : "replica",
    }));
  });
}

function listProxies(
  example: Example,
  options: StackOptions,
): readonly { readonly name: string; readonly zone: string }[] {
  const { proxies, zones } = example.document.environments[ENVIRONMENT]!;
  const count = options.proxies ?? DEFAULT_PROXIES;
  return Array.from({ length: count }, (_, index) =>
    proxies[index] ?? {
      name: `entry-${index + 1}`,
      zone: zones[index % zones.length]!,
    });
}
