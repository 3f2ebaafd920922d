/**
 * Divides the connections of one instance among the live proxies.
 *
 * Every proxy computes the split from its own view of the others' demands.
 * Proxies with the same view compute the same split, whose sum never exceeds the
 * limit. While views differ, the sum of the shares may exceed it briefly: the
 * instance then refuses new connections, and the pool waits before it retries.
 *
 * The algorithm for a limit L:
 *
 * 1. At most max(1, floor(L / 2)) proxies hold connections to one instance.
 *    With more proxies than that, those with the highest rendezvous hash of
 *    (proxy, database, instance) are the holders; every other proxy has share 0
 *    and must send its statements through a holder. A proxy that joins or
 *    leaves changes at most one holder of an instance.
 * 2. Each holder has a guaranteed minimum of max(1, floor(L / (4 × holders))).
 * 3. The remainder is divided by demand. If it covers all demands, each holder
 *    gets its demand and an equal part of the surplus; otherwise each gets a part
 *    in proportion to its demand above the minimum, rounded by the largest
 *    remainder method.
 *
 * @module
 */
import { createHash } from "node:crypto";

/** The demand of one proxy for connections to an instance. */
export interface ProxyDemand {
  readonly proxy: string;
  /** Whole number of connections, 0 or more. */
  readonly wanted: number;
}

/** Input of the split: the limit of one instance and the demands of all live proxies. */
export interface Budget {
  readonly database: string;
  readonly instance: string;
  /** Maximum number of connections to the instance from all proxies together. */
  readonly limit: number;
  readonly demands: readonly ProxyDemand[];
}

/** Connections of the limit that must be available per holder; bounds the number of holders. */
const CONNECTIONS_PER_HOLDER = 2;

/** A holder's guaranteed minimum is an equal part of the limit divided by this. */
const MINIMUM_DIVISOR = 4;

/** Splits the limit; returns the number of connections of each proxy by name. */
export function splitBudget(budget: Budget): ReadonlyMap<string, number> {
  const shares = new Map(budget.demands.map((item) => [item.proxy, 0]));
  const holders = chooseHolders(budget);
  if (holders.length === 0) return shares;
  const minimum = Math.max(
    1,
    Math.floor(budget.limit / (MINIMUM_DIVISOR * holders.length)),
  );
  const extras = holders.map((holder) => extraDemand(holder, budget, minimum));
  const rest = budget.limit - minimum * holders.length;
  const parts = divideRest(rest, extras);
  holders.forEach((holder, index) => {
    shares.set(holder.proxy, minimum + parts[index]!);
  });
  return shares;
}

/** Selects the proxies that may hold connections to the instance, ordered by rendezvous hash. */
function chooseHolders(budget: Budget): readonly ProxyDemand[] {
  const maxHolders = Math.max(
    1,
    Math.floor(budget.limit / CONNECTIONS_PER_HOLDER),
  );
  return budget.demands
    .map((demand) => ({ demand, rank: rankOf(demand.proxy, budget) }))
    .sort((a, b) => a.rank < b.rank ? -1 : 1)
    .slice(0, maxHolders)
    .map(({ demand }) => demand);
}

const rankCache = new Map<string, string>();
const RANK_CACHE_LIMIT = 50_000;

function rankOf(proxy: string, { database, instance }: Budget): string {
  const key = `${proxy}\0${database}\0${instance}`;
  const cached = rankCache.get(key);
  if (cached) return cached;
  if (rankCache.size >= RANK_CACHE_LIMIT) rankCache.clear();
  const rank = createHash("sha1").update(key).digest("hex");
  rankCache.set(key, rank);
  return rank;
}

function extraDemand(
  holder: ProxyDemand,
  budget: Budget,
  minimum: number,
): number {
  const wanted = Math.min(Math.max(0, Math.ceil(holder.wanted)), budget.limit);
  return Math.max(0, wanted - minimum);
}

function divideRest(rest: number, extras: readonly number[]): number[] {
  const sum = extras.reduce((total, extra) => total + extra, 0);
  if (sum > rest) return apportion(rest, extras);
  const spare = apportion(rest - sum, extras.map(() => 1));
  return extras.map((extra, index) => extra + spare[index]!);
}

/** Largest remainder method on integers; ties are resolved by position. */
function apportion(seats: number, weights: readonly number[]): number[] {
  const sum = weights.reduce((total, weight) => total + weight, 0);
  const parts = weights.map((weight) => Math.floor(seats * weight / sum));
  const remainders = weights.map((weight, index) => ({
    index,
    remainder: (seats * weight) % sum,
  }));
  remainders.sort((a, b) => b.remainder - a.remainder || a.index - b.index);
  const unassigned = seats - parts.reduce((total, part) => total + part, 0);
  for (const { index } of remainders.slice(0, unassigned)) parts[index]! += 1;
  return parts;
}
