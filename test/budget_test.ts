import { describe, it } from "node:test";
import { expect } from "earl";
import fc from "fast-check";
import { type Budget, splitBudget } from "../src/plugins/connections/budget.ts";

const demands = fc.uniqueArray(
  fc.record({
    proxy: fc.stringMatching(/^[a-z]{1,6}$/),
    wanted: fc.integer({ min: 0, max: 2_000 }),
  }),
  { selector: (item) => item.proxy, minLength: 1, maxLength: 60 },
);

const budget: fc.Arbitrary<Budget> = fc.record({
  database: fc.constantFrom("booking", "stock"),
  instance: fc.constantFrom("stock-1", "stock-2"),
  limit: fc.integer({ min: 1, max: 200 }),
  demands,
});

const sum = (values: Iterable<number>) =>
  [...values].reduce((total, value) => total + value, 0);

describe("splitBudget", () => {
  it("distributes exactly the whole limit", () => {
    fc.assert(fc.property(budget, (value) => {
      expect(sum(splitBudget(value).values())).toEqual(value.limit);
    }));
  });

  it("gives a share to at most half as many proxies as the limit, each at least the minimum", () => {
    fc.assert(fc.property(budget, (value) => {
      const shares = [...splitBudget(value).values()];
      const holders = shares.filter((share) => share > 0);
      const maxHolders = Math.max(1, Math.floor(value.limit / 2));
      const holderCount = Math.min(maxHolders, value.demands.length);
      expect(holders.length).toEqual(holderCount);
      const minimum = Math.max(1, Math.floor(value.limit / (4 * holderCount)));
      expect(Math.min(...holders) >= minimum).toEqual(true);
    }));
  });

  it("does not depend on the order of the proxies", () => {
    fc.assert(fc.property(budget, (value) => {
      const reversed = { ...value, demands: [...value.demands].reverse() };
      expect(splitBudget(reversed)).toEqual(splitBudget(value));
    }));
  });

  it("never reduces the share of a proxy whose demand rises", () => {
    fc.assert(fc.property(
      budget,
      fc.nat(),
      fc.integer({ min: 1, max: 300 }),
      (value, pick, rise) => {
        const index = pick % value.demands.length;
        const risen = value.demands.map((item, place) =>
          place === index ? { ...item, wanted: item.wanted + rise } : item
        );
        const { proxy } = value.demands[index]!;
        const before = splitBudget(value).get(proxy)!;
        const after = splitBudget({ ...value, demands: risen }).get(proxy)!;
        expect(after >= before).toEqual(true);
      },
    ));
  });

  it("adds at most one holder when a proxy leaves", () => {
    fc.assert(fc.property(budget, fc.nat(), (value, pick) => {
      if (value.demands.length < 2) return;
      const index = pick % value.demands.length;
      const left = value.demands.filter((_, place) => place !== index);
      const after = splitBudget({ ...value, demands: left });
      const gained = [...splitBudget(value)]
        .filter(([proxy, share]) => share === 0 && after.get(proxy)! > 0);
      expect(gained.length <= 1).toEqual(true);
    }));
  });

  it("covers all demands when the limit is sufficient", () => {
    const shares = splitBudget({
      database: "stock",
      instance: "stock-1",
      limit: 20,
      demands: [
        { proxy: "a", wanted: 12 },
        { proxy: "b", wanted: 3 },
        { proxy: "c", wanted: 0 },
        { proxy: "d", wanted: 0 },
      ],
    });
    expect(shares.get("a")! >= 12).toEqual(true);
    expect(shares.get("b")! >= 3).toEqual(true);
  });
});
