import { describe } from "node:test";
import { expect } from "earl";
import { type EventKind, EventLog } from "../../src/kernel/events.ts";
import { createEventLog } from "../../src/kernel/events.ts";
import { InstanceDirectory } from "../../src/plugins/deployment/instance_directory.ts";
import { ActiveRoutes } from "../../src/plugins/deployment/routes.ts";
import { CachedRows } from "../../src/plugins/leadership/cached_rows.ts";
import { Holders } from "../../src/plugins/forwarding/holders.ts";
import { HolderService } from "../../src/plugins/forwarding/holder_service.ts";
import { HolderStop } from "../../src/plugins/forwarding/holder_stop.ts";
import { ForwardingCounters } from "../../src/plugins/forwarding/forwarding_counters.ts";
import { LocalWork } from "../../src/plugins/forwarding/local_work.ts";
import { FakeNetwork } from "./fixtures/fake_channels.ts";
import { FakeInstance, FakePools } from "./fixtures/holder_hosts.ts";
import { localInstance } from "./fixtures/local_instance.ts";
import { itInVirtualTime as it } from "./fixtures/virtual_time.ts";

const sleep = (ms: number) => new Promise((resolve) => setTimeout(resolve, ms));

/** The hosts' rows, which all hosts of a test see at once. */
class Rows extends CachedRows {
  #version = 0;

  put(name: string, incarnation = "1"): void {
    this.#version += 1;
    this.putRow(this.hostRows, name, {
      version: this.#version,
      value: {
        incarnation,
        address: `${name}:1`,
        zone: "zagreb-a",
        channel: `${name}:2`,
      },
    });
    this.notifyListeners();
  }

  drop(name: string): void {
    this.removeRow(this.hostRows, name);
    this.notifyListeners();
  }
}

interface Line {
  readonly event: number;
  readonly [field: string]: unknown;
}

/** Hosts that share rows, with two connections less than there are hosts. */
function createHosts(names: readonly string[]) {
  const network = new FakeNetwork();
  const rows = new Rows();
  const directory = new InstanceDirectory();
  directory.put(localInstance(1));
  const routes = new ActiveRoutes();
  const hosts = names.map((name) => {
    const lines: Line[] = [];
    const log: EventLog = createEventLog("silent", {});
    log.write = (kind: EventKind, fields) =>
      void lines.push({ event: kind.number, ...fields });
    const channels = network.add(name);
    const holders = new Holders({
      place: { proxy: name, zone: "zagreb-a", regions: new Map() },
      routes,
      directory,
      coordination: rows,
      channels,
      log,
    });
    const service = new HolderService({
      channels,
      directory,
      shares: holders.shares,
      work: new LocalWork(new FakePools(name, new FakeInstance()), {
        onRequest: () => {},
        onAnswer: () => {},
        onFailure: () => {},
      }),
      transactionIdleTimeout: () => undefined,
      counters: new ForwardingCounters(),
    });
    const stop = new HolderStop({
      proxy: name,
      channels,
      holders,
      service,
      log,
    });
    holders.start();
    service.start();
    stop.start();
    return { name, lines, holders, stop };
  });
  for (const name of names) rows.put(name);
  const limit = (connectionsPerInstance: number, version: number) => {
    const group = { name: "ledger", connectionsPerInstance };
    routes.updateIfNewer({
      version,
      routes: new Map(),
      groups: new Map([["ledger", group]]),
      transactionIdleTimeout: 1_000,
      startupTimeout: 1_000,
    });
    for (const { holders } of hosts) holders.refresh();
  };
  limit(100, 1);
  limit(names.length - 2, 2);
  const order = () => hosts[0]!.holders.order.holders(localInstance(1));
  const byName = (name: string) => hosts.find((host) => host.name === name)!;
  return { hosts, rows, limit, order, byName };
}

describe("what a host knows of holders", () => {
  // Guards against changes of holders that leave no trace, and against a log that they flood.
  it("is logged in one line for each change, with the reason", async () => {
    const { hosts, rows, order, limit } = createHosts(["a", "b", "c", "d"]);
    const names = order().map(({ name }) => name);
    const [holder] = names;
    for (let turn = 0; turn < 5; turn += 1) hosts[0]!.holders.refresh();
    rows.drop(holder!);
    rows.put(holder!, "2");
    limit(40, 3);
    await sleep(1);
    const changes = hosts[0]!.lines.filter(({ event }) => event === 620);
    expect(changes.map(({ reason }) => reason)).toEqual([
      "few hosts hold the connections for all",
      `${holder} is absent`,
      `${holder} has joined`,
      "each host has its own connections",
    ]);
    const { instance, holder: first, standby, role } = changes[0]!;
    expect([instance, first, standby]).toEqual(["i-1", ...names]);
    expect(role).toEqual(hosts[0]!.holders.shares.role("i-1"));
  });
});

describe("a host that stops as planned", () => {
  it("announces it to its successors, which take over at once", async () => {
    const { hosts, order, byName } = createHosts([..."abcdefgh"]);
    const [holder, standby] = order().map(({ name }) => name);
    const stopping = byName(holder!);
    const before = stopping.holders.scheduledShare("i-1");
    await stopping.stop.drain();
    await sleep(10);
    expect(before).toEqual(4);
    expect(stopping.holders.scheduledShare("i-1")).toEqual(1);
    const successor = byName(standby!);
    expect(successor.holders.shares.role("i-1")).toEqual("holder");
    const told = hosts.filter(({ lines }) =>
      lines.some(({ event, reason }) =>
        event === 620 && reason === `${holder} stops`
      )
    );
    // The new standby, too; the others learn it with their next request.
    expect(told.length >= 3).toEqual(true);
  });

  // Guards against a host that holds nothing any more after a restart.
  it("holds again once it has started again", async () => {
    const { order, byName, rows } = createHosts(["a", "b", "c", "d"]);
    const [holder] = order().map(({ name }) => name);
    const stopping = byName(holder!);
    await stopping.stop.drain();
    await sleep(10);
    rows.drop(holder!);
    rows.put(holder!, "2");
    expect(order()[0]!.name).toEqual(holder!);
  });
});
