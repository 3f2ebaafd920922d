import { afterEach, beforeEach, describe, it } from "node:test";
import { setTimeout as sleep } from "node:timers/promises";
import { expect } from "earl";
import { FailoverMonitor } from "../src/plugins/failover/failover_monitor.ts";
import { chooseCandidate, promote } from "../src/plugins/failover/promotion.ts";
import { judge } from "../src/plugins/failover/suspicion.ts";
import { wantedPrimary } from "../src/plugins/failover/switchover.ts";
import type { GroupView, InstanceView } from "../src/plugins/health/health.ts";
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

const DATABASE = "booking";
const NOW_MS = 10_000;
const DEADLINE_MS = 20_000;
const instances = ["a", "b", "c"].map((name) => createInstance(name));
const group = createGroup(instances);

describe("suspicion", () => {
  const primary = createStatus({ role: "primary" });
  const hearing = createStatus({ source: "a", hearsSource: true });
  const deaf = createStatus({ source: "a", hearsSource: false });
  const fenced = createStatus({ role: "fenced", seenTerm: 2 });

  it("falls on a silent primary that the replicas do not hear", () => {
    const view = createView([[primary, 3], [deaf, 0], [deaf, 0]]);
    expect(judge(view, NOW_MS)).toEqual({
      kind: "suspected",
      reason: "silent",
    });
  });

  it("waits for three failed probes", () => {
    const view = createView([[primary, 2], [deaf, 0], [deaf, 0]]);
    expect(judge(view, NOW_MS).kind).toEqual("calm");
  });

  it("is withheld while the replicas hear the primary", () => {
    const view = createView([[primary, 9], [hearing, 0], [hearing, 0]]);
    expect(judge(view, NOW_MS)).toEqual({
      kind: "withheld",
      reason: "replicas hear it",
    });
  });

  it("is withheld when one of two replicas hears the primary", () => {
    const view = createView([[primary, 9], [hearing, 0], [deaf, 0]]);
    expect(judge(view, NOW_MS).kind).toEqual("withheld");
  });

  it("is withheld when only a minority can be reached", () => {
    const view = createView([[primary, 9], [deaf, 0], [deaf, 1]]);
    expect(judge(view, NOW_MS)).toEqual({
      kind: "withheld",
      reason: "no majority reachable",
    });
  });

  it("does not take an old status for an answer", () => {
    const view = createView([[primary, 9], [deaf, 0], [deaf, 0]], 600);
    expect(judge(view, NOW_MS).kind).toEqual("withheld");
  });

  it("falls on a group that a proposer left fenced", () => {
    const view = createView([[undefined, 9], [fenced, 0], [fenced, 0]]);
    expect(judge(view, NOW_MS)).toEqual({
      kind: "suspected",
      reason: "absent",
    });
  });

  it("does not fall on a primary that was never heard while the replicas hear it", () => {
    const view = createView([[undefined, 9], [hearing, 0], [hearing, 0]]);
    expect(judge(view, NOW_MS).kind).toEqual("withheld");
  });

  it("falls on a primary that answers but that no replica hears", () => {
    const view = createView([[primary, 0], [deaf, 0], [deaf, 0]]);
    expect(judge(view, NOW_MS)).toEqual({
      kind: "suspected",
      reason: "isolated",
    });
  });
});

describe("wanted primary", () => {
  const primary = createStatus({ role: "primary" });
  const replica = createStatus({ source: "a", hearsSource: true });
  const statuses = [[primary, 0], [replica, 0], [replica, 0]] as const;

  it("is the preferred instance once it is healthy", () => {
    const view = createView(statuses, 10, { preferredPrimary: "c" });
    expect(wantedPrimary(view, NOW_MS)?.name).toEqual("c");
    const failing = [[primary, 0], [replica, 0], [replica, 2]] as const;
    const other = createView(failing, 10, { preferredPrimary: "c" });
    expect(wantedPrimary(other, NOW_MS)).toEqual(undefined);
  });

  it("is none while the primary is healthy and none is preferred", () => {
    expect(wantedPrimary(createView(statuses), NOW_MS)).toEqual(undefined);
  });

  it("is another instance when the primary leaves", () => {
    const view = createView(statuses);
    const leaving = view.instances.map((item, index) => ({
      ...item,
      leaving: index === 0,
    }));
    expect(wantedPrimary({ ...view, instances: leaving }, NOW_MS)?.name)
      .toEqual("b");
  });
});

