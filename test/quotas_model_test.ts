/**
 * Quotas under random faults in virtual time: however hosts fail, no window of
 * 5 s admits more operations of an account than its limit allows.
 *
 * @module
 */
import { describe, it } from "node:test";
import { expect } from "earl";
import * as fc from "fast-check";
import type { RateLimit } from "../src/plugins/accounts/accounts.ts";
import { QuotaCluster } from "./fixtures/quota_cluster.ts";

/** Time for which load and faults go on, in ms. */
const RUN_MS = 14_000;

/** Time in which all hosts learn of a new limit, in ms. */
const LIMIT_SPREAD_MS = 1_000;

/** Time after which a host that does not answer is marked as absent, in ms. */
const MARK_MS = 2_500;

const FAULTS = [
  "cut",
  "one-way cut",
  "kill",
  "restart",
  "replace",
  "leave and return",
  "join",
  "freeze",
  "freeze all",
  "store away",
  "delays",
  "repeats",
  "limit",
] as const;

interface Fault {
  readonly kind: typeof FAULTS[number];
  readonly at: number;
  readonly duration: number;
  /** Fractions that select hosts, or an amount. */
  readonly from: number;
  readonly count: number;
}

interface Scenario {
  readonly seed: number;
  readonly hosts: number;
  readonly limit: RateLimit;
  /** Operations asked for, as a multiple of the rate. */
  readonly demand: number;
  /** Number of hosts that callers use; they use others after a while. */
  readonly spread: number;
  /** Time in ms between two moments at which all hosts get many operations at once; 0 for a steady load. */
  readonly volley: number;
  readonly faults: readonly Fault[];
}

const fault: fc.Arbitrary<Fault> = fc.record({
  kind: fc.constantFrom(...FAULTS),
  at: fc.integer({ min: 0, max: RUN_MS - 2_000 }),
  duration: fc.constantFrom(30, 300, 700, 1_200, 2_000, 5_000, RUN_MS),
  from: fc.double({ min: 0, max: 1, noNaN: true }),
  count: fc.constantFrom(0, 0, 0.1, 0.2, 0.5, 0.8),
});

const scenario = (min: number, max: number): fc.Arbitrary<Scenario> =>
  fc.record({
    seed: fc.integer(),
    hosts: fc.integer({ min, max }),
    limit: fc.record({
      rate: fc.constantFrom(0.5, 1.4, 6, 40, 150),
      burst: fc.constantFrom(0.3, 1, 8, 40, 300),
    }),
    demand: fc.constantFrom(0.9, 2, 5),
    spread: fc.constantFrom(0.01, 0.2, 1),
    volley: fc.constantFrom(0, 350, 900, 1_700, 3_100),
    faults: fc.array(fault, { minLength: 1, maxLength: 7 }),
  });

