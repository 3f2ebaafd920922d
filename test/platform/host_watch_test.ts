import { describe, it } from "node:test";
import { expect } from "earl";
import { createEventLog } from "../../src/kernel/events.ts";
import { HostWatch } from "../../src/plugins/leadership/host_watch.ts";
import { FakeCoordination, FakeStore } from "./fixtures/fake_coordination.ts";

function createRing(names: readonly string[], dead: ReadonlySet<string>) {
  const store = new FakeStore();
  const probes: string[] = [];
  const watches = names.map((name) => {
    const coordination = new FakeCoordination(name, store);
    return new HostWatch({
      proxy: name,
      coordination,
      probe: (address) => {
        probes.push(`${name} ${address}`);
        return Promise.resolve(!dead.has(address.split(":")[0]!));
      },
      log: createEventLog("silent", {}),
    });
  });
  store.publish();
  const probeAll = async () => {
    for (const watch of watches) await watch.probeNext();
  };
  return { store, probes, probeAll };
}

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

  it("sends no probe when there is no other proxy", async () => {
    const { probes, probeAll } = createRing(["a"], new Set());
    await probeAll();
    expect(probes).toEqual([]);
  });
});
