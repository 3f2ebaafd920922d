import { COORDINATION_TABLE } from "../../platform/coordination_keys.ts";
import { beforeEach, describe } from "node:test";
import { expect } from "earl";
import fc from "fast-check";
import { StoreCoordination } from "../../platform/store_coordination.ts";
import { createEventLog } from "../../src/kernel/events.ts";
import type { GroupRecord } from "../../src/plugins/leadership/coordination.ts";
import { Rows } from "../../standins/metadata_store/rows.ts";
import { MemoryStore, type WriteFate } from "./fixtures/memory_store.ts";
import { itInVirtualTime as it } from "./fixtures/virtual_time.ts";

const log = createEventLog("silent", {});
const settle = () => new Promise((resolve) => setImmediate(resolve));

const record: GroupRecord = {
  phase: "changing",
  primary: "p",
  term: 1,
  holder: "a",
  holderLife: "a",
  planned: false,
  expiresAt: 1e12,
  operation: "x",
};

/** A proxy's coordination, whose feed is polled by the test. */
class Proxy {
  readonly name: string;
  readonly store: MemoryStore;
  coordination: StoreCoordination;
  #version: number | undefined;

  constructor(name: string, rows: Rows) {
    this.name = name;
    this.store = new MemoryStore(rows);
    this.coordination = this.#create();
  }

  /** Starts a new run of the same proxy. */
  restart(): void {
    this.coordination = this.#create();
    this.#version = undefined;
  }

  /** Reads the table or its changes once; resolves to whether the store answered. */
  async poll(): Promise<boolean> {
    const full = this.#version === undefined;
    const reply = full
      ? await this.store.read(COORDINATION_TABLE)
      : await this.store.feed(COORDINATION_TABLE, this.#version!, 0);
    if (reply.isErr()) return false;
    const { rows, version } = reply.value;
    if (full) this.coordination.replaceAll(rows, version);
    else for (const row of rows) this.coordination.change(row);
    this.#version = version;
    this.coordination.confirmed(reply.value);
    await settle();
    return true;
  }

  /** Polls until the proxy is registered. */
  async register(): Promise<void> {
    for (let turn = 0; turn < 3 && !this.isRegistered; turn += 1) {
      await this.poll();
    }
  }

  get isRegistered(): boolean {
    return this.coordination.confirmedAt > -Infinity;
  }

  #create(): StoreCoordination {
    return new StoreCoordination({
      proxy: this.name,
      row: { address: `${this.name}:1`, channel: `${this.name}:2`, weight: 7 },
      store: this.store,
      notices: {
        announce: () => {},
        acknowledge: () => Promise.resolve(false),
      },
      delegation: {
        delegate: () => Promise.resolve({ kind: "failed" }),
      },
      log,
    });
  }
}

