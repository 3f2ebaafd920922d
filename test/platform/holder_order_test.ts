import { describe, it } from "node:test";
import { expect } from "earl";
import { AccountDirectory } from "../../src/plugins/accounts/accounts.ts";
import type { LiveHost } from "../../src/plugins/leadership/coordination.ts";
import { HolderOrder } from "../../src/plugins/forwarding/holder_order.ts";
import { HolderShares } from "../../src/plugins/forwarding/holder_shares.ts";
import { computeHostWeight } from "../../src/plugins/forwarding/host_weight.ts";
import { ScheduledGroups } from "../../src/plugins/forwarding/scheduled_groups.ts";
import { localInstance } from "./fixtures/local_instance.ts";

const regions = new Map([
  ["zagreb-a", "zagreb"],
  ["zagreb-b", "zagreb"],
  ["split-a", "split"],
]);

const host = (name: string, zone: string, weight?: number): LiveHost => ({
  name,
  address: `${name}:1`,
  zone,
  channel: `${name}:2`,
  weight,
});

function createOrder(
  hosts: readonly LiveHost[],
  stopping: ReadonlySet<string> = new Set(),
) {
  const order = new HolderOrder({
    place: { regions },
    hosts: () => hosts,
    stopping: () => stopping,
  });
  return (id: string, zone = "zagreb-a") =>
    order.holders({ id, zone }).map(({ name }) => name);
}

const ids = Array.from({ length: 3_000 }, (_, index) => `i-${index}`);

describe("the order of holders", () => {
  it("prefers the instance's zone, then its region, then any host", () => {
    const far = host("far", "split-a", 1e6);
    const near = host("near", "zagreb-b");
    const here = host("here", "zagreb-a");
    expect(createOrder([far, near, here])("i-1")).toEqual(["here", "near"]);
    expect(createOrder([far, near])("i-1")).toEqual(["near", "far"]);
    expect(createOrder([far])("i-1")).toEqual(["far"]);
    expect(createOrder([])("i-1")).toEqual([]);
  });

  it("gives each host instances in proportion to its weight", () => {
    const holders = createOrder([
      host("a", "zagreb-a", 500),
      host("b", "zagreb-a", 1_500),
    ]);
    const count = ids.filter((id) => holders(id)[0] === "b").length;
    expect(Math.abs(count / ids.length - 0.75) < 0.03).toEqual(true);
  });

  // Guards against connections that move between hosts which have nothing to do with a change.
  it("changes only what a host that goes has held", () => {
    const all = "abcdef".split("").map((name) => host(name, "zagreb-a"));
    const before = createOrder(all);
    const after = createOrder(all.filter(({ name }) => name !== "c"));
    for (const id of ids) {
      const [holder, standby] = before(id);
      expect(after(id)[0]).toEqual(holder === "c" ? standby! : holder!);
    }
  });

  // Guards against a host that can't be asked: its release knows no channels, or it stops.
  it("leaves out hosts without channels and those that stop, unless all stop", () => {
    const old = { ...host("old", "zagreb-a"), channel: undefined };
    const hosts = [old, host("a", "zagreb-a"), host("b", "zagreb-a")];
    for (const id of ids.slice(0, 50)) {
      expect(createOrder(hosts)(id).toSorted()).toEqual(["a", "b"]);
      expect(createOrder(hosts, new Set(["a"]))(id)).toEqual(["b"]);
      expect(createOrder(hosts, new Set(["a", "b"]))(id).length).toEqual(2);
    }
  });

  it("has weights by the lesser of processor and link", () => {
    expect(computeHostWeight({ processor: 1.2, link: 140 })).toEqual(3_000);
    expect(computeHostWeight({ processor: 1.2, link: 7 })).toEqual(287);
    expect(computeHostWeight({})).toEqual(2_500);
  });
});

describe("the rule where holders are used", () => {
  const rows = (count: number) => ({
    hosts: () =>
      new Map(Array.from({ length: count }, (_, index) => [
        `h-${index}`,
        { version: 1, value: { incarnation: "x", address: "a:1" } },
      ])),
  });
  const table = (accounts?: AccountDirectory) => ({
    table: {
      version: 1,
      routes: new Map(),
      groups: new Map([["g", { name: "g", connectionsPerInstance: 73 }]]),
      accounts,
      transactionIdleTimeout: 1,
      startupTimeout: 1,
    },
  });
  const isScheduled = (hosts: number, accounts?: AccountDirectory) =>
    new ScheduledGroups({
      routes: table(accounts),
      coordination: rows(hosts),
      channels: { endpoint: "a:2" },
    }).isScheduled("g");

  it("is the same as before with at least as many connections as hosts", () => {
    expect(isScheduled(73)).toEqual(false);
    expect(isScheduled(74)).toEqual(true);
  });

  it("applies to all groups where callers have accounts", () => {
    expect(isScheduled(1, new AccountDirectory([]))).toEqual(true);
  });

  it("applies to no group of a host without channels", () => {
    const rule = new ScheduledGroups({
      routes: table(new AccountDirectory([])),
      coordination: rows(144),
      channels: { endpoint: undefined },
    });
    expect(rule.isScheduled("g")).toEqual(false);
  });

  // Guards against plans that open more connections than an instance accepts.
  it("plans no more connections than an instance accepts", () => {
    const hosts = "abcd".split("").map((name) => host(name, "zagreb-a"));
    const order = new HolderOrder({
      place: { regions },
      hosts: () => hosts,
      stopping: () => new Set(),
    });
    for (let limit = 2; limit < 100; limit += 1) {
      const planned = hosts.map(({ name }) => {
        const shares = new HolderShares({
          proxy: name,
          directory: { get: () => localInstance(1) },
          routes: {
            table: {
              ...table().table,
              groups: new Map([["ledger", {
                name: "ledger",
                connectionsPerInstance: limit,
              }]]),
            },
          },
          order,
        });
        const role = shares.role("i-1");
        return { role, share: shares.share("i-1") };
      });
      const sum = planned.filter(({ role }) => role !== "other")
        .reduce((total, { share }) => total + share, 0);
      expect(sum <= limit).toEqual(true);
      expect(planned.filter(({ role }) => role === "other").length).toEqual(2);
    }
  });
});
