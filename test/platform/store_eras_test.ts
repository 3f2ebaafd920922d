/**
 * The eras of the platform's store: what a proxy knows, and what its writes do,
 * after the store came back from an older copy.
 *
 * @module
 */
import { describe } from "node:test";
import { expect } from "earl";
import fc from "fast-check";
import {
  COORDINATION_TABLE,
  eraKey,
} from "../../platform/coordination_keys.ts";
import { StoreCoordination } from "../../platform/store_coordination.ts";
import { StoreEras } from "../../platform/store_eras.ts";
import { clock } from "../../src/kernel/clock.ts";
import { createEventLog, type EventLog } from "../../src/kernel/events.ts";
import type { GroupRecord } from "../../src/plugins/leadership/coordination.ts";
import {
  CHANGE_TIMEOUT_MS,
  isEraSettled,
} from "../../src/plugins/leadership/era_settling.ts";
import { LEASE_MS } from "../../src/plugins/leadership/group_leadership.ts";
import { eraOf, joinEra } from "../../src/plugins/leadership/store_era.ts";
import { Rows } from "../../standins/metadata_store/rows.ts";
import { eventually } from "../support/eventually.ts";
import { MemoryStore } from "./fixtures/memory_store.ts";
import { RelayZones, type SimulatedProxy } from "./fixtures/relay_zones.ts";
import { itInVirtualTime as it } from "./fixtures/virtual_time.ts";

const log = createEventLog("silent", {});
const sleep = (duration: number) =>
  new Promise((resolve) => setTimeout(resolve, duration));
const settle = () => new Promise((resolve) => setImmediate(resolve));

/** Time in which a proxy records a new era, in ms. */
const RECORD_MS = 1_000;

const steady: GroupRecord = {
  phase: "steady",
  primary: "p",
  term: 1,
  holder: "a",
  holderLife: "a",
  planned: false,
  expiresAt: 0,
  operation: "first",
};
const changed: GroupRecord = {
  ...steady,
  primary: "r",
  term: 2,
  operation: "second",
};

describe("the era of an answer", () => {
  function createEras() {
    const lines: unknown[] = [];
    const eras = new StoreEras(
      {
        write: (_: unknown, fields: unknown) => lines.push(fields),
      } as unknown as EventLog,
    );
    return { eras, lines };
  }

  it("is the latest one if the answer has none, which is logged once it had one", () => {
    const { eras, lines } = createEras();
    expect(eras.decode(undefined)).toEqual(0);
    expect(lines).toEqual([]);
    eras.observe(eras.decode("7"));
    expect(eras.decode(undefined)).toEqual(7);
    expect(eras.decode(undefined)).toEqual(7);
    expect(lines).toEqual([
      { before: 0, era: 7 },
      { era: "none", taken: 7 },
    ]);
  });

  it("is the latest one if the answer's can't be read", () => {
    for (const text of ["", "-1", "1.5", "x", "9".repeat(6), "1 2"]) {
      const { eras, lines } = createEras();
      eras.observe(3);
      expect(eras.decode(text)).toEqual(3);
      expect(lines.length).toEqual(2);
    }
  });

  it("is refused once a later one is known", () => {
    const { eras } = createEras();
    expect(eras.observe(5)).toEqual(true);
    expect(eras.observe(4)).toEqual(false);
    expect(eras.current).toEqual(5);
  });

  it("orders versions before their number does", () => {
    fc.assert(
      fc.property(
        fc.nat({ max: 90_000 }),
        fc.nat({ max: 90_000 }),
        fc.nat(),
        fc.nat(),
        (era, otherEra, version, otherVersion) => {
          const one = joinEra(era, version);
          const other = joinEra(otherEra, otherVersion);
          const expected = era === otherEra
            ? Math.sign(version - otherVersion)
            : Math.sign(era - otherEra);
          return Math.sign(one - other) === expected && eraOf(one) === era;
        },
      ),
      { seed: 36 },
    );
  });
});