describe("promotion", () => {
  const control = () => {
    const made = new FakeDatabaseGroup();
    made.statuses.set("b", createStatus({ received: 110n }));
    made.statuses.set("c", createStatus({ received: 120n }));
    return made;
  };
  const order = (made: FakeDatabaseGroup, term = 2) =>
    promote({
      group,
      control: made,
      log: createTestLog(),
      term,
      preference: () => 0,
    });

  it("takes the furthest log of the majority", async () => {
    const result = await order(control());
    expect(result._unsafeUnwrap().primary.name).toEqual("c");
  });

  it("puts the term of the log before its length", () => {
    const vote = (name: string, lastTerm: number, received: bigint) => ({
      instance: createInstance(name),
      reply: { lastTerm, received, termStarts: [] },
    });
    const votes = [vote("a", 1, 900n), vote("b", 2, 100n)];
    expect(chooseCandidate(votes, () => 0).instance.name).toEqual("b");
  });

  it("fails without a majority", async () => {
    const made = control();
    made.statuses.delete("b");
    expect((await order(made)).isErr()).toEqual(true);
    expect(made.promotions).toEqual([]);
  });

  it("does not count an instance that lost its log", async () => {
    const made = control();
    const empty = { lastTerm: 0, termStarts: [], received: 0n, applied: 0n };
    made.statuses.set("b", createStatus(empty));
    expect((await order(made)).isErr()).toEqual(true);
  });

  it("fails at a term that an instance has passed", async () => {
    const made = control();
    made.statuses.set("b", createStatus({ seenTerm: 2 }));
    expect((await order(made)).isErr()).toEqual(true);
  });
});

describe("proposers", () => {
  let control: FakeDatabaseGroup;
  let tableService: FakeTableService;
  let stops: (() => Promise<void>)[];

  beforeEach(() => {
    control = new FakeDatabaseGroup();
    tableService = new FakeTableService();
    stops = [];
    control.statuses.set("a", createStatus({ role: "primary" }));
    control.statuses.set("b", createStatus({ source: "a" }));
    control.statuses.set("c", createStatus({ source: "a" }));
  });

  afterEach(async () => {
    for (const stop of stops) await stop();
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
        hold: () => Promise.resolve(),
        release: () => Promise.resolve(),
      },
    });
    stops.push(() => failover.stop(), () => health.stop());
    await health.start();
    await failover.start();
    await health.primary(DATABASE, performance.now() + DEADLINE_MS);
    return health;
  };

  it("that know nothing of each other never make two primaries of one term", async () => {
    const proxies = await Promise.all(["p1", "p2", "p3", "p4"].map(startProxy));
    for (let round = 0; round < 4; round += 1) {
      const deadline = performance.now() + DEADLINE_MS;
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
      while (!isBack() && performance.now() < deadline) await sleep(20);
      expect(isBack()).toEqual(true);
    }
    const terms = control.promotions.map((item) => item.term);
    expect(new Set(terms).size).toEqual(terms.length);
  });

  it("do without the table service", async () => {
    tableService.down = true;
    const health = await startProxy("p1");
    control.statuses.delete("a");
    health.reportFailure(DATABASE, "a");
    const deadline = performance.now() + DEADLINE_MS;
    expect((await health.primary(DATABASE, deadline)).isOk()).toEqual(true);
  });

  it("publish the primary and its term", async () => {
    const health = await startProxy("p1");
    control.statuses.delete("a");
    health.reportFailure(DATABASE, "a");
    const deadline = performance.now() + DEADLINE_MS;
    const primary = (await health.primary(DATABASE, deadline))._unsafeUnwrap();
    const row = () => tableService.rows.get(`group/${DATABASE}`);
    while (!row() && performance.now() < deadline) await sleep(20);
    expect(row()?.attributes).toEqual({
      primary: primary.name,
      term: 2,
      proposer: "p1",
    });
  });

  it("bring back an instance that a failed proposal fenced", async () => {
    const health = await startProxy("p1");
    control.statuses.set("c", createStatus({ role: "fenced", seenTerm: 5 }));
    const deadline = performance.now() + DEADLINE_MS;
    const isBack = () => control.statuses.get("c")?.source !== undefined;
    while (!isBack() && performance.now() < deadline) await sleep(20);
    expect(health.view(DATABASE)?.primary).toEqual("a");
    expect(control.statuses.get("c")?.seenTerm).toEqual(6);
  });
});

/** A view with a as primary and given statuses and counts of failures. */
function createView(
  states: readonly (readonly [InstanceView["status"], number])[],
  age = 10,
  rest: Parameters<typeof createGroup>[1] = {},
): GroupView {
  const views = states.map(([status, failures], index): InstanceView => ({
    instance: instances[index]!,
    ...(status ? { status } : {}),
    statusAt: NOW_MS - age,
    failures,
    usable: failures === 0,
    leaving: false,
    slow: false,
  }));
  const leads = states[0]?.[0]?.role === "primary";
  return {
    group: createGroup(instances, rest),
    instances: views,
    ...(leads ? { primary: "a" } : {}),
    term: Math.max(...states.map(([status]) => status?.seenTerm ?? 0)),
    confirmedAt: NOW_MS,
    receiveLag: 0n,
    receiveLagMs: 0,
    switching: false,
  };
}
