import { expect } from "earl";
import { before, describe, it } from "node:test";
import type { Route } from "../../src/plugins/deployment/routes.ts";
import {
  type GroupLoad,
  type LoadKind,
  type LoadResult,
  playLoad,
} from "./fixtures/loaded_group.ts";

function createRoute(database: string, fields: Partial<Route>): Route {
  return {
    database,
    group: "g",
    consistency: "session",
    maxAge: 2_500,
    statementTimeout: 800,
    targetLatency: 800,
    priority: "normal",
    ...fields,
  };
}

const bookings: LoadKind = {
  route: createRoute("booking", {
    consistency: "primary",
    priority: "high",
    targetLatency: 400,
  }),
  rate: 33,
  work: 6,
  effect: "write",
  target: 400,
  patience: 2_500,
};
const stock: LoadKind = {
  route: createRoute("stock", {
    consistency: "bounded",
    maxAge: 1_500,
    statementTimeout: 2_000,
  }),
  rate: 33,
  work: 30,
  effect: "read",
  target: 800,
  patience: 5_000,
};
const returns: LoadKind = {
  route: createRoute("returns", {}),
  rate: 155,
  work: 18,
  effect: "read",
  target: 800,
  patience: 2_500,
};

/** The sheet's group while both replicas lag: 3.6 slots asked of 3. */
const load: GroupLoad = {
  proxies: 24,
  slots: 3,
  queue: 24,
  connections: 40,
  handshake: 12,
  delay: 10,
  lagging: 2,
  kinds: [bookings, stock, returns],
  from: 2_000,
  until: 22_000,
  seed: 1,
};

/** Parts of what was asked, and the median time to a refusal in ms. */
function summarize(result: LoadResult, { route }: LoadKind) {
  const kind = result.kinds.get(route.database)!;
  const told = kind.refusedAfter.toSorted((a, b) => a - b);
  return {
    inTime: kind.inTime / kind.asked,
    late: kind.late / kind.asked,
    toldAfter: told[Math.floor(told.length / 2)] ?? 0,
  };
}

describe("a group whose primary serves alone, asked for a third more than it can do", () => {
  for (const connections of [40, 222]) {
    describe(`with ${connections} connections for 24 proxies`, () => {
      let result: LoadResult;
      before(async () => {
        result = await playLoad({ ...load, connections });
      });

      it("serves the urgent first, and of the rest what the slots can do", () => {
        expect(summarize(result, bookings).inTime).toBeGreaterThan(0.85);
        expect(summarize(result, stock).inTime).toBeGreaterThan(0.6);
        expect(summarize(result, returns).inTime).toBeGreaterThan(0.6);
      });

      it("spends at most a tenth on answers that come late", () => {
        expect(summarize(result, stock).late).toBeLessThan(0.1);
        expect(summarize(result, returns).late).toBeLessThan(0.1);
        expect(result.worked).toBeGreaterThan(0.9);
      });

      it("tells the rest at once", () => {
        expect(summarize(result, stock).toldAfter).toBeLessThan(50);
        expect(summarize(result, returns).toldAfter).toBeLessThan(50);
      });

      it("keeps the waiting in the proxies rather than at the instance", () => {
        expect(result.busy / result.ran).toBeLessThan(0.25);
        expect(result.overConnections / result.ran).toBeLessThan(0.5);
      });
    });
  }
});

describe("a group with slots to spare", () => {
  it("serves all in time and turns nothing away", async () => {
    const kinds = load.kinds.map((kind) => ({ ...kind, rate: kind.rate / 3 }));
    const result = await playLoad({ ...load, kinds, until: 12_000 });
    for (const kind of kinds) {
      expect(summarize(result, kind).inTime).toBeGreaterThan(0.97);
    }
    expect(result.busy).toEqual(0);
    expect(result.opened).toBeLessThan(3 * load.proxies);
  });
});

describe("a group whose callers all come back at once", () => {
  const kinds = load.kinds.map((kind) => ({ ...kind, rate: 0.6 * kind.rate }));
  const surge = { time: 300, factor: 5 };
  for (const connections of [40, 222]) {
    describe(`with ${connections} connections for 34 proxies`, () => {
      let result: LoadResult;
      before(async () => {
        result = await playLoad({
          ...load,
          proxies: 34,
          connections,
          kinds,
          surge,
          from: 100,
          until: 3_000,
        });
      });

      it("serves the urgent first, and most of the rest", () => {
        expect(summarize(result, bookings).inTime).toBeGreaterThan(0.85);
        for (const kind of [stock, returns]) {
          const { inTime, late } = summarize(result, kind);
          expect(inTime + late).toBeGreaterThan(0.7);
        }
      });

      it("opens few connections, since each takes a slot", () => {
        expect(result.opened).toBeLessThan(3 * 34);
        expect(result.overConnections).toBeLessThan(4 * 34);
      });

      it("keeps the waiting in the proxies rather than at the instance", () => {
        expect(result.busy / result.ran).toBeLessThan(0.5);
      });
    });
  }
});
