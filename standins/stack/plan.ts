/**
 * The plan of a stack: every process with its name, zone, address and port,
 * before any of them runs.
 *
 * @module
 */
import type { Link, Source } from "../network/network.ts";
import type { AddressSpace, Endpoint } from "./address_space.ts";
import { findFreePort } from "./address_space.ts";
import { ENVIRONMENT, type Example } from "./example.ts";
import type { StackOptions } from "./options.ts";

const DEFAULT_PROXIES = 4;
/** Zone of the platform's processes. */
export const PLATFORM_ZONE = "platform";
const PLATFORM_PART = 5;
const FIRST_ZONE_PART = 10;
const FIRST_NETWORK_PART = 100;

/** A process of the plan. */
export interface HostPlan {
  readonly name: string;
  readonly zone: string;
  readonly address: string;
  readonly port: number;
}

/** A proxy of the plan. */
export interface ProxyPlan extends HostPlan {
  readonly peerPort: number;
}

/** An instance of the plan. */
export interface InstancePlan extends HostPlan {
  readonly database: string;
  readonly connections: number;
  readonly role: "primary" | "replica";
}

/** The network's process for the targets of one zone. */
export interface NetworkPlan extends HostPlan {
  readonly links: readonly Link[];
}

/** All processes of a stack. */
export interface StackPlan {
  readonly zones: readonly string[];
  readonly tableService: HostPlan;
  readonly objectStore: HostPlan;
  readonly hostList: HostPlan;
  readonly instances: readonly InstancePlan[];
  readonly proxies: readonly ProxyPlan[];
  readonly networks: readonly NetworkPlan[];
  /** Rules by which the network knows a source. */
  readonly sources: readonly Source[];
}

/** Plans a stack in an address space. */
export async function createPlan(
  example: Example,
  options: StackOptions,
  space: AddressSpace,
): Promise<StackPlan> {
  const { zones } = example.document.environments[ENVIRONMENT]!;
  const partOf = (zone: string) => FIRST_ZONE_PART + zones.indexOf(zone);
  const platform = (name: string) =>
    planHost(name, PLATFORM_ZONE, space.allocateAddress(PLATFORM_PART));
  const tableService = await platform("table-service");
  const objectStore = await platform("object-store");
  const hostList = await platform("host-list");
  const instances: InstancePlan[] = [];
  for (const one of listInstances(example, options)) {
    const host = await planHost(
      one.name,
      one.zone,
      space.allocateAddress(partOf(one.zone)),
    );
    instances.push({ ...one, ...host });
  }
  const proxies: ProxyPlan[] = [];
  for (const one of listProxies(example, options)) {
    const address = space.allocateAddress(partOf(one.zone));
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

/** Id of the link to a host; proxies have a second one for peers. */
export function linkId(name: string, service: "main" | "peers"): string {
  return service === "main" ? name : `${name}/peers`;
}

/** The place of a host's own port. */
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
    const address = space.allocateAddress(FIRST_NETWORK_PART + index);
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

type InstanceOfExample = Omit<InstancePlan, "address" | "port">;

function listInstances(
  example: Example,
  options: StackOptions,
): readonly InstanceOfExample[] {
  const { groups } = example.document.environments[ENVIRONMENT]!;
  return groups.flatMap((group, index) => {
    if (options.databases && !options.databases.includes(group.database)) {
      return [];
    }
    // Primaries start in different zones, so that one zone does not carry all writes.
    const primary = index % group.instances.length;
    return group.instances.map((instance, place): InstanceOfExample => ({
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