describe("proxies that follow the store", () => {
  const put = (rows: Rows, table: string, key: string, value: object) =>
    rows.apply({
      puts: [{
        table,
        key,
        value: Buffer.from(JSON.stringify(value)).toString("base64"),
      }],
    });
  const putConfiguration = (
    rows: Rows,
    version: number,
    databases: readonly string[],
  ) =>
    put(rows, "op", "config", {
      version,
      routes: databases.map((host) => ({
        host,
        service: "ledger",
        kind: "primary",
        timeoutMs: 1_000,
      })),
      services: [{ name: "ledger", maxConnections: 20 }],
    });
  const putInstance = (rows: Rows, id: string, state = "ready", sequence = 1) =>
    put(rows, "servers", id, {
      service: "ledger",
      address: "10.0.0.1:1",
      zone: "zone-0",
      state,
      dbRole: "replica",
      born: 1,
      sequence,
    });

  async function start(count: number, zoneCount: number) {
    const rows = new Rows();
    putConfiguration(rows, 1, ["booking", "stock"]);
    putInstance(rows, "i-1");
    const zones = new RelayZones(rows, count, zoneCount);
    for (const proxy of zones.proxies) proxy.start();
    await eventually(
      () => zones.proxies.every(({ routes }) => routes.table !== undefined),
      "all proxies have read the configuration",
    );
    await sleep(5_000);
    return { rows, zones };
  }

  /** Puts rows that have nothing to do with the proxies, so that the copy's versions are passed. */
  const fill = (rows: Rows, count: number) => {
    for (let turn = 0; turn < count; turn += 1) put(rows, "x", `${turn}`, {});
  };

  // Guards against a version that the store gives out again, behind which a dropped route stays in use.
  for (const [count, zoneCount] of [[7, 7], [12, 2]] as const) {
    it(`drop a route that the operator drops after the drill, ${count} of them in ${zoneCount} zones`, async () => {
      const { rows, zones } = await start(count, zoneCount);
      const copy = rows.copy();
      fill(rows, 40);
      await sleep(3_000);
      rows.restore(copy);
      await sleep(2_000);
      putConfiguration(rows, 2, ["booking"]);
      await sleep(3_000);
      const still = zones.proxies.filter(({ routes }) =>
        routes.table?.routes.has("stock")
      );
      expect(still.map(({ name }) => name)).toEqual([]);
    });
  }

  // Guards against a feed that is asked again at once, since the store lacks its version and the full read is dropped.
  it("call the store no more than before the drill", async () => {
    const { rows, zones } = await start(6, 6);
    const copy = rows.copy();
    fill(rows, 40);
    await sleep(5_000);
    const callsIn = async (duration: number) => {
      const before = zones.storeCalls;
      await sleep(duration);
      return zones.storeCalls - before;
    };
    const usual = await callsIn(10_000);
    rows.restore(copy);
    const after = await callsIn(10_000);
    // For each proxy: three waits that end early, three full reads, a record of the era and a feed that shows one.
    expect(after <= usual + 6 * (3 + 3 + 2)).toEqual(true);
  });

  // Guards against a lost row that its own proxy never misses.
  it("register again if the copy lacks their rows, and are known to all", async () => {
    const rows = new Rows();
    const empty = rows.copy();
    putConfiguration(rows, 1, ["booking"]);
    const zones = new RelayZones(rows, 5, 5);
    for (const proxy of zones.proxies) proxy.start();
    await sleep(5_000);
    rows.restore(empty);
    await sleep(4_000);
    const keys = rows.read(COORDINATION_TABLE, "host/")
      .filter(({ key }) => key.startsWith("host/"));
    expect(keys.length).toEqual(5);
    for (const { coordination } of zones.proxies) {
      expect(coordination.hosts().size).toEqual(5);
      expect(clock.now() - coordination.confirmedAt < 2_000).toEqual(true);
    }
  });

  // Guards against a lease that answers renew which were thrown away.
  it("take no confirmation from an answer of an earlier era", async () => {
    const { rows, zones } = await start(3, 3);
    const [proxy] = zones.proxies;
    rows.restore(rows.copy());
    await sleep(3_000);
    expect(clock.now() - proxy!.coordination.confirmedAt < LEASE_MS)
      .toEqual(true);
    rows.era -= 1;
    await sleep(50);
    const { confirmedAt } = proxy!.coordination;
    await sleep(5_000);
    expect(proxy!.coordination.confirmedAt).toEqual(confirmedAt);
  });

  // Guards against an entry of the copy that takes back that an instance is leaving.
  it("know that an instance is leaving whose entry is that of before", async () => {
    const { rows, zones } = await start(4, 2);
    const copy = rows.copy();
    putInstance(rows, "i-1", "draining", 9);
    await sleep(3_000);
    const isLeaving = ({ directory }: SimulatedProxy) =>
      directory.get("i-1")?.leaving;
    expect(zones.proxies.map(isLeaving)).toEqual([true, true, true, true]);
    rows.restore(copy);
    await sleep(3_000);
    expect(zones.proxies.map(isLeaving)).toEqual([true, true, true, true]);
    putInstance(rows, "i-1", "ready", 10);
    await sleep(3_000);
    expect(zones.proxies.map(isLeaving)).toEqual([false, false, false, false]);
  });

  // Guards against a dropped route that is served again by a host that joins before the operator has written again.
  it("use no older configuration than another one knows, when they start after the drill", async () => {
    const rows = new Rows();
    putConfiguration(rows, 1, ["booking", "stock"]);
    const zones = new RelayZones(rows, 7, 1);
    const [fresh, ...others] = zones.proxies;
    for (const proxy of others) proxy.start();
    await sleep(5_000);
    const copy = rows.copy();
    putConfiguration(rows, 2, ["booking"]);
    await sleep(5_000);
    rows.restore(copy);
    await sleep(1_000);
    fresh!.start();
    await sleep(2_000);
    expect(fresh!.routes.table?.version).toEqual(2);
  });

  // Guards against living instances that are dropped since the copy is older than their entries.
  it("go on using an instance whose entry comes back within two seconds", async () => {
    const rows = new Rows();
    putConfiguration(rows, 1, ["booking"]);
    const copy = rows.copy();
    putInstance(rows, "i-1");
    const zones = new RelayZones(rows, 4, 2);
    for (const proxy of zones.proxies) proxy.start();
    await sleep(4_000);
    rows.restore(copy);
    await sleep(2_000);
    putInstance(rows, "i-1");
    for (let turn = 0; turn < 30; turn += 1) {
      for (const { directory } of zones.proxies) {
        expect(directory.sweep()).toEqual([]);
        expect(directory.get("i-1") !== undefined).toEqual(true);
      }
      await sleep(100);
    }
  });
});

