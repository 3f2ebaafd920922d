/**
 * Which hosts hold the connections of an instance: weighted rendezvous hashing
 * over the live hosts, those of the instance's availability zone first. All
 * hosts compute the same from the same rows; a host that comes or goes changes
 * only what it holds itself.
 *
 * @module
 */
import { createHash } from "node:crypto";
import type { ProxyLocation } from "../deployment/proxy_location.ts";
import type { ListedInstance } from "../deployment/instance_directory.ts";
import type { LiveHost } from "../leadership/coordination.ts";
import { DEFAULT_WEIGHT } from "./host_weight.ts";

/** A host that may hold connections for others. */
export interface Holder {
  readonly name: string;
  /** Endpoint of its channels. */
  readonly channel: string;
}

/** The hosts that hold an instance's connections: the holder and, if there is another host, the standby. */
export type Holders = readonly Holder[];

/** What the order depends on. */
export interface HolderOrderOptions {
  readonly place: Pick<ProxyLocation, "regions">;
  /** The live hosts; the same list until it changes. */
  readonly hosts: () => readonly LiveHost[];
  /** The hosts that have announced their stop, by name; the same set until it changes. */
  readonly stopping: () => ReadonlySet<string>;
}

/** Number of hosts that hold an instance's connections. */
const HOLDER_COUNT = 2;

/** Distances of a host from an instance, nearest first. */
const SAME_ZONE = 0;
const SAME_REGION = 1;
const ELSEWHERE = 2;
const DISTANCES = [SAME_ZONE, SAME_REGION, ELSEWHERE];

/** An order and what it was computed from. */
interface Computed {
  readonly hosts: readonly LiveHost[];
  readonly stopping: ReadonlySet<string>;
  readonly zone: string;
  readonly holders: Holders;
}

/** Computes the holders of instances. */
export class HolderOrder {
  readonly #options: HolderOrderOptions;
  readonly #computed = new Map<string, Computed>();

  constructor(options: HolderOrderOptions) {
    this.#options = options;
  }

  /** The holder and the standby of an instance; hosts without channels are not among them. */
  holders({ id, zone }: Pick<ListedInstance, "id" | "zone">): Holders {
    const hosts = this.#options.hosts();
    const stopping = this.#options.stopping();
    const known = this.#computed.get(id);
    const isCurrent = known?.hosts === hosts && known.stopping === stopping &&
      known.zone === zone;
    if (known && isCurrent) return known.holders;
    const holders = this.#compute(id, zone, hosts, stopping);
    this.#computed.set(id, { hosts, stopping, zone, holders });
    return holders;
  }

  /** Forgets an instance that is gone. */
  forget(id: string): void {
    this.#computed.delete(id);
  }

  #compute(
    id: string,
    zone: string,
    hosts: readonly LiveHost[],
    stopping: ReadonlySet<string>,
  ): Holders {
    const able = hosts.filter(({ channel }) => channel !== undefined);
    const staying = able.filter(({ name }) => !stopping.has(name));
    // A host that stops is better than none.
    const candidates = staying.length > 0 ? staying : able;
    const holders: LiveHost[] = [];
    for (const distance of DISTANCES) {
      // Hashes take longer than the rest, so those of hosts that are too far away are left out.
      if (holders.length >= HOLDER_COUNT) break;
      const near = candidates.filter((host) =>
        this.#distance(host, zone) === distance
      );
      holders.push(...sortByScore(id, near));
    }
    return holders.slice(0, HOLDER_COUNT)
      .map(({ name, channel }) => ({ name, channel: channel! }));
  }

  #distance(host: LiveHost, zone: string): number {
    if (host.zone === zone) return SAME_ZONE;
    const { regions } = this.#options.place;
    const region = regions.get(zone);
    const isSameRegion = region !== undefined && host.zone !== undefined &&
      regions.get(host.zone) === region;
    return isSameRegion ? SAME_REGION : ELSEWHERE;
  }
}

/** Sorts hosts by their scores for an instance, the highest first. */
function sortByScore(
  instance: string,
  hosts: readonly LiveHost[],
): readonly LiveHost[] {
  return hosts
    .map((host) => ({ host, score: scoreOf(instance, host) }))
    .sort((a, b) => b.score - a.score || (a.host.name < b.host.name ? -1 : 1))
    .map(({ host }) => host);
}

/** Number of bits of a hash that are used, so that it is a whole number in a double. */
const HASH_BITS = 48;

/** Number of hashes that are kept: those of all instances and hosts of a zone, many times over. */
const HASH_CACHE_LIMIT = 20_000;

/** Weighted rendezvous score: the host with the highest one is chosen with a probability proportional to its weight. */
function scoreOf(instance: string, { name, weight }: LiveHost): number {
  const fraction = fractionOf(`${instance}\0${name}`);
  return (weight ?? DEFAULT_WEIGHT) / -Math.log(fraction);
}

const fractions = new Map<string, number>();

/** A number between 0 and 1 that looks random and is the same for a key at all hosts. */
function fractionOf(key: string): number {
  const known = fractions.get(key);
  if (known !== undefined) return known;
  if (fractions.size >= HASH_CACHE_LIMIT) fractions.clear();
  const digest = createHash("sha1").update(key).digest();
  const fraction = (digest.readUIntBE(0, HASH_BITS / 8) + 0.5) /
    2 ** HASH_BITS;
  fractions.set(key, fraction);
  return fraction;
}
