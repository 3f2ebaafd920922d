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
    rank: 2,
    isPublic: false,
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

/** A group whose two replicas both lag: the offered load needs 3.6 slots of the 3 available. */
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

/** Fractions of the requests answered in time and late, and the median time to a rejection in ms. */
function summarize(result: LoadResult, { route }: LoadKind) {
  const kind = result.kinds.get(route.database)!;
  const rejectionTimes = kind.refusedAfter.toSorted((a, b) => a - b);
  return {
    inTime: kind.inTime / kind.asked,
    late: kind.late / kind.asked,
    toldAfter: rejectionTimes[Math.floor(rejectionTimes.length / 2)] ?? 0,
  };
}

describe("a group whose primary serves alone, at a load a third above its capacity", () => {
  for (const connections of [40, 222]) {
    describe(`with ${connections} connections for 24 proxies`, () => {
      let result: LoadResult;
      before(async () => {
        result = await playLoad({ ...load, connections });
      });

      it("serves high priority first, and as much of the rest as the slots allow", () => {
        expect(summarize(result, bookings).inTime).toBeGreaterThan(0.85);
        expect(summarize(result, stock).inTime).toBeGreaterThan(0.6);
        expect(summarize(result, returns).inTime).toBeGreaterThan(0.6);
      });

      it("answers less than 10% late and keeps the slots busy", () => {
        expect(summarize(result, stock).late).toBeLessThan(0.1);
        expect(summarize(result, returns).late).toBeLessThan(0.1);
        expect(result.worked).toBeGreaterThan(0.9);
      });

      it("rejects the rest immediately", () => {
        expect(summarize(result, stock).toldAfter).toBeLessThan(50);
        expect(summarize(result, returns).toldAfter).toBeLessThan(50);
      });

      it("queues statements in the proxies rather than at the instance", () => {
        expect(result.busy / result.ran).toBeLessThan(0.25);
        expect(result.overConnections / result.ran).toBeLessThan(0.5);
      });
    });
  }
});

describe("a group with spare capacity", () => {
  it("serves all requests in time and rejects none", async () => {
    const kinds = load.kinds.map((kind) => ({ ...kind, rate: kind.rate / 3 }));
    const result = await playLoad({ ...load, kinds, until: 12_000 });
    for (const kind of kinds) {
      expect(summarize(result, kind).inTime).toBeGreaterThan(0.97);
    }
    expect(result.busy).toEqual(0);
    expect(result.opened).toBeLessThan(3 * load.proxies);
  });
});

describe("a group whose callers all reconnect at once", () => {
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

      it("serves high priority first, and most of the rest", () => {
        expect(summarize(result, bookings).inTime).toBeGreaterThan(0.85);
        for (const kind of [stock, returns]) {
          const { inTime, late } = summarize(result, kind);
          expect(inTime + late).toBeGreaterThan(0.7);
        }
      });

      it("opens few connections, since opening one occupies a slot", () => {
        expect(result.opened).toBeLessThan(3 * 34);
        expect(result.overConnections).toBeLessThan(4 * 34);
      });

      it("queues statements in the proxies rather than at the instance", () => {
        expect(result.busy / result.ran).toBeLessThan(0.5);
      });
    });
  }
});
