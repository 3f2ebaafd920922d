import { describe, it } from "node:test";
import { expect } from "earl";
import { clock } from "../../src/kernel/clock.ts";
import { createEventLog } from "../../src/kernel/events.ts";
import {
  HostWatch,
  REMOVE_AFTER_MS,
  ROW_RETENTION_MS,
} from "../../src/plugins/leadership/host_watch.ts";
import { FakeCoordination, FakeStore } from "./fixtures/fake_coordination.ts";

function createRing(
  names: readonly string[],
  dead: ReadonlySet<string>,
  dividesLimits = false,
) {
  const store = new FakeStore();
  const probes: string[] = [];
  const coordinations = names.map((name) => new FakeCoordination(name, store));
  const watches = names.map((name, index) => {
    const coordination = coordinations[index]!;
    return new HostWatch({
      proxy: name,
      coordination,
      probe: (address) => {
        probes.push(`${name} ${address}`);
        return Promise.resolve(!dead.has(address.split(":")[0]!));
      },
      dividesLimits: () => dividesLimits,
      log: createEventLog("silent", {}),
    });
  });
  store.publish();
  const probeAll = async () => {
    for (const watch of watches) await watch.probeNext();
  };
  const probeFrom = async (name: string) =>
    await watches[names.indexOf(name)]!.probeNext();
  const absent = () =>
    [...store.hosts].filter(([, { value }]) => value.absentSince !== undefined)
      .map(([name]) => name).sort();
  return { store, probes, probeAll, probeFrom, absent, coordinations };
}

const numbered = (count: number) =>
  Array.from({ length: count }, (_, index) => `h${100 + index}`);

describe("HostWatch", () => {
  it("sends one probe per proxy regardless of their number", async () => {
    const names = [...Array(30).keys()].map((index) => `h${index + 10}`);
    const { probes, probeAll } = createRing(names, new Set());
    await probeAll();
    expect(probes.length).toEqual(30);
    expect(new Set(probes.map((line) => line.split(" ")[1])).size).toEqual(30);
  });

  it("marks a proxy absent after two failed probes, then probes the next one", async () => {
    const { store, probes, probeAll } = createRing(
      ["a", "b", "c"],
      new Set(["b"]),
    );
    await probeAll();
    expect(store.hosts.get("b")!.value.absentSince).toEqual(undefined);
    await probeAll();
    expect(store.hosts.get("b")!.value.absentSince !== undefined)
      .toEqual(true);
    probes.length = 0;
    await probeAll();
    expect(probes[0]).toEqual("a c:1");
    expect(store.hosts.get("c")!.value.absentSince).toEqual(undefined);
  });

  for (const count of [79, 300, 1_000]) {
    it(`finds 13 neighbours that fail together in three rounds among ${count}`, async () => {
      const names = numbered(count);
      const dead = names.slice(20, 33);
      const { absent, probeFrom } = createRing(names, new Set(dead));
      for (let round = 0; round < 3; round += 1) await probeFrom(names[19]!);
      expect(absent()).toEqual(dead);
    });
  }

  describe("a proxy that is cut off from all others", () => {
    it("marks one of them at a time", async () => {
      const names = numbered(79);
      const { absent, probeFrom } = createRing(names, new Set(names));
      await probeFrom(names[0]!);
      await probeFrom(names[0]!);
      expect(absent()).toEqual([names[1]!]);
    });

    it("does not mark again a proxy that has rewritten its row since", async () => {
      const names = numbered(3);
      const { absent, probeFrom, coordinations } = createRing(
        names,
        new Set(names),
      );
      const [first, second, third] = names;
      await probeFrom(first!);
      await probeFrom(first!);
      expect(absent()).toEqual([second!]);
      await coordinations[1]!.register();
      for (let round = 0; round < 4; round += 1) await probeFrom(first!);
      expect(absent()).toEqual([third!]);
    });
  });

  describe("the row of an absent proxy", () => {
    it("is removed by its live predecessor after a while", async (test) => {
      const names = ["a", "b", "c", "d"];
      const { store, probeAll, absent } = createRing(
        names,
        new Set(["b", "c"]),
      );
      await probeAll();
      await probeAll();
      expect(absent()).toEqual(["b", "c"]);
      await probeAll();
      const realNow = clock.now.bind(clock);
      test.mock.method(clock, "now", () => realNow() + REMOVE_AFTER_MS);
      await probeAll();
      expect([...store.hosts.keys()].sort()).toEqual(["a", "d"]);
    });

    // Guards against a part of the limits that others take over while its proxy uses it.
    it("is kept for longer where limits are divided among the rows", async (test) => {
      const { store, probeAll } = createRing(["a", "b"], new Set(["b"]), true);
      for (let round = 0; round < 3; round += 1) await probeAll();
      const realNow = clock.now.bind(clock);
      let later = ROW_RETENTION_MS - 1_000;
      test.mock.method(clock, "now", () => realNow() + later);
      await probeAll();
      expect(store.hosts.has("b")).toEqual(true);
      later = ROW_RETENTION_MS;
      await probeAll();
      expect(store.hosts.has("b")).toEqual(false);
    });
  });

  it("sends no probe when there is no other proxy", async () => {
    const { probes, probeAll } = createRing(["a"], new Set());
    await probeAll();
    expect(probes).toEqual([]);
  });
});
