import { describe, it } from "node:test";
import { expect } from "earl";
import { chooseCandidate, promote } from "../src/plugins/failover/promotion.ts";
import { assess } from "../src/plugins/failover/suspicion.ts";
import { switchoverTarget } from "../src/plugins/failover/switchover.ts";
import type { GroupView, InstanceView } from "../src/plugins/health/health.ts";
import {
  createInstance,
  createStatus,
  FakeDatabaseGroup,
} from "./fixtures/fake_database_group.ts";
import { createGroup, createTestLog } from "./fixtures/fake_platform.ts";

const NOW_MS = 10_000;
const instances = ["a", "b", "c"].map((name) => createInstance(name));
const group = createGroup(instances);

describe("failure detection", () => {
  const primary = createStatus({ role: "primary" });
  const connected = createStatus({ source: "a", hearsSource: true });
  const cutOff = createStatus({ source: "a", hearsSource: false });
  const fenced = createStatus({ role: "fenced", seenTerm: 2 });

  it("suspects a silent primary from which the replicas receive nothing", () => {
    const view = createView([[primary, 3], [cutOff, 0], [cutOff, 0]]);
    expect(assess(view, NOW_MS)).toEqual({
      kind: "suspected",
      reason: "silent",
    });
  });

  it("suspects a primary only after three failed probes", () => {
    const view = createView([[primary, 2], [cutOff, 0], [cutOff, 0]]);
    expect(assess(view, NOW_MS).kind).toEqual("not-suspected");
  });

  it("withholds failover while the replicas receive from the primary", () => {
    const view = createView([[primary, 9], [connected, 0], [connected, 0]]);
    expect(assess(view, NOW_MS)).toEqual({
      kind: "withheld",
      reason: "replicas hear it",
    });
  });

  it("withholds failover when one of two replicas receives from the primary", () => {
    const view = createView([[primary, 9], [connected, 0], [cutOff, 0]]);
    expect(assess(view, NOW_MS).kind).toEqual("withheld");
  });

  it("withholds failover when only a minority is reachable", () => {
    const view = createView([[primary, 9], [cutOff, 0], [cutOff, 1]]);
    expect(assess(view, NOW_MS)).toEqual({
      kind: "withheld",
      reason: "no majority reachable",
    });
  });

  it("does not count an instance with an outdated status as reachable", () => {
    const view = createView([[primary, 9], [cutOff, 0], [cutOff, 0]], 600);
    expect(assess(view, NOW_MS).kind).toEqual("withheld");
  });

  it("suspects a group that a proposer left fenced", () => {
    const view = createView([[undefined, 9], [fenced, 0], [fenced, 0]]);
    expect(assess(view, NOW_MS)).toEqual({
      kind: "suspected",
      reason: "absent",
    });
  });

  it("withholds failover from a primary that never responded while the replicas receive from it", () => {
    const view = createView([[undefined, 9], [connected, 0], [connected, 0]]);
    expect(assess(view, NOW_MS).kind).toEqual("withheld");
  });

  it("suspects a primary that responds but from which no replica receives", () => {
    const view = createView([[primary, 0], [cutOff, 0], [cutOff, 0]]);
    expect(assess(view, NOW_MS)).toEqual({
      kind: "suspected",
      reason: "isolated",
    });
  });
});

describe("switchover target", () => {
  const primary = createStatus({ role: "primary" });
  const replica = createStatus({ source: "a", hearsSource: true });
  const statuses = [[primary, 0], [replica, 0], [replica, 0]] as const;

  it("is the preferred instance only when it is healthy", () => {
    const view = createView(statuses, 10, { preferredPrimary: "c" });
    expect(switchoverTarget(view, NOW_MS)?.name).toEqual("c");
    const failing = [[primary, 0], [replica, 0], [replica, 2]] as const;
    const other = createView(failing, 10, { preferredPrimary: "c" });
    expect(switchoverTarget(other, NOW_MS)).toEqual(undefined);
  });

  it("is undefined while the primary is healthy and no instance is preferred", () => {
    expect(switchoverTarget(createView(statuses), NOW_MS)).toEqual(undefined);
  });

  it("is another instance when the primary is leaving", () => {
    const view = createView(statuses);
    const leaving = view.instances.map((item, index) => ({
      ...item,
      leaving: index === 0,
    }));
    expect(switchoverTarget({ ...view, instances: leaving }, NOW_MS)?.name)
      .toEqual("b");
  });

  it("is undefined while another proxy holds writes for its own switchover", () => {
    const view = createView(statuses);
    const leaving = view.instances.map((item, index) =>
      index === 0 ? { ...item, leaving: true } : item
    );
    const switching = { ...view, instances: leaving, switching: true };
    expect(switchoverTarget(switching, NOW_MS)).toEqual(undefined);
  });
});

describe("promotion", () => {
  const createControl = () => {
    const control = new FakeDatabaseGroup();
    control.statuses.set("b", createStatus({ received: 110n }));
    control.statuses.set("c", createStatus({ received: 120n }));
    return control;
  };
  const runPromotion = (control: FakeDatabaseGroup, term = 2) =>
    promote({
      group,
      control,
      log: createTestLog(),
      term,
      preference: () => 0,
    });

  it("promotes the instance with the most advanced log of the majority", async () => {
    const result = await runPromotion(createControl());
    expect(result._unsafeUnwrap().primary.name).toEqual("c");
  });

  it("prefers a log with a higher last term over a longer log", () => {
    const vote = (name: string, lastTerm: number, received: bigint) => ({
      instance: createInstance(name),
      reply: { lastTerm, received, termStarts: [] },
    });
    const votes = [vote("a", 1, 900n), vote("b", 2, 100n)];
    expect(chooseCandidate(votes, () => 0).instance.name).toEqual("b");
  });

  it("fails without a majority and promotes no instance", async () => {
    const control = createControl();
    control.statuses.delete("b");
    expect((await runPromotion(control)).isErr()).toEqual(true);
    expect(control.promotions).toEqual([]);
  });

  it("does not count the vote of an instance that lost its log", async () => {
    const control = createControl();
    const empty = { lastTerm: 0, termStarts: [], received: 0n, applied: 0n };
    control.statuses.set("b", createStatus(empty));
    expect((await runPromotion(control)).isErr()).toEqual(true);
  });

  it("fails at a term that an instance of the required majority has already seen", async () => {
    const control = createControl();
    control.statuses.set("b", createStatus({ seenTerm: 2 }));
    expect((await runPromotion(control)).isErr()).toEqual(true);
  });
});

/** Creates a view of instances a, b and c from statuses and failure counts; a is the primary if its status says so. */
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
  const hasPrimary = states[0]?.[0]?.role === "primary";
  return {
    group: createGroup(instances, rest),
    instances: views,
    ...(hasPrimary ? { primary: "a" } : {}),
    term: Math.max(...states.map(([status]) => status?.seenTerm ?? 0)),
    confirmedAt: NOW_MS,
    receiveLag: 0n,
    receiveLagMs: 0,
    switching: false,
  };
}
