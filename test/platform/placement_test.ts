import { describe, it } from "node:test";
import { expect } from "earl";
import type { ListedInstance } from "../../src/plugins/deployment/instance_directory.ts";
import { PrimarySamples } from "../../src/plugins/freshness/primary_samples.ts";
import {
  type PlacementRequest,
  ReadPlacement,
} from "../../src/plugins/placement/read_placement.ts";

const instance = (id: string, zone: string, leaving = false) =>
  ({
    id,
    group: "ledger",
    host: "10.0.0.1",
    port: 1,
    zone,
    leaving,
    claimsPrimary: id === "p",
    startedAt: 0,
  }) satisfies ListedInstance;

function createPlacement(
  instances = [
    instance("p", "split-a"),
    instance("near", "zagreb-a"),
    instance("far", "osijek-a"),
  ],
  outstanding: Readonly<Record<string, number>> = {},
) {
  const samples = new PrimarySamples();
  samples.add({ at: 100, position: { term: 1, lsn: 5n } });
  samples.add({ at: 1_000, position: { term: 1, lsn: 9n } });
  const placement = new ReadPlacement(
    { group: () => instances },
    { outstanding: (id) => outstanding[id] ?? 0 },
    {
      proxy: "zagreb-1",
      zone: "zagreb-a",
      regions: new Map([["zagreb-a", "z"], ["split-a", "s"], [
        "osijek-a",
        "o",
      ]]),
    },
  );
  const request = (
    extra: Partial<PlacementRequest> = {},
  ): PlacementRequest => ({
    group: "ledger",
    position: { term: 1, lsn: 5n },
    samples,
    primary: "p",
    primaryUsable: true,
    excluded: new Set<string>(),
    ...extra,
  });
  return { placement, samples, request };
}

describe("ReadPlacement", () => {
  it("chooses the replica in its own zone", () => {
    const { placement, request } = createPlacement();
    expect(placement.choose(request(), 1_000))
      .toEqual({ instance: "near", wait: 0 });
  });

  it("chooses a more distant replica when the near one is loaded", () => {
    const { placement, request } = createPlacement(undefined, { near: 20 });
    expect(placement.choose(request(), 1_000)?.instance).toEqual("far");
  });

  it("waits for a replica that will have the position soon", () => {
    const { placement, samples, request } = createPlacement();
    placement.recordLag(
      "near",
      { term: 1, lsn: 9n },
      undefined,
      samples,
      1_020,
    );
    const choice = placement.choose(
      request({ position: { term: 1, lsn: 9n } }),
      1_020,
    );
    expect(choice).toEqual({ instance: "near", wait: 15 });
  });

  it("skips a replica that is far behind", () => {
    const { placement, samples, request } = createPlacement();
    const position = { term: 1, lsn: 9n };
    placement.recordLag("near", position, undefined, samples, 3_000);
    samples.add({ at: 3_000, position: { term: 1, lsn: 20n } });
    const choice = placement.choose(
      request({ position: { term: 1, lsn: 20n } }),
      3_000,
    );
    expect(choice?.instance).toEqual("far");
  });

  describe("a replica that was far behind", () => {
    function createLagging() {
      const { placement, samples, request } = createPlacement();
      placement.recordLag(
        "near",
        { term: 1, lsn: 9n },
        undefined,
        samples,
        9_000,
      );
      for (let at = 9_000; at <= 12_000; at += 100) {
        const lsn = 10n + BigInt((at - 9_000) / 100);
        samples.add({ at, position: { term: 1, lsn } });
      }
      const choose = (at: number) => {
        const position = samples.covering(at - 50)!;
        return placement.choose(request({ position }), at);
      };
      return { placement, samples, choose };
    }

    it("receives one trial read at a time", () => {
      const { placement, samples, choose } = createLagging();
      expect(choose(9_100)?.instance).toEqual("far");
      expect(choose(9_500)).toEqual({ instance: "near", wait: 0 });
      expect(choose(9_510)?.instance).toEqual("far");
      placement.recordLag(
        "near",
        samples.covering(9_450)!,
        undefined,
        samples,
        9_520,
      );
      expect(choose(9_600)?.instance).toEqual("far");
    });

    it("serves again once an answer shows that it has caught up", () => {
      const { placement, samples, choose } = createLagging();
      expect(choose(10_000)?.instance).toEqual("near");
      const position = samples.covering(9_900)!;
      placement.recordAnswer("near", position, samples, 10_010);
      expect(choose(10_400)?.instance).toEqual("near");
      expect(choose(10_410)?.instance).toEqual("near");
    });
  });

  it("sends one trial read at a time to an instance that failed", () => {
    const { placement, request } = createPlacement();
    placement.recordFailure("near", 1_000);
    expect(placement.choose(request(), 1_100)?.instance).toEqual("far");
    expect(placement.choose(request(), 1_300)?.instance).toEqual("near");
    expect(placement.choose(request(), 1_301)?.instance).toEqual("far");
    placement.recordAnswer("near", undefined, request().samples, 1_310);
    expect(placement.choose(request(), 1_311)?.instance).toEqual("near");
  });

  it("skips instances that are leaving, and the primary while it is not usable", () => {
    const { placement, request } = createPlacement([
      instance("p", "zagreb-a"),
      instance("near", "zagreb-a", true),
    ]);
    expect(placement.choose(request(), 1_000)?.instance).toEqual("p");
    expect(placement.choose(request({ primaryUsable: false }), 1_000))
      .toEqual(undefined);
  });
});
