import { describe } from "node:test";
import { setTimeout as sleep } from "node:timers/promises";
import { expect } from "earl";
import { clock } from "../src/kernel/clock.ts";
import { FailoverMonitor } from "../src/plugins/failover/failover_monitor.ts";
import { publishGroupRecord } from "../src/plugins/failover/group_record.ts";
import { HealthMonitor } from "../src/plugins/health/health_monitor.ts";
import {
  createInstance,
  createStatus,
  FakeDatabaseGroup,
} from "./fixtures/fake_database_group.ts";
import {
  createGroup,
  createTestLog,
  FakeConfiguration,
  FakeHostList,
  FakeMembership,
  FakeTableService,
} from "./fixtures/fake_platform.ts";
import { itInVirtualTime } from "./platform/fixtures/virtual_time.ts";

const DATABASE = "booking";
const DEADLINE_MS = 20_000;
const instances = ["a", "b", "c"].map((name) => createInstance(name));
const group = createGroup(instances);

describe("failover proposers", () => {
  let control: FakeDatabaseGroup;
  let tableService: FakeTableService;
  let stops: (() => Promise<void>)[];

  function setUp(): void {
    control = new FakeDatabaseGroup();
    tableService = new FakeTableService();
    stops = [];
    control.statuses.set("a", createStatus({ role: "primary" }));
    control.statuses.set("b", createStatus({ source: "a" }));
    control.statuses.set("c", createStatus({ source: "a" }));
  }

  const it = (name: string, work: () => Promise<void>) =>
    itInVirtualTime(name, async () => {
      setUp();
      try {
        await work();
      } finally {
        for (const stop of stops) await stop();
      }
    });

  const startProxy = async (name: string) => {
    const names = ["p1", "p2", "p3", "p4"];
    const configuration = new FakeConfiguration([group], names);
    const log = createTestLog(name);
    const hostList = new FakeHostList();
    const health = new HealthMonitor({
      configuration,
      hostList,
      control,
      log,
    });
    const failover = new FailoverMonitor({
      name,
      configuration,
      health,
      control,
      membership: new FakeMembership([name]),
      tableService,
      log,
      outstanding: () => 0,
      announcer: {
        hold: () => Promise.resolve(true),
        release: () => Promise.resolve(),
      },
    });
    stops.push(() => failover.stop(), () => health.stop());
    await health.start();
    await failover.start();
    await health.primary(DATABASE, clock.now() + DEADLINE_MS);
    return health;
  };

  it("never promote two primaries in one term when they are unaware of each other", async () => {
    const proxies = await Promise.all(["p1", "p2", "p3", "p4"].map(startProxy));
    for (let round = 0; round < 4; round += 1) {
      const deadline = clock.now() + DEADLINE_MS;
      const before = await proxies[0]!.primary(DATABASE, deadline);
      const { name } = before._unsafeUnwrap();
      const killed = control.statuses.get(name)!;
      control.statuses.delete(name);
      for (const proxy of proxies) proxy.reportFailure(DATABASE, name);
      for (const proxy of proxies) {
        const after = await proxy.primary(DATABASE, deadline);
        expect(after.isOk()).toEqual(true);
        expect(after._unsafeUnwrap().name).not.toEqual(name);
      }
      control.statuses.set(name, killed);
      const isBack = () => control.statuses.get(name)?.role === "replica";
      while (!isBack() && clock.now() < deadline) await sleep(20);
      expect(isBack()).toEqual(true);
    }
    const terms = control.promotions.map((item) => item.term);
    expect(new Set(terms).size).toEqual(terms.length);
  });

  it("fail over while the table service is unavailable", async () => {
    tableService.down = true;
    const health = await startProxy("p1");
    control.statuses.delete("a");
    health.reportFailure(DATABASE, "a");
    const deadline = clock.now() + DEADLINE_MS;
    expect((await health.primary(DATABASE, deadline)).isOk()).toEqual(true);
  });

  it("publish the new primary, its term and the proposer", async () => {
    const health = await startProxy("p1");
    control.statuses.delete("a");
    health.reportFailure(DATABASE, "a");
    const deadline = clock.now() + DEADLINE_MS;
    const primary = (await health.primary(DATABASE, deadline))._unsafeUnwrap();
    const row = () => tableService.rows.get(`group/production/${DATABASE}`);
    while (!row() && clock.now() < deadline) await sleep(20);
    expect(row()?.attributes).toEqual({
      primary: primary.name,
      term: 2,
      proposer: "p1",
    });
  });

  // Guards against a record of trial that stands for production, since both environments have the database.
  it("publish the primary beside that of another environment", async () => {
    const record = { database: DATABASE, primary: "t", proposer: "p9" };
    const log = createTestLog("p9");
    await publishGroupRecord(tableService, log, {
      ...{ ...record, environment: "trial", term: 9 },
    });
    await publishGroupRecord(tableService, log, {
      ...{ ...record, environment: "production", primary: "a", term: 2 },
    });
    const terms = [...tableService.rows.values()]
      .map(({ attributes: { primary, term } }) => [primary, term]);
    expect(terms).toEqual([["t", 9], ["a", 2]]);
  });

  it("reattach an instance that a failed proposal left fenced", async () => {
    const health = await startProxy("p1");
    control.statuses.set("c", createStatus({ role: "fenced", seenTerm: 5 }));
    const deadline = clock.now() + DEADLINE_MS;
    const isBack = () => control.statuses.get("c")?.source !== undefined;
    while (!isBack() && clock.now() < deadline) await sleep(20);
    expect(health.view(DATABASE)?.primary).toEqual("a");
    expect(control.statuses.get("c")?.seenTerm).toEqual(6);
  });
});
