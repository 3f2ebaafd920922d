import { describe, it } from "node:test";
import { expect } from "earl";
import * as fc from "fast-check";
import {
  type Outcome,
  QuotaCluster,
  type SimulatedHost,
} from "./fixtures/quota_cluster.ts";

const REGION_COUNT = 3;
const ZONE_COUNT = 6;
/** Round trip between regions, in ms, and the time after which waiting operations share a request. */
const ROUND_TRIP_MS = 24;
const REQUEST_GAP_MS = 10;

const numbered = (count: number) =>
  Array.from({ length: count }, (_, index) => `h${index}`);
const zoneOf = (name: string) => Number(name.slice(1)) % ZONE_COUNT;
const regionOf = (name: string) => zoneOf(name) % REGION_COUNT;

/** Starts hosts in six zones of three regions. */
function startCluster(
  count: number,
  limits: ConstructorParameters<typeof QuotaCluster>[1],
) {
  const names = numbered(count);
  const cluster = new QuotaCluster(1, limits);
  cluster.latency = (from, to) => {
    if (zoneOf(from) === zoneOf(to)) return 0.2;
    return regionOf(from) === regionOf(to) ? 0.5 : 12;
  };
  cluster.startAll(names);
  const pick = (from: readonly string[] = names) => () =>
    from[Math.floor(cluster.random() * from.length)];
  return { cluster, names, pick, start: cluster.now };
}

const isCutBetween = (isInside: (name: string) => boolean) => ({
  isCut: (from: string, to: string) => isInside(from) !== isInside(to),
  delay: () => 0,
  repeats: () => false,
});

const refusedOf = (outcomes: readonly Outcome[]) =>
  outcomes.filter(({ admitted }) => !admitted);

/** Admitted operations in a time. */
const admittedIn = (
  { outcomes }: QuotaCluster,
  from: number,
  to: number,
  account = "a",
) =>
  outcomes.filter((item) =>
    item.admitted && item.account === account && item.decidedAt >= from &&
    item.decidedAt < to
  ).length;

const waitOf = ({ askedAt, decidedAt }: Outcome) => decidedAt - askedAt;

