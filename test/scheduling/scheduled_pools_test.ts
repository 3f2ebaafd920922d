import { describe } from "node:test";
import { expect } from "earl";
import { clock } from "../../src/kernel/clock.ts";
import { createEventLog } from "../../src/kernel/events.ts";
import { UpstreamPools } from "../../src/plugins/connections/upstream_pools.ts";
import { InstanceDirectory } from "../../src/plugins/deployment/instance_directory.ts";
import { ActiveRoutes } from "../../src/plugins/deployment/routes.ts";
import { AccountTransactions } from "../../src/plugins/scheduling/account_transactions.ts";
import { sleep } from "../../src/utils/sleep.ts";
import { localInstance } from "../platform/fixtures/local_instance.ts";
import {
  createConnector,
  SimulatedInstance,
} from "../platform/fixtures/simulated_instance.ts";
import { itInVirtualTime as it } from "../platform/fixtures/virtual_time.ts";

/** Pools of one instance, whose group's mode and share can be set. */
function createPools() {
  const shape = {
    slots: 4,
    queue: 10,
    connections: 10,
    handshake: 12,
    delay: 1,
  };
  const instance = new SimulatedInstance(shape, false);
  const mode = { isScheduled: true, share: 4 };
  const directory = new InstanceDirectory();
  const listed = localInstance(1, {});
  directory.put(listed);
  const pools = new UpstreamPools({
    directory,
    routes: new ActiveRoutes(),
    connector: createConnector(new Map([[listed.id, instance]]), shape, {
      workOf: () => 10,
    }),
    proxies: () => 1,
    log: createEventLog("silent", {}),
    onFailure: () => {},
    isScheduled: () => mode.isScheduled,
    scheduledShare: () => mode.share,
  });
  /** Opens a transaction that rests; resolves to the failure's name, or to a function that ends it. */
  const hold = async (account: string) => {
    const acquired = await pools.acquire({
      instance: listed.id,
      account,
      priority: "normal",
      rank: 0,
      deadline: clock.now() + 1_000,
    });
    if (acquired.isErr()) return acquired.error.code.name;
    const link = acquired.value;
    await link.begin({ readOnly: false }, clock.now() + 1_000);
    return () => link.release();
  };
  const release = (held: string | (() => void)) =>
    typeof held === "string" ? expect(held).toEqual("held") : held();
  return { instance, mode, hold, release };
}

describe("UpstreamPools of a scheduled group", () => {
  it("open connections by account, within the share of the moment", async () => {
    const { instance, mode, hold, release } = createPools();
    const held = await Promise.all(["a", "b", "c", "d"].map(hold));
    expect(instance.openings).toEqual(["a", "b", "c", "d"]);
    const waiting = hold("e");
    mode.share = 0;
    expect(await hold("a")).toEqual("upstream-refused");
    expect(await waiting).toEqual("upstream-refused");
    held.forEach(release);
    await sleep(10);
    expect(instance.connections).toEqual(0);
    mode.share = 1;
    release(await hold("a"));
  });

  // Guards against connections beyond the share while those of the earlier mode are still in use.
  it("count connections of the former mode until they have ended", async () => {
    const { instance, mode, hold, release } = createPools();
    const former = await Promise.all(["a", "b", "c", "d"].map(hold));
    mode.isScheduled = false;
    release(await hold("a"));
    mode.isScheduled = true;
    expect(await hold("x")).toEqual("upstream-refused");
    former.forEach(release);
    await sleep(10);
    instance.peakConnections = 0;
    (await Promise.all(["x", "y", "z"].map(hold))).forEach(release);
    expect(instance.peakConnections).toEqual(3);
  });
});

describe("AccountTransactions", () => {
  const request = (account: string, rank = 0) => {
    const now = clock.now();
    return { account, rank, deadline: now + 3_000, usefulUntil: now + 2_000 };
  };

  // Guards against an account whose resting transactions keep all others from a connection.
  it("leave slots for other accounts", async () => {
    const transactions = new AccountTransactions(20, 100);
    for (let count = 0; count < 14; count += 1) {
      void transactions.acquire(request("large"));
    }
    await sleep(1);
    expect(transactions.inUse).toEqual(10);
    const small = await transactions.acquire(request("small"));
    expect(small !== undefined).toEqual(true);
    const other = await transactions.acquire(request("other", 2));
    expect(other !== undefined).toEqual(true);
  });

  it("tell at once when a slot would come too late", async () => {
    const transactions = new AccountTransactions(1, 100);
    const first = await transactions.acquire(request("a"));
    await sleep(1_000);
    first!();
    void transactions.acquire(request("a"));
    const waiting = transactions.acquire(request("a"));
    const since = clock.now();
    expect(await transactions.acquire(request("a"))).toEqual(undefined);
    expect(clock.now() - since).toEqual(0);
    expect(await waiting).toEqual(undefined);
    expect(clock.now() - since).toBeLessThanOrEqual(2_000);
  });
});
