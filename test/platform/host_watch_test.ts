import { describe, it } from "node:test";
import { expect } from "earl";
import { createEventLog } from "../../src/kernel/events.ts";
import { HostWatch } from "../../src/plugins/leadership/host_watch.ts";
import { FakeCoordination, FakeStore } from "./fixtures/fake_coordination.ts";

function createRing(names: readonly string[], dead: ReadonlySet<string>) {
  const store = new FakeStore();
  const asked: string[] = [];
  const watches = names.map((name) => {
    const coordination = new FakeCoordination(name, store);
    return new HostWatch({
      proxy: name,
      coordination,
      probe: (address) => {
        asked.push(`${name} ${address}`);
        return Promise.resolve(!dead.has(address.split(":")[0]!));
      },
      log: createEventLog("silent", {}),
    });
  });
  store.publish();
  const look = async () => {
    for (const watch of watches) await watch.probeNext();
  };
  return { store, asked, look };
}

describe("HostWatch", () => {
  it("sends one probe per proxy regardless of their number", async () => {
    const names = [...Array(30).keys()].map((index) => `h${index + 10}`);
    const { asked, look } = createRing(names, new Set());
    await look();
    expect(asked.length).toEqual(30);
    expect(new Set(asked.map((line) => line.split(" ")[1])).size).toEqual(30);
  });

  it("marks a proxy absent after two failed probes, then probes the next one", async () => {
    const { store, asked, look } = createRing(["a", "b", "c"], new Set(["b"]));
    await look();
    expect(store.hosts.get("b")!.value.absentSince).toEqual(undefined);
    await look();
    expect(store.hosts.get("b")!.value.absentSince !== undefined)
      .toEqual(true);
    asked.length = 0;
    await look();
    expect(asked[0]).toEqual("a c:1");
    expect(store.hosts.get("c")!.value.absentSince).toEqual(undefined);
  });

  it("sends no probe when there is no other proxy", async () => {
    const { asked, look } = createRing(["a"], new Set());
    await look();
    expect(asked).toEqual([]);
  });
});
