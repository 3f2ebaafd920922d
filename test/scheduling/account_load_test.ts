import { before, describe, it } from "node:test";
import { expect } from "earl";
import { siteKinds } from "../platform/fixtures/accounts_site.ts";
import {
  type GroupLoad,
  type LoadResult,
  playLoad,
} from "../platform/fixtures/loaded_group.ts";

const SLOTS = 6;
const ACCOUNTS = 74;
const weights = new Map(
  Array.from(
    { length: ACCOUNTS },
    (_, index) => [`a${index}`, (index + 1) ** -1.2] as const,
  ),
);
const sum = (values: Iterable<number>) =>
  [...values].reduce((one, other) => one + other, 0);

/** Plays a load that needs a part of the slots; one account may ask many times its usual on top. */
function play(
  part: number,
  surge: { readonly account?: string; readonly factor: number } = { factor: 1 },
): Promise<LoadResult> {
  const accounts = new Map(
    [...weights].map(([name, weight]) =>
      [name, name === surge.account ? surge.factor * weight : weight] as const
    ),
  );
  const scale = sum(accounts.values()) / sum(weights.values());
  const load: GroupLoad = {
    proxies: 1,
    slots: SLOTS,
    queue: 48,
    connections: 75,
    handshake: 12,
    delay: 0.2,
    lagging: 0,
    kinds: siteKinds(part * scale * SLOTS),
    from: 2_000,
    until: 22_000,
    accounts,
    scheduledShare: 55,
    capacity: SLOTS,
    seed: 1,
  };
  return playLoad(load);
}

const inTime = ({ kinds }: LoadResult, kind: string) =>
  kinds.get(kind)!.inTime / kinds.get(kind)!.asked;

/** Part of the requests of some kinds that each account got in time, the worst-served account first. */
function byAccount(result: LoadResult, ...names: readonly string[]) {
  return [...weights.keys()].map((account) => {
    const results = names.map((kind) =>
      result.accounts.get(`${account} ${kind}`)
    )
      .filter((kind) => kind !== undefined);
    const asked = sum(results.map((kind) => kind.asked));
    return {
      account,
      asked,
      part: sum(results.map((kind) => kind.inTime)) / asked,
    };
  }).filter(({ asked }) => asked > 0)
    .sort((left, right) => left.part - right.part);
}

/** Mean part that the worst-served tenth of the accounts got in time. */
function worstTenth(result: LoadResult, ...names: readonly string[]): number {
  const accounts = byAccount(result, ...names);
  const worst = accounts.slice(0, Math.ceil(accounts.length / 10));
  return sum(worst.map(({ part }) => part)) / worst.length;
}

const openingsPerStatement = ({ opened, ran }: LoadResult) => opened / ran;
const all = ["urgent", "renewal", "report"];

describe("74 accounts at an instance with 55 connections and 6 slots", () => {
  describe("that need 30% of the slots", () => {
    let result: LoadResult;
    before(async () => {
      result = await play(0.3);
    });

    it("are all served in time, each on connections of its own", () => {
      expect(worstTenth(result, ...all)).toBeGreaterThan(0.99);
      expect(result.primary.foreign).toEqual(0);
      expect(result.primary.peakConnections).toBeLessThanOrEqual(55);
    });

    it("reuse most connections", () => {
      expect(openingsPerStatement(result)).toBeLessThan(0.25);
    });
  });

  describe("that need 150% of the slots", () => {
    let result: LoadResult;
    before(async () => {
      result = await play(1.5);
    });

    it("are served by rank, and no rank starves", () => {
      expect(inTime(result, "urgent")).toBeGreaterThan(0.97);
      expect(inTime(result, "renewal")).toBeGreaterThan(0.75);
      expect(inTime(result, "report")).toBeLessThan(inTime(result, "renewal"));
      expect(inTime(result, "report")).toBeGreaterThan(0.1);
    });

    // Guards against small accounts that wait behind large ones.
    it("are refused where they ask for more than their part", () => {
      expect(worstTenth(result, "renewal")).toBeGreaterThan(0.6);
      const [first, ...others] = byAccount(result, "renewal");
      expect(first!.account).toEqual("a0");
      expect(Math.min(...others.map(({ part }) => part)))
        .toBeGreaterThan(first!.part);
      expect(byAccount(result, ...all)[0]!.part).toBeGreaterThan(0.3);
    });

    it("learn at once that they are refused, and are rarely served late", () => {
      for (const [, { late, asked, refusedAfter }] of result.kinds) {
        expect(late / asked).toBeLessThan(0.02);
        const sorted = refusedAfter.toSorted((left, right) => left - right);
        expect(sorted[Math.floor(0.9 * sorted.length)] ?? 0).toBeLessThan(10);
      }
    });

    // Guards against slots that open connections in place of running statements.
    it("use the slots for statements rather than for openings", () => {
      expect(result.worked).toBeGreaterThan(0.88);
      expect(openingsPerStatement(result)).toBeLessThan(0.3);
      expect(result.busy).toBeLessThan(10);
      expect(result.primary.foreign).toEqual(0);
    });
  });

  // Guards against one account that takes the slots of all others.
  it("are served as usual while one of them asks 7 times its usual", async () => {
    const result = await play(0.7, { account: "a1", factor: 7 });
    const others = byAccount(result, "urgent", "renewal")
      .filter(({ account }) => account !== "a1");
    expect(others[0]!.part).toBeGreaterThan(0.95);
    expect(byAccount(result, "renewal")[0]!.account).toEqual("a1");
    // The last rank has to give way to the surge in those above it, but not to all of it.
    const reports = byAccount(result, "report");
    const surging = reports.find(({ account }) => account === "a1")!;
    const small = reports.filter(({ account }) => Number(account.slice(1)) > 1);
    const asked = sum(small.map((one) => one.asked));
    const served = sum(small.map((one) => one.part * one.asked)) / asked;
    expect(surging.part).toBeLessThan(0.5);
    expect(served).toBeGreaterThan(0.7);
    expect(result.worked).toBeGreaterThan(0.9);
  });
});