describe("the rows that proxies share", () => {
  class Proxy {
    readonly store: MemoryStore;
    readonly coordination: StoreCoordination;
    #version: number | undefined;

    constructor(name: string, rows: Rows) {
      this.store = new MemoryStore(rows);
      this.coordination = new StoreCoordination({
        proxy: name,
        row: { address: `${name}:1` },
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

    /** Reads the table, or its changes within an era. */
    async poll(): Promise<void> {
      const { eras } = this.store;
      const known = this.#version;
      const feed = known === undefined || eraOf(known) < eras.current
        ? undefined
        : await this.store.feed(COORDINATION_TABLE, known, 0);
      const isFeed = feed?.isOk() &&
        eraOf(feed.value.version) === eraOf(known!);
      const reply = isFeed ? feed : await this.store.read(COORDINATION_TABLE);
      const { rows, version } = reply._unsafeUnwrap();
      if (isFeed) { for (const row of rows) this.coordination.change(row); }
      else this.coordination.replaceAll(rows, version);
      this.#version = version;
      this.coordination.confirmed(reply._unsafeUnwrap());
      await settle();
    }

    async register(): Promise<this> {
      for (let turn = 0; turn < 4; turn += 1) await this.poll();
      return this;
    }
  }

  const primaryOf = ({ coordination }: Proxy) =>
    coordination.group("ledger")?.value.primary;

  async function startChanged() {
    const rows = new Rows();
    const a = await new Proxy("a", rows).register();
    const first = await a.coordination.putGroup("ledger", 0, steady);
    await a.poll();
    const copy = rows.copy();
    const { version } = first._unsafeUnwrap();
    await a.coordination.putGroup("ledger", version, changed);
    await a.poll();
    return { rows, a, copy };
  }

  // Guards against work that goes to a primary which was replaced in the lost seconds.
  it("keep the primary of a later term than the copy's", async () => {
    const { rows, a, copy } = await startChanged();
    rows.restore(copy);
    await a.poll();
    expect(primaryOf(a)).toEqual("r");
    expect(a.coordination.isGroupLost("ledger")).toEqual(true);
    await sleep(RECORD_MS);
    await a.poll();
    expect(a.coordination.isGroupLost("ledger")).toEqual(false);
    expect(primaryOf(a)).toEqual("r");
    const fresh = await new Proxy("b", rows).register();
    expect(primaryOf(fresh)).toEqual("r");
    expect(isEraSettled(fresh.coordination)).toEqual(true);
  });

  it("keep the primary of a group that the copy lacks", async () => {
    const rows = new Rows();
    const a = await new Proxy("a", rows).register();
    const copy = rows.copy();
    await a.coordination.putGroup("ledger", 0, changed);
    rows.restore(copy);
    await a.poll();
    expect(primaryOf(a)).toEqual("r");
    await sleep(RECORD_MS);
    await a.poll();
    const fresh = await new Proxy("b", rows).register();
    expect(primaryOf(fresh)).toEqual("r");
  });

  it("give way to what is written after the drill", async () => {
    const { rows, a, copy } = await startChanged();
    rows.restore(copy);
    await a.poll();
    const b = await new Proxy("b", rows).register();
    const { version } = b.coordination.group("ledger")!;
    const later = { ...changed, primary: "s", term: 3, operation: "third" };
    const written = await b.coordination.putGroup("ledger", version, later);
    expect(written.isOk()).toEqual(true);
    await a.poll();
    expect(primaryOf(a)).toEqual("s");
    expect(a.coordination.isGroupLost("ledger")).toEqual(false);
  });

  // Guards against parts of quotas that grow, since fewer proxies seem to share them.
  it("count a proxy whose row the copy lacks", async () => {
    const rows = new Rows();
    const a = await new Proxy("a", rows).register();
    const copy = rows.copy();
    await new Proxy("b", rows).register();
    await a.poll();
    rows.restore(copy);
    await a.poll();
    expect([...a.coordination.hosts().keys()].sort()).toEqual(["a", "b"]);
    expect(a.coordination.liveHosts().length).toEqual(2);
  });

  it("keep a change that was in progress", async () => {
    const rows = new Rows();
    const a = await new Proxy("a", rows).register();
    const first = await a.coordination.putGroup("ledger", 0, steady);
    const copy = rows.copy();
    const changing = { ...steady, phase: "changing", operation: "x" } as const;
    await a.coordination
      .putGroup("ledger", first._unsafeUnwrap().version, changing);
    rows.restore(copy);
    await a.poll();
    expect(a.coordination.group("ledger")?.value.phase).toEqual("changing");
    expect(a.coordination.isGroupLost("ledger")).toEqual(true);
  });

  // Guards against a proxy that goes on at a primary which a holder replaces that doesn't notice the drill either.
  it("are not relied on by a proxy that read nothing between a change and the drill", async () => {
    const rows = new Rows();
    const a = await new Proxy("a", rows).register();
    const b = await new Proxy("b", rows).register();
    const first = await a.coordination.putGroup("ledger", 0, steady);
    await b.poll();
    const copy = rows.copy();
    const changing = { ...steady, phase: "changing", operation: "x" } as const;
    await a.coordination
      .putGroup("ledger", first._unsafeUnwrap().version, changing);
    rows.restore(copy);
    await b.poll();
    const isHeld = b.coordination.group("ledger")?.value.phase === "changing" ||
      !isEraSettled(b.coordination);
    expect(isHeld).toEqual(true);
  });

  // Guards against a condition that holds for a row of another era with the same version.
  it("are not changed by a write of an earlier era that arrives late", async () => {
    const rows = new Rows();
    const a = await new Proxy("a", rows).register();
    const first = await a.coordination.putGroup("ledger", 0, steady);
    const copy = rows.copy();
    const { version } = first._unsafeUnwrap();
    await a.coordination.putGroup("ledger", version, changed);
    const { version: later } = a.coordination.group("ledger")!;
    a.store.fate = "delayed";
    void a.coordination
      .putGroup("ledger", later, { ...changed, primary: "late" });
    await settle();
    const b = await new Proxy("b", rows).register();
    rows.restore(copy);
    await b.poll();
    // The same key gets the same number again.
    for (let turn = 0; turn < 20; turn += 1) {
      const { version: present } = b.coordination.group("ledger")!;
      const record = { ...steady, operation: `again ${turn}` };
      await b.coordination.putGroup("ledger", present, record);
      await a.store.applyDelayed();
      await b.poll();
      expect(primaryOf(b) === "late").toEqual(false);
    }
    expect(primaryOf(b)).toEqual("p");
  });

  it("are not changed on a condition that was read in an earlier era", async () => {
    const { rows, a, copy } = await startChanged();
    const { version } = a.coordination.group("ledger")!;
    rows.restore(copy);
    await a.store.read(COORDINATION_TABLE);
    const written = await a.coordination.putGroup("ledger", version, changed);
    expect(written._unsafeUnwrapErr().kind).toEqual("conflict");
  });

  it("record each era once, and no longer the ones before", async () => {
    const { rows, a, copy } = await startChanged();
    for (const era of [2, 3]) {
      rows.restore(copy);
      await a.poll();
      await a.coordination.putGroup(
        "ledger",
        a.coordination.group("ledger")!.version,
        { ...changed, operation: `era ${era}` },
      );
      const keys = rows.read(COORDINATION_TABLE, "era/")
        .map(({ key }) => key).filter((key) => key.startsWith("era/"));
      expect(keys).toEqual([eraKey(era)]);
    }
  });

  describe("are settled", () => {
    it("at once for the first proxies of a new store, and for one that knew the former era", async () => {
      const rows = new Rows();
      const a = await new Proxy("a", rows).register();
      const b = await new Proxy("b", rows).register();
      expect(isEraSettled(a.coordination)).toEqual(true);
      expect(isEraSettled(b.coordination)).toEqual(true);
      rows.restore(rows.copy());
      await a.poll();
      expect(isEraSettled(a.coordination)).toEqual(true);
    });

    // Guards against a proxy that starts right after the drill and misses a change in progress.
    it("only after the longest change for one that started since", async () => {
      const { rows, copy } = await startChanged();
      rows.restore(copy);
      const fresh = new Proxy("b", rows);
      const startedAt = clock.now();
      await eventually(async () => {
        await fresh.poll();
        return fresh.coordination.eraSince !== undefined;
      });
      expect(isEraSettled(fresh.coordination)).toEqual(false);
      await eventually(async () => {
        await fresh.poll();
        return isEraSettled(fresh.coordination);
      });
      const elapsed = clock.now() - startedAt;
      expect(elapsed >= CHANGE_TIMEOUT_MS - 10).toEqual(true);
      expect(elapsed < CHANGE_TIMEOUT_MS + 2_000).toEqual(true);
    });

    it("only after the longest change for one whose lease had ended", async () => {
      const { rows, a, copy } = await startChanged();
      await sleep(4_000);
      rows.restore(copy);
      await a.poll();
      expect(isEraSettled(a.coordination)).toEqual(false);
    });
  });

  // The rule that tokens never go back, and that no later primary gives way to an earlier one.
  it("have rising versions and terms in any order of changes, drills and polls", async () => {
    type Step =
      | { readonly kind: "poll" | "change" | "restart"; readonly proxy: number }
      | { readonly kind: "copy" | "drill" };
    const proxyNumber = fc.nat({ max: 2 });
    const step: fc.Arbitrary<Step> = fc.oneof(
      {
        weight: 5,
        arbitrary: fc.record({
          kind: fc.constantFrom("poll" as const, "change" as const),
          proxy: proxyNumber,
        }),
      },
      fc.record({ kind: fc.constantFrom("copy" as const, "drill" as const) }),
    );
    await fc.assert(
      fc.asyncProperty(fc.array(step, { maxLength: 40 }), async (steps) => {
        const rows = new Rows();
        const proxies: Proxy[] = [];
        for (const name of ["a", "b", "c"]) {
          proxies.push(await new Proxy(name, rows).register());
        }
        let copy = rows.copy();
        let token = 0;
        const terms = [0, 0, 0];
        for (const one of steps) {
          if (one.kind === "copy") copy = rows.copy();
          if (one.kind === "drill") rows.restore(copy);
          if (!("proxy" in one)) continue;
          const proxy = proxies[one.proxy]!;
          if (one.kind === "poll") await proxy.poll();
          if (one.kind === "change") {
            const known = proxy.coordination.group("ledger");
            const term = (known?.value.term ?? 0) + 1;
            const written = await proxy.coordination.putGroup(
              "ledger",
              known?.version ?? 0,
              { ...steady, term, operation: `${token} ${term}` },
            );
            if (written.isErr()) continue;
            if (written.value.version <= token) return false;
            token = written.value.version;
          }
          const term = proxy.coordination.group("ledger")?.value.term ?? 0;
          if (term < terms[one.proxy]! && one.kind === "change") return false;
          terms[one.proxy] = term;
          await settle();
        }
        return true;
      }),
      { numRuns: 150, seed: 36 },
    );
  });
});