describe("quotas without faults", () => {
  for (const count of [4, 26, 300]) {
    // Guards against operations that are refused since a host has too few tokens while others have some.
    it(`refuse no operation below the limit on ${count} hosts`, () => {
      const limits = {
        big: { rate: 100, burst: 100 },
        small: { rate: 2, burst: 2 },
      };
      const { cluster, names, pick, start } = startCluster(count, limits);
      cluster.load("big", 95, start + 10_000, pick(), true);
      cluster.load("small", 1.9, start + 10_000, pick(), true);
      // A burst at one host, after the hosts had no work, and one short after that.
      for (const at of [16_000, 24_500]) {
        cluster.at(start + at, () => {
          const host = cluster.hosts.get(names[1]!)!;
          for (let done = 0; done < 100; done += 1) host.operate("big");
          host.operate("small");
          host.operate("small");
        });
      }
      cluster.runUntil(start + 30_000);
      expect(refusedOf(cluster.outcomes)).toEqual([]);
      const steady = cluster.outcomes
        .filter(({ askedAt }) => askedAt > start + 1_000)
        .filter(({ askedAt }) => askedAt < start + 10_000);
      expect(Math.max(...steady.map(waitOf)))
        .toBeLessThanOrEqual(ROUND_TRIP_MS + REQUEST_GAP_MS + 1);
      // The first operation after a pause also waits for the idle hosts' parts.
      expect(Math.max(...cluster.outcomes.map(waitOf)))
        .toBeLessThan(100);
    });
  }

  // Guards against a limit that only a fraction of can be used, and a request for each refused operation.
  it("give an account over its limit the whole limit, and refuse the rest at once", () => {
    const limit = { rate: 50, burst: 50 };
    const { cluster, pick, start } = startCluster(26, { a: limit });
    cluster.load("a", 1_000, start + 20_000, pick());
    cluster.runUntil(start + 10_000);
    cluster.messages = 0;
    cluster.runUntil(start + 20_000);
    const admitted = admittedIn(cluster, start + 10_000, start + 20_000);
    expect(admitted).toBeGreaterThan(475);
    expect(admitted).toBeLessThan(525);
    expect(cluster.worstWindow("a", limit)).toBeLessThanOrEqual(1);
    const refused = refusedOf(cluster.outcomes);
    const atOnce = refused.filter((item) => waitOf(item) === 0).length;
    expect(atOnce / refused.length).toBeGreaterThan(0.9);
    // Requests a second and host, each with an answer.
    expect(cluster.messages / 2 / 10 / 26).toBeLessThan(10);
  });

  it("follow demand that moves to another zone within 2 s", () => {
    const limit = { rate: 60, burst: 60 };
    const { cluster, names, pick, start } = startCluster(26, { a: limit });
    const inZone = (zone: number) =>
      names.filter((name) => zoneOf(name) === zone);
    cluster.load("a", 57, start + 10_000, pick(inZone(1)), true);
    cluster.runUntil(start + 10_000);
    cluster.load("a", 57, start + 20_000, pick(inZone(2)), true);
    cluster.runUntil(start + 20_000);
    expect(refusedOf(cluster.outcomes)).toEqual([]);
    expect(admittedIn(cluster, start + 10_000, start + 12_000))
      .toBeGreaterThan(110);
  });

  it("admit waiting operations of an account in order", () => {
    const { cluster, names, start } = startCluster(26, {
      a: { rate: 20, burst: 20 },
    });
    const host = cluster.hosts.get(names[3]!)!;
    const admitted: number[] = [];
    for (let number = 0; number < 18; number += 1) {
      host.quotas.enqueue("a", Infinity, (failure) => {
        if (!failure) admitted.push(number);
      }, host.now());
    }
    cluster.runUntil(start + 1_000);
    expect(admitted).toEqual(Array.from({ length: 18 }, (_, index) => index));
  });

  it("send nothing while no limited account has work", () => {
    const { cluster, pick, start } = startCluster(26, {
      a: { rate: 20, burst: 20 },
    });
    cluster.load("a", 10, start + 5_000, pick());
    cluster.runUntil(start + 20_000);
    cluster.messages = 0;
    cluster.load("without limit", 100, start + 30_000, pick());
    cluster.runUntil(start + 30_000);
    expect(cluster.messages).toEqual(0);
    expect(refusedOf(cluster.outcomes)).toEqual([]);
  });

  it("tell refused operations to return one after the other", () => {
    const { cluster, names } = startCluster(1, { a: { rate: 10, burst: 5 } });
    const host = cluster.hosts.get(names[0]!)!;
    const waits: number[] = [];
    for (let done = 0; done < 30; done += 1) {
      const decision = host.quotas.decide("a", host.now());
      if (decision === undefined) continue;
      host.quotas.enqueue("a", host.now() + 100, (failure) => {
        const match = /; retry in (\d+) ms$/.exec(failure?.message ?? "");
        if (match) waits.push(Number(match[1]));
      }, host.now());
    }
    cluster.runUntil(cluster.now + 1_000);
    expect(waits.length).toBeGreaterThan(15);
    expect(waits).toEqual([...waits].sort((left, right) => left - right));
    expect(waits.at(-1)!).toBeGreaterThan(1_500);
  });

  for (const count of [26, 144, 300]) {
    it(`cost few messages on ${count} hosts`, () => {
      const weights = Array.from(
        { length: 74 },
        (_, index) => (index + 1) ** -1.2,
      );
      const sum = weights.reduce((total, weight) => total + weight, 0);
      const usual = weights.map((weight) => 491 * weight / sum);
      const limits = Object.fromEntries(
        usual.map((rate, index) =>
          [`a${index}`, { rate: rate * 1.6, burst: rate * 1.6 }] as const
        ),
      );
      const { cluster, pick, start } = startCluster(count, limits);
      usual.forEach((rate, index) =>
        cluster.load(`a${index}`, rate, start + 10_000, pick())
      );
      cluster.countsBytes = true;
      cluster.messages = 0;
      cluster.runUntil(start + 10_000);
      const messages = cluster.messages / 10 / count;
      const bytes = cluster.bytes / 10 / count;
      console.log(
        `${count} hosts: ${messages.toFixed(1)} messages and ${
          bytes.toFixed(0)
        } bytes a second and host`,
      );
      expect(messages).toBeLessThan(40);
      expect(bytes).toBeLessThan(4_000);
    });
  }
});