/** Plays a scenario; returns the worst window as a fraction of the bound. */
function play(
  { seed, hosts, limit, demand, spread, volley, faults }: Scenario,
) {
  let limits: RateLimit[] = [limit];
  let changedAt = 0;
  const cluster = new QuotaCluster(seed, { a: limit });
  const names = Array.from({ length: hosts }, (_, index) => `h${index}`);
  cluster.latency = (from, to) => from.length === to.length ? 0.5 : 12;
  cluster.startAll(names);
  const start = cluster.now;
  const end = start + RUN_MS;

  const cuts = new Set<(from: string, to: string) => boolean>();
  let delayUntil = 0;
  let repeatUntil = 0;
  cluster.links = {
    isCut: (from, to) =>
      from !== to && [...cuts].some((isCut) => isCut(from, to)),
    delay: (from, to) =>
      from !== to && cluster.now < delayUntil && cluster.random() < 0.3
        ? cluster.random() * 3_000
        : 0,
    repeats: () => cluster.now < repeatUntil && cluster.random() < 0.3,
  };
  const markDead = (chosen: readonly string[]) =>
    cluster.at(
      cluster.now + MARK_MS,
      () =>
        cluster.markAbsent(...chosen.filter((name) => {
          const host = cluster.hosts.get(name);
          return !host || host.frozenUntil > cluster.now;
        })),
    );
  const freeze = (chosen: readonly string[], duration: number) => {
    for (const name of chosen) {
      const host = cluster.hosts.get(name);
      if (host) host.frozenUntil = cluster.now + duration;
    }
    markDead(chosen);
  };
  let joined = 0;
  const inject = ({ kind, duration, from, count }: Fault) => {
    const first = Math.floor(from * (hosts - 1));
    const chosen = names.slice(first)
      .concat(names.slice(0, first))
      .slice(0, Math.max(1, Math.floor(count * hosts)));
    const members = new Set(chosen);
    const later = (work: () => void) =>
      cluster.at(cluster.now + duration, work);
    switch (kind) {
      case "cut":
      case "one-way cut": {
        const isCut = (left: string, right: string) =>
          members.has(left) && !members.has(right) ||
          kind === "cut" && members.has(right) && !members.has(left);
        cuts.add(isCut);
        return later(() => cuts.delete(isCut));
      }
      case "kill":
        for (const name of chosen) cluster.kill(name);
        return markDead(chosen);
      case "restart":
        for (const name of chosen) cluster.kill(name);
        return later(() => cluster.start(...chosen));
      case "replace": {
        for (const name of chosen) cluster.kill(name);
        const others = chosen.map((name) => `${name}x${joined += 1}`);
        names.push(...others);
        markDead(chosen);
        return later(() => cluster.start(...others));
      }
      case "leave and return":
        for (const name of chosen) cluster.leave(name);
        return later(() => cluster.start(...chosen));
      case "join": {
        const others = chosen.map(() => `j${joined += 1}`);
        names.push(...others);
        return cluster.start(...others);
      }
      case "freeze":
        return freeze(chosen, duration);
      case "freeze all":
        return freeze(names, Math.min(duration, 1_500));
      case "store away":
        for (const name of chosen) {
          const host = cluster.hosts.get(name);
          if (host) host.isStoreAway = true;
        }
        return later(() => {
          for (const name of chosen) {
            const host = cluster.hosts.get(name);
            if (host) host.isStoreAway = false;
          }
        });
      case "delays":
        delayUntil = cluster.now + duration;
        return;
      case "repeats":
        repeatUntil = cluster.now + duration;
        return;
      case "limit": {
        const factor = from < 0.5 ? 0.2 : 3;
        const present = limits.at(-1)!;
        const next = {
          rate: present.rate * factor,
          burst: present.burst * factor,
        };
        limits = [...limits, next];
        changedAt = cluster.now;
        return cluster.setLimits(
          { a: next },
          () => cluster.random() * LIMIT_SPREAD_MS,
        );
      }
    }
  };
  for (const item of faults) cluster.at(start + item.at, () => inject(item));

  const choose = () => {
    const turn = Math.floor((cluster.now - start) / 4_000) * 7;
    const width = Math.max(1, Math.floor(spread * names.length));
    const index = turn + Math.floor(cluster.random() * width);
    return names[index % names.length];
  };
  if (volley === 0) {
    cluster.load("a", Math.min(600, limit.rate * demand + 1), end, choose);
  }
  const size = Math.ceil((limit.rate + limit.burst) * demand / hosts) + 2;
  for (let at = start + 200; volley > 0 && at < end; at += volley) {
    cluster.at(at, () => {
      for (const host of cluster.hosts.values()) {
        for (let done = 0; done < size; done += 1) host.operate("a");
      }
    });
  }
  cluster.runUntil(end + 1_000);
  const highest = {
    rate: Math.max(...limits.map(({ rate }) => rate)),
    burst: Math.max(...limits.map(({ burst }) => burst)),
  };
  return Math.max(
    cluster.worstWindow("a", highest),
    cluster.worstWindow("a", limits.at(-1)!, changedAt + LIMIT_SPREAD_MS),
  );
}

describe("the operations admitted in any 5 s", () => {
  for (
    const [min, max, runs] of [[4, 12, 80], [13, 40, 30], [
      41,
      300,
      12,
    ]] as const
  ) {
    // Guards against tokens that exist twice after a fault, or that outlive it.
    it(`stay inside the bound on ${min} to ${max} hosts, whatever fails`, () => {
      let worst = 0;
      fc.assert(
        fc.property(scenario(min, max), (item) => {
          const fraction = play(item);
          worst = Math.max(worst, fraction);
          expect(fraction).toBeLessThanOrEqual(1);
        }),
        {
          numRuns: Number(process.env["QUOTA_RUNS"] ?? runs),
          seed: Number(process.env["QUOTA_SEED"] ?? 1),
        },
      );
      console.log(`worst window: ${worst.toFixed(2)} of the bound`);
    });
  }
});