describe("the rows that proxies share through the store", () => {
  let rows: Rows;
  const hostKeys = () =>
    rows.read(COORDINATION_TABLE, "host/").map(({ key }) => key)
      .filter((key) => key.startsWith("host/"));

  beforeEach(() => {
    rows = new Rows();
  });

  // Guards against rows of other releases that make hosts vanish or be taken for holders.
  it("tell a host's channels and weight, and are valid without", async () => {
    const proxy = new Proxy("a", rows);
    await proxy.register();
    const old = { incarnation: "x", address: "b:1", zone: "zagreb-a" };
    const odd = { ...old, channel: 7, weight: -1 };
    await proxy.store.write({
      table: COORDINATION_TABLE,
      puts: { "host/old": old, "host/odd": odd },
    });
    await proxy.poll();
    const known = proxy.coordination.liveHosts()
      .map(({ name, channel, weight }) => [name, channel, weight])
      .toSorted();
    expect(known).toEqual([
      ["a", "a:2", 7],
      ["odd", undefined, undefined],
      ["old", undefined, undefined],
    ]);
  });

  describe("a full read", () => {
    it("does not replace a row that was written since", async () => {
      const proxy = new Proxy("a", rows);
      await proxy.register();
      const old = (await proxy.store.read(COORDINATION_TABLE))._unsafeUnwrap();
      const written = await proxy.coordination.putGroup("ledger", 0, record);
      proxy.coordination.replaceAll(old.rows, old.version);
      expect(proxy.coordination.group("ledger")?.version)
        .toEqual(written._unsafeUnwrap().version);
    });

    it("drops rows that are gone", async () => {
      const [a, b] = [new Proxy("a", rows), new Proxy("b", rows)];
      await a.register();
      await b.register();
      await a.poll();
      expect([...a.coordination.hosts().keys()]).toEqual(["a", "b"]);
      await b.coordination.deregister();
      const now = (await a.store.read(COORDINATION_TABLE))._unsafeUnwrap();
      a.coordination.replaceAll(now.rows, now.version);
      expect([...a.coordination.hosts().keys()]).toEqual(["a"]);
    });
  });

  describe("marks of absent proxies", () => {
    it("are written for more proxies than one transaction holds", async () => {
      const proxies = Array.from(
        { length: 120 },
        (_, index) => new Proxy(`h${index}`, rows),
      );
      for (const proxy of proxies) await proxy.register();
      const [marker, ...others] = proxies;
      await marker!.poll();
      const names = others.map(({ name }) => name);
      const written = await marker!.coordination.markAbsent(names);
      expect(written.isOk()).toEqual(true);
      await marker!.poll();
      const marked = names.filter((name) =>
        marker!.coordination.absentFor(name) !== undefined
      );
      expect(marked.length).toEqual(119);
    });

    it("are dated by the proxy that sees them, not by the one that wrote them", async () => {
      const [a, b, c] = ["a", "b", "c"].map((name) => new Proxy(name, rows));
      for (const proxy of [a!, b!, c!]) await proxy.register();
      await a!.poll();
      a!.store.fate = "delayed";
      void a!.coordination.markAbsent(["b"]);
      await new Promise((resolve) => setTimeout(resolve, 30));
      await a!.store.applyDelayed();
      await c!.poll();
      expect(c!.coordination.absentFor("b")).toEqual(0);
      await new Promise((resolve) => setTimeout(resolve, 20));
      expect(c!.coordination.absentFor("b")).toEqual(20);
    });
  });

  describe("a proxy whose row is gone", () => {
    it("is not confirmed until it has registered again", async () => {
      const [a, b] = [new Proxy("a", rows), new Proxy("b", rows)];
      await a.register();
      await b.register();
      await a.poll();
      await a.coordination.markAbsent(["b"]);
      await a.poll();
      const removed = await a.coordination.removeAbsent(["b"]);
      expect(removed.isOk()).toEqual(true);
      expect(hostKeys()).toEqual(["host/a"]);
      b.store.fate = "refused";
      await b.poll();
      expect(b.isRegistered).toEqual(false);
      b.store.fate = "applied";
      await new Promise((resolve) => setTimeout(resolve, 350));
      await b.poll();
      await b.poll();
      expect(b.isRegistered).toEqual(true);
    });

    it("keeps its row if it has rewritten it before the removal", async () => {
      const [a, b] = [new Proxy("a", rows), new Proxy("b", rows)];
      await a.register();
      await b.register();
      await a.poll();
      await a.coordination.markAbsent(["b"]);
      await a.poll();
      await b.poll();
      const removed = await a.coordination.removeAbsent(["b"]);
      expect(removed._unsafeUnwrapErr().kind).toEqual("conflict");
      expect(hostKeys()).toEqual(["host/a", "host/b"]);
    });
  });

  describe("names", () => {
    // Guards against two rows under one key, and against keys that proxies of the last release don't know.
    it("have keys of their own", async () => {
      const pairs = [
        ["ledger", "client-1"],
        ["a", "b/c"],
        ["a/b", "c"],
        ["a", "b%2Fc"],
        ["a", "c"],
        ["x".repeat(190), "c"],
        [`${"x".repeat(190)}y`, "c"],
        [`${"č".repeat(120)}y`, "c"],
      ] as const;
      for (const [group, host] of pairs) {
        const proxy = new Proxy(host, rows);
        const written = await proxy.coordination.acknowledge(group, {
          version: 1,
          heardAgo: null,
        });
        expect(written.isOk()).toEqual(true);
      }
      const keys = rows.read(COORDINATION_TABLE, "").map(({ key }) => key);
      expect(keys.length).toEqual(pairs.length);
      expect(keys.includes("heeded/ledger/client-1")).toEqual(true);
    });

    it("of any length and with slashes name the group and the proxy of an acknowledgement", async () => {
      const groups = ["a", "a/b", "x".repeat(160), "x".repeat(300)];
      const hosts = ["c", "b/c", "h".repeat(60)];
      for (const group of groups) {
        for (const host of hosts) {
          const [holder, other] = ["holder", host].map((name) =>
            new Proxy(name, rows)
          );
          await holder!.register();
          const written = await holder!.coordination
            .putGroup(group, 0, { ...record, holder: "holder" });
          const { version } = written._unsafeUnwrap();
          await other!.poll();
          await other!.coordination
            .acknowledge(group, { version, heardAgo: null });
          await holder!.poll();
          expect(holder!.coordination.group(group)?.version).toEqual(version);
          expect(other!.coordination.group(group)?.version).toEqual(version);
          expect(holder!.coordination.acknowledgement(group, host)?.version)
            .toEqual(version);
          await holder!.coordination.putGroup(group, version, record);
          rows = new Rows();
        }
      }
    });

    it("that begin alike don't remove each other's acknowledgements", async () => {
      const [holder, other] = [new Proxy("h", rows), new Proxy("c", rows)];
      await other.coordination.acknowledge("a/b", {
        version: 1,
        heardAgo: null,
      });
      await holder.poll();
      await holder.coordination.putGroup("a", 0, record);
      const keys = rows.read(COORDINATION_TABLE, "").map(({ key }) => key);
      expect(keys.includes("heeded/a/b/c")).toEqual(true);
    });

    it("are removed with the next version of the group's row", async () => {
      for (const group of ["a", "x".repeat(300)]) {
        const [holder, other] = [new Proxy("h", rows), new Proxy("c", rows)];
        const acknowledgements = () =>
          rows.read(COORDINATION_TABLE, "heeded/")
            .filter(({ key }) => key.startsWith("heeded/"));
        await other.coordination
          .acknowledge(group, { version: 1, heardAgo: null });
        expect(acknowledgements().length).toEqual(1);
        await holder.poll();
        await holder.coordination.putGroup(group, 0, record);
        expect(acknowledgements()).toEqual([]);
      }
    });
  });

  it("keeps the row of a new run from a removal by the stopped one that takes effect late", async () => {
    const proxy = new Proxy("a", rows);
    await proxy.register();
    proxy.store.fate = "delayed";
    await proxy.coordination.deregister();
    proxy.store.fate = "applied";
    proxy.restart();
    await proxy.register();
    await proxy.store.applyDelayed();
    expect(hostKeys()).toEqual(["host/a"]);
  });

  describe("in any order of events", () => {
    type Step =
      | { readonly kind: "poll" | "restart"; readonly proxy: number }
      | {
        readonly kind: "mark" | "remove";
        readonly proxy: number;
        readonly other: number;
      }
      | {
        readonly kind: "fate";
        readonly proxy: number;
        readonly fate: WriteFate;
      }
      | { readonly kind: "apply"; readonly proxy: number };

    const proxyNumber = fc.nat({ max: 2 });
    const step: fc.Arbitrary<Step> = fc.oneof(
      {
        weight: 6,
        arbitrary: fc.record({
          kind: fc.constant("poll" as const),
          proxy: proxyNumber,
        }),
      },
      fc.record({ kind: fc.constant("restart" as const), proxy: proxyNumber }),
      fc.record({
        kind: fc.constantFrom("mark" as const, "remove" as const),
        proxy: proxyNumber,
        other: proxyNumber,
      }),
      fc.record({
        kind: fc.constant("fate" as const),
        proxy: proxyNumber,
        fate: fc.constantFrom<WriteFate>(
          "applied",
          "refused",
          "reply lost",
          "delayed",
        ),
      }),
      fc.record({ kind: fc.constant("apply" as const), proxy: proxyNumber }),
    );

    it("a proxy is confirmed only by a state of the store in which its row is present and unmarked", async () => {
      await fc.assert(
        fc.asyncProperty(
          fc.array(step, { maxLength: 40 }),
          async (steps) => {
            const shared = new Rows();
            const proxies = ["a", "b", "c"].map((name) =>
              new Proxy(name, shared)
            );
            for (const proxy of proxies) await proxy.register();
            for (const one of steps) {
              const proxy = proxies[one.proxy]!;
              const { coordination, store } = proxy;
              switch (one.kind) {
                case "poll": {
                  const row = shared.read(COORDINATION_TABLE, "host/")
                    .find(({ key }) => key === `host/${proxy.name}`);
                  const value = row && JSON.parse(
                    Buffer.from(row.value!, "base64").toString(),
                  );
                  await proxy.poll();
                  const present =
                    value?.incarnation === coordination.incarnation &&
                    value.absentSince === undefined;
                  if (proxy.isRegistered && !present) return false;
                  break;
                }
                case "restart":
                  proxy.restart();
                  break;
                case "mark":
                  void coordination.markAbsent([proxies[one.other]!.name]);
                  break;
                case "remove":
                  void coordination.removeAbsent([proxies[one.other]!.name]);
                  break;
                case "fate":
                  store.fate = one.fate;
                  break;
                case "apply":
                  await store.applyDelayed();
                  break;
              }
              await settle();
            }
            return true;
          },
        ),
        { numRuns: 150, seed: 18 },
      );
    });
  });
});