describe("quotas with faults", () => {
  // Guards against hosts that each grant a whole limit.
  it("an account that is over its quota on hosts that can't hear each other stays inside the bound", () => {
    const limits = {
      a: { rate: 60, burst: 90 },
      b: { rate: 1, burst: 3 },
    };
    const { cluster, pick, start } = startCluster(26, limits);
    cluster.load("a", 300, start + 70_000, pick());
    cluster.load("b", 50, start + 70_000, pick());
    cluster.runUntil(start + 5_000);
    cluster.links = { ...isCutBetween(() => false), isCut: (a, b) => a !== b };
    cluster.runUntil(start + 60_000);
    cluster.links = isCutBetween(() => false);
    cluster.runUntil(start + 70_000);
    for (const [account, limit] of Object.entries(limits)) {
      expect(cluster.worstWindow(account, limit)).toBeLessThanOrEqual(1);
    }
    // Alone, the hosts still grant what they own.
    expect(admittedIn(cluster, start + 10_000, start + 20_000))
      .toBeGreaterThan(500);
    expect(admittedIn(cluster, start + 10_000, start + 60_000, "b"))
      .toBeGreaterThan(20);
  });

  const faults: readonly (readonly [
    string,
    (
      cluster: QuotaCluster,
      host: SimulatedHost,
    ) => void,
  ])[] = [
    ["is killed", (cluster, { proxy }) => cluster.kill(proxy)],
    ["stands still", (cluster, host) => {
      host.frozenUntil = cluster.now + 30_000;
    }],
    ["is cut off", (cluster, { proxy }) => {
      cluster.links = isCutBetween((name) => name === proxy);
    }],
    ["hears nothing", (cluster, { proxy }) => {
      const isCut = (from: string, to: string) => to === proxy && from !== to;
      cluster.links = { ...cluster.links, isCut };
    }],
  ];
  for (const [fault, inject] of faults) {
    it(`serve again within 2 s after the coordinator ${fault}`, () => {
      const { cluster, names, pick, start } = startCluster(26, {
        a: { rate: 50, burst: 50 },
        b: { rate: 5, burst: 5 },
      });
      const coordinator = cluster.coordinator();
      const others = names.filter((name) => name !== coordinator);
      cluster.load("a", 30, start + 15_000, pick(others), true);
      cluster.load("b", 3, start + 15_000, pick(others), true);
      const failsAt = start + 5_000;
      cluster.at(
        failsAt,
        () => inject(cluster, cluster.hosts.get(coordinator)!),
      );
      cluster.runUntil(start + 16_000);
      for (const account of ["a", "b"]) {
        const times = cluster.outcomes
          .filter((item) => item.account === account && item.admitted)
          .map(({ decidedAt }) => decidedAt)
          .sort((left, right) => left - right);
        const gaps = times.slice(1).map((at, index) => at - times[index]!);
        expect(Math.max(...gaps)).toBeLessThan(2_000);
      }
      const later = cluster.outcomes.filter(({ askedAt }) =>
        askedAt > failsAt + 4_000
      );
      expect(refusedOf(later)).toEqual([]);
    });
  }

  it("refuse nothing when the coordinator stops as planned and returns", () => {
    const { cluster, names, pick, start } = startCluster(26, {
      a: { rate: 50, burst: 50 },
      b: { rate: 5, burst: 5 },
    });
    const coordinator = cluster.coordinator();
    const others = names.filter((name) => name !== coordinator);
    cluster.load("a", 30, start + 20_000, pick(others), true);
    cluster.load("b", 3, start + 20_000, pick(others), true);
    cluster.at(start + 5_000, () => cluster.leave(coordinator));
    cluster.at(start + 8_000, () => cluster.start(coordinator));
    cluster.runUntil(start + 21_000);
    expect(refusedOf(cluster.outcomes)).toEqual([]);
    expect(Math.max(...cluster.outcomes.map(waitOf))).toBeLessThan(1_000);
  });

  it("give a zone that is cut off its part of the limit", () => {
    const { cluster, names, start, pick } = startCluster(24, {
      a: { rate: 60, burst: 60 },
    });
    const zone = names.filter((name) => zoneOf(name) === 1);
    cluster.load("a", 200, start + 30_000, pick(zone));
    cluster.at(start + 5_000, () => {
      cluster.links = isCutBetween((name) => zoneOf(name) === 1);
    });
    cluster.runUntil(start + 30_000);
    const admitted = admittedIn(cluster, start + 10_000, start + 30_000);
    // A sixth of 60 a second for 20 s.
    expect(admitted).toBeGreaterThan(180);
    expect(admitted).toBeLessThan(220);
  });

  // Guards against a part that its host uses after the others have taken it over.
  it("stay inside the bound when the rows of a side without the store are removed", () => {
    const limit = { rate: 20, burst: 20 };
    const { cluster, names, start, pick } = startCluster(12, { a: limit });
    const isInside = (name: string) => Number(name.slice(1)) < 6;
    const inside = names.filter(isInside);
    cluster.load("a", 60, start + 300_000, pick());
    cluster.at(start + 1_000, () => {
      cluster.links = isCutBetween(isInside);
      for (const name of inside) cluster.hosts.get(name)!.isStoreAway = true;
    });
    cluster.at(
      start + 3_000,
      () => cluster.markAbsent(...inside),
    );
    cluster.at(
      start + 153_000,
      () => cluster.remove(...inside),
    );
    cluster.runUntil(start + 300_000);
    expect(cluster.worstWindow("a", limit)).toBeLessThanOrEqual(1);
    const rateIn = (from: number, to: number) =>
      admittedIn(cluster, start + from, start + to) * 1_000 / (to - from);
    expect(rateIn(10_000, 110_000)).toBeGreaterThan(18);
    expect(rateIn(170_000, 300_000)).toBeGreaterThan(18);
  });

  // Guards against hosts with different numbers of hosts whose parts add up to more than the limit.
  it("stay inside the bound when hosts join that others don't hear of", () => {
    const limit = { rate: 40, burst: 40 };
    const { cluster, names, start } = startCluster(4, { a: limit });
    const joining = numbered(26).slice(4);
    for (const name of names) cluster.hosts.get(name)!.isStoreAway = true;
    cluster.load("a", 500, start + 30_000, () => {
      const all = [...names, ...joining];
      return all[Math.floor(cluster.random() * all.length)];
    });
    cluster.at(
      start + 2_000,
      () => cluster.start(...joining),
    );
    cluster.at(start + 6_000, () => {
      cluster.links = isCutBetween((name) => names.includes(name));
    });
    cluster.runUntil(start + 30_000);
    expect(cluster.worstWindow("a", limit)).toBeLessThanOrEqual(1);
    expect(admittedIn(cluster, start + 20_000, start + 30_000))
      .toBeGreaterThan(350);
  });

  // Guards against a part that is used in the former and in the new shard of an account.
  it("stay inside the bound when accounts move to other shards", () => {
    const limit = { rate: 100, burst: 10 };
    const { cluster, pick, start } = startCluster(12, { a: limit });
    const many = Object.fromEntries(
      numbered(300).map((name) => [name, { rate: 1, burst: 1 }] as const),
    );
    cluster.load("a", 1_000, start + 20_000, pick());
    const spread = () => cluster.random() * 500;
    for (const at of [4_000, 5_500, 7_000, 8_500, 10_000]) {
      const others = at % 1_000 === 0 ? many : {};
      cluster.at(
        start + at,
        () => cluster.setLimits({ ...others, a: limit }, spread),
      );
    }
    cluster.runUntil(start + 20_000);
    expect(cluster.worstWindow("a", limit)).toBeLessThanOrEqual(1);
    expect(admittedIn(cluster, start + 14_000, start + 20_000))
      .toBeGreaterThan(550);
  });

  it("serve within 5 s after all hosts have restarted", () => {
    const { cluster, names, pick, start } = startCluster(26, {
      a: { rate: 40, burst: 40 },
    });
    cluster.start(...names);
    cluster.load("a", 20, start + 15_000, pick(), true);
    cluster.runUntil(start + 16_000);
    const later = cluster.outcomes.filter(({ askedAt }) =>
      askedAt > start + 5_000
    );
    expect(refusedOf(later)).toEqual([]);
  });

  // Guards against restarts that leave limited accounts unserved until all hosts have asked each other again.
  it("serve within 2 s after all hosts were killed and have restarted", () => {
    const { cluster, names, pick, start } = startCluster(26, {
      a: { rate: 40, burst: 40 },
    });
    cluster.runUntil(start + 5_000);
    for (const name of names) cluster.start(name);
    const restartedAt = cluster.now;
    cluster.load("a", 20, restartedAt + 8_000, pick(), true);
    cluster.runUntil(restartedAt + 9_000);
    const later = cluster.outcomes.filter(({ askedAt }) =>
      askedAt > restartedAt + 2_000
    );
    expect(refusedOf(later)).toEqual([]);
  });

  // Guards against hosts that refuse a few operations since their parts are empty when they use them for the first time.
  it("serve a few operations at once as soon as all hosts that were killed use their parts", () => {
    const { cluster, names, pick, start } = startCluster(4, {
      a: { rate: 50, burst: 50 },
    });
    cluster.runUntil(start + 5_000);
    for (const name of names) cluster.start(name);
    cluster.runUntil(cluster.now + 1_600);
    const from = cluster.now;
    cluster.load("a", 90, from + 100, pick(), true);
    cluster.runUntil(from + 3_000);
    const later = cluster.outcomes.filter(({ askedAt }) => askedAt >= from);
    expect(later.length > 5).toEqual(true);
    expect(refusedOf(later)).toEqual([]);
  });

  // Guards against a host that is gone for good keeping all others, which have just restarted, from their parts.
  it("serve within 5 s after all hosts but a lost one have restarted", () => {
    const { cluster, names, start } = startCluster(26, {
      a: { rate: 40, burst: 40 },
    });
    const [lost, ...others] = names;
    cluster.kill(lost!);
    cluster.markAbsent(lost!);
    for (const name of others) cluster.start(name);
    const pick = () => others[Math.floor(cluster.random() * others.length)];
    cluster.load("a", 20, start + 15_000, pick, true);
    cluster.runUntil(start + 16_000);
    const later = cluster.outcomes.filter(({ askedAt }) =>
      askedAt > start + 5_000
    );
    expect(refusedOf(later)).toEqual([]);
  });

  // Guards against hosts that return without a part for minutes, since a host that died doesn't count them.
  it("serve an account through a rolling restart while the row of a dead host remains", () => {
    const { cluster, names, pick, start } = startCluster(12, {
      a: { rate: 40, burst: 40 },
    });
    cluster.runUntil(start + 200_000);
    cluster.kill(names[0]!);
    cluster.at(cluster.now + 2_500, () => cluster.markAbsent(names[0]!));
    cluster.runUntil(cluster.now + 4_000);
    const from = cluster.now;
    names.slice(1).forEach((name, index) => {
      cluster.at(from + index * 3_000, () => cluster.leave(name));
      cluster.at(from + index * 3_000 + 1_500, () => cluster.start(name));
    });
    const up = () => [...cluster.hosts.keys()];
    cluster.load("a", 24, from + 45_000, () => pick(up())(), true);
    cluster.runUntil(from + 45_000);
    const later = cluster.outcomes.filter(({ askedAt }) =>
      askedAt > from + 36_000
    );
    expect(refusedOf(later)).toEqual([]);
    expect(refusedOf(cluster.outcomes).length / cluster.outcomes.length)
      .toBeLessThan(0.05);
  });
});

describe("messages of quotas", () => {
  // Guards against a message of another release that ends a process.
  it("of any content are answered without an error", () => {
    const { cluster, names } = startCluster(2, { a: { rate: 5, burst: 5 } });
    const { quotas } = cluster.hosts.get(names[0]!)!;
    const kinds = ["quota", "quota-hello", "quota-wake", "quota-join"];
    fc.assert(fc.property(
      fc.constantFrom(...kinds),
      fc.oneof(
        fc.jsonValue(),
        fc.array(fc.oneof(fc.constant("1:0"), fc.jsonValue()), {
          maxLength: 8,
        }),
      ),
      (kind, body) => quotas.handle(kind, body, "h1", () => {}),
    ));
  });
});
