import { describe } from "node:test";
import { expect } from "earl";
import { err, ok, okAsync, ResultAsync } from "neverthrow";
import { clock } from "../../src/kernel/clock.ts";
import { createEventLog } from "../../src/kernel/events.ts";
import { createFailure, ResultCodes } from "../../src/kernel/result_codes.ts";
import {
  InstanceDirectory,
  type ListedInstance,
} from "../../src/plugins/deployment/instance_directory.ts";
import type { GroupRecord } from "../../src/plugins/leadership/coordination.ts";
import {
  GroupLeadership,
  LEASE_EXPIRY_WAIT_MS,
  LEASE_MS,
} from "../../src/plugins/leadership/group_leadership.ts";
import { PrimaryChange } from "../../src/plugins/leadership/primary_change.ts";
import type {
  LinkStatus,
  UpstreamLink,
} from "../../src/plugins/upstream/link.ts";
import { eventually } from "../support/eventually.ts";
import { createSuspension, setTimeOfDayBack } from "../support/suspension.ts";
import { FakeCoordination, FakeStore } from "./fixtures/fake_coordination.ts";
import { itInVirtualTime as it } from "./fixtures/virtual_time.ts";

const log = createEventLog("silent", {});
const sleep = (duration: number) =>
  new Promise((resolve) => setTimeout(resolve, duration));

const instance = (id: string, claimsPrimary = false): ListedInstance => ({
  id,
  group: "ledger",
  host: "10.0.0.1",
  port: 1,
  zone: "zagreb-a",
  leaving: false,
  claimsPrimary,
  startedAt: 0,
});

const changing: GroupRecord = {
  phase: "changing",
  primary: "p",
  term: 1,
  holder: "b",
  holderLife: "b",
  planned: false,
  expiresAt: 1e12,
  operation: "x",
};

function createProxy(name: string, store: FakeStore, roundsConfirm = false) {
  const directory = new InstanceDirectory();
  directory.replaceAll([instance("p", true), instance("r1"), instance("r2")]);
  const coordination = new FakeCoordination(name, store);
  const rounds: string[] = [];
  const terminated: string[] = [];
  const leadership = new GroupLeadership({
    group: "ledger",
    coordination,
    directory,
    rounds: {
      confirm: (_, leader) => {
        rounds.push(leader.instance);
        return Promise.resolve(roundsConfirm);
      },
    },
    terminateStatements: (id) => terminated.push(id),
    log,
  });
  coordination.subscribe(() => leadership.refresh());
  coordination.receive();
  return { directory, coordination, leadership, rounds, terminated };
}

/** Expires the lease of a proxy without waiting. */
function expireLease({ coordination }: ReturnType<typeof createProxy>): void {
  coordination.cut = true;
  coordination.confirmedAt = clock.now() - LEASE_MS - 1;
}

describe("leadership of a group", () => {
  it("falls to the only instance that claims it while there is no row", () => {
    const { leadership } = createProxy("a", new FakeStore());
    expect(leadership.current()?.instance).toEqual("p");
  });

  // Guards against a quiet group whose primary is lost before anybody has used it (review/8).
  describe("without a row", () => {
    it("stays with the only claimant once its entry is gone", () => {
      const { directory, leadership } = createProxy("a", new FakeStore());
      expect(leadership.primary).toEqual("p");
      directory.remove("p");
      directory.sweep(clock.now() + 60_000);
      expect(leadership.primary).toEqual("p");
    });

    it("is unknown if the claimant is there and no longer claims it, or several do", () => {
      const { directory, leadership } = createProxy("a", new FakeStore());
      expect(leadership.primary).toEqual("p");
      directory.put(instance("p"));
      expect(leadership.primary).toEqual(undefined);
      directory.put(instance("p", true));
      directory.put(instance("r1", true));
      expect(leadership.primary).toEqual(undefined);
    });
  });

  describe("an answer of the primary", () => {
    it("is confirmed within the lease", async () => {
      const { leadership, rounds } = createProxy("a", new FakeStore());
      const leader = leadership.current()!;
      expect(leadership.isConfirmed(leader.epoch)).toEqual(true);
      expect(await leadership.confirm(leader, clock.now() + 100))
        .toEqual(true);
      expect(rounds).toEqual([]);
    });

    // Guards against answers of a replaced primary after the host was suspended.
    it("is not confirmed after suspensions of the host that last as long as the lease together", (test) => {
      const { leadership } = createProxy("a", new FakeStore());
      const leader = leadership.current()!;
      const suspend = createSuspension(test);
      for (let slept = 0; slept <= LEASE_MS; slept += 80) {
        suspend(80);
        leadership.isConfirmed(leader.epoch);
      }
      expect(leadership.isConfirmed(leader.epoch)).toEqual(false);
    });

    it("waits for an answer of the store that was requested later", async () => {
      const proxy = createProxy("a", new FakeStore());
      const leader = proxy.leadership.current()!;
      expireLease(proxy);
      expect(proxy.leadership.isConfirmed(leader.epoch)).toEqual(false);
      setTimeout(() => {
        proxy.coordination.cut = false;
        proxy.coordination.receive();
      }, 40);
      const startedAt = clock.now();
      expect(await proxy.leadership.confirm(leader, startedAt + 1_000))
        .toEqual(true);
      expect(clock.now() - startedAt >= 40).toEqual(true);
    });

    it("is confirmed by a status round while the store is unreachable, unless the round fails", async () => {
      for (const confirms of [true, false]) {
        const proxy = createProxy("a", new FakeStore(), confirms);
        const leader = proxy.leadership.current()!;
        expireLease(proxy);
        const until = clock.now() + 400;
        expect(await proxy.leadership.confirm(leader, until))
          .toEqual(confirms);
        expect(proxy.rounds.length > 0).toEqual(true);
      }
    });

    it("is not confirmed after the proxy has released the primary, even if another proxy takes over the change", async () => {
      const store = new FakeStore();
      const proxy = createProxy("a", store);
      const leader = proxy.leadership.current()!;
      const other = new FakeCoordination("b", store);
      const first = await other.putGroup("ledger", 0, changing);
      await sleep(5);
      expect(other.acknowledgement("ledger", "a")?.version)
        .toEqual(first._unsafeUnwrap().version);
      expect(proxy.leadership.isConfirmed(leader.epoch)).toEqual(false);
      await other.putGroup("ledger", 1, { ...changing, holder: "c" })
        .then(() => other.putGroup("ledger", 2, changing));
      store.publish();
      expect(proxy.leadership.isConfirmed(leader.epoch)).toEqual(false);
      expect(await proxy.leadership.confirm(leader, clock.now() + 50))
        .toEqual(false);
    });

    it("is confirmed for running work during a planned change until that work ends", async () => {
      const store = new FakeStore();
      const proxy = createProxy("a", store);
      const leader = proxy.leadership.current()!;
      const endWork = proxy.leadership.beginWork();
      const other = new FakeCoordination("b", store);
      await other.putGroup("ledger", 0, { ...changing, planned: true });
      expect(proxy.leadership.current()).toEqual(undefined);
      expect(proxy.leadership.isConfirmed(leader.epoch)).toEqual(true);
      expect(other.acknowledgement("ledger", "a")).toEqual(undefined);
      endWork();
      await sleep(5);
      expect(other.acknowledgement("ledger", "a") !== undefined).toEqual(true);
      expect(proxy.leadership.isConfirmed(leader.epoch)).toEqual(false);
    });
  });

  // Guards against work for an instance that has been leaving for longer than it takes any (review/10).
  describe("of an instance that is leaving", () => {
    const DRAIN_MS = 7_000;
    const leaving = { ...instance("p", true), leaving: true };

    function createLeaving() {
      const proxy = createProxy("a", new FakeStore());
      proxy.directory.drainTimeout = DRAIN_MS;
      proxy.directory.put(leaving);
      return proxy;
    }

    it("goes on for a change of primary, and ends before the instance takes no more work", async () => {
      const { coordination, leadership, directory } = createLeaving();
      let usableFor = 0;
      for (let elapsed = 0; elapsed < DRAIN_MS; elapsed += 100) {
        await sleep(100);
        coordination.receive();
        // Heartbeats don't begin the time anew.
        directory.put(leaving);
        if (leadership.current()) usableFor = elapsed + 100;
      }
      expect(usableFor >= 3_500).toEqual(true);
      // The instance may have been leaving for 2.7 s when this proxy read it.
      expect(usableFor <= DRAIN_MS - 2_700).toEqual(true);
      expect(leadership.isDrained("p")).toEqual(true);
      expect(leadership.isDrained("r1")).toEqual(false);
    });

    it("goes on while the store does not answer, since nobody could replace it", async () => {
      const proxy = createLeaving();
      expireLease(proxy);
      await sleep(DRAIN_MS);
      expect(proxy.leadership.current()?.instance).toEqual("p");
    });

    it("begins anew with the next run of the instance", async () => {
      const { coordination, directory, leadership } = createLeaving();
      await sleep(DRAIN_MS);
      coordination.receive();
      expect(leadership.current()).toEqual(undefined);
      directory.put({ ...instance("p", true), startedAt: 9 });
      expect(leadership.current()?.instance).toEqual("p");
    });
  });

  it("ends when the leader reports a later term than its own", () => {
    const { leadership } = createProxy("a", new FakeStore());
    const leader = leadership.current()!;
    leadership.recordAnswer(1);
    expect(leadership.isConfirmed(leader.epoch)).toEqual(true);
    leadership.recordAnswer(2);
    expect(leadership.isConfirmed(leader.epoch)).toEqual(false);
    expect(leadership.current()).toEqual(undefined);
  });

  it("terminates statements only on a primary that has not answered recently", async () => {
    const store = new FakeStore();
    const proxy = createProxy("a", store);
    proxy.leadership.recordAnswer(1);
    const other = new FakeCoordination("b", store);
    await other.putGroup("ledger", 0, changing);
    await sleep(5);
    expect(proxy.terminated).toEqual([]);
    const silent = createProxy("c", store);
    await sleep(5);
    expect(silent.terminated).toEqual(["p"]);
  });
});

describe("a change of primary", () => {
  const status = (
    lsn: number,
    role: LinkStatus["role"] = "replica",
    term = 1,
  ) => ({
    role,
    term,
    received: { term: 1, lsn: BigInt(lsn) },
    pausedAt: 0,
    lag: 0,
    sentAt: 0,
  });

  function createChange(options: {
    readonly planned?: boolean;
    readonly setUpOthers?: (store: FakeStore) => void;
    /** Time until a connection attempt to the dead primary fails, in ms. */
    readonly connectFailureDelay?: number;
    /** Instances whose answer to a pause is lost. */
    readonly lostPauses?: readonly string[];
    /** Outcomes of the first orders, which have no effect. */
    readonly failedOrders?: readonly ("not sent" | "unsettled")[];
    /** Instances that are not running, which the platform doesn't promote. */
    readonly notRunning?: readonly string[];
    readonly synchronousReplicas?: number;
    /** Whether another instance may lead already. */
    readonly searches?: boolean;
  }) {
    const store = new FakeStore();
    const proxy = createProxy("a", store);
    options.setUpOthers?.(store);
    store.publish();
    const statuses: Record<string, LinkStatus> = {
      r1: status(7),
      r2: status(9),
    };
    const orders: string[] = [];
    const calls: string[] = [];
    const link = (id: string) => {
      const answer = (name: string) => () => {
        calls.push(`${name} ${id}`);
        return Promise.resolve(ok(statuses[id]!));
      };
      return {
        status: answer("status"),
        pause: options.lostPauses?.includes(id)
          ? () => Promise.resolve(err({ reason: "lost", silent: true }))
          : answer("pause"),
        resume: answer("resume"),
        stepDown: answer("stepDown"),
        release: () => {},
      } as unknown as UpstreamLink;
    };
    const change = new PrimaryChange({
      proxy: "a",
      leadership: proxy.leadership,
      coordination: proxy.coordination,
      directory: proxy.directory,
      pools: {
        acquire: ({ instance: id }) =>
          statuses[id] ? okAsync(link(id)) : new ResultAsync(
            sleep(options.connectFailureDelay ?? 0).then(() =>
              err(
                createFailure(
                  ResultCodes.UPSTREAM_UNREACHABLE,
                  `${id} is dead`,
                ),
              )
            ),
          ),
      },
      order: {
        promote: ({ instance, token }, _, mayStillSend) => {
          orders.push(`${instance} ${token} ${mayStillSend()}`);
          if (options.notRunning?.includes(instance)) {
            return Promise.resolve({ kind: "rejected", reason: "gone" });
          }
          const failed = options.failedOrders?.[orders.length - 1];
          if (failed) {
            return sleep(1_000).then(() => ({ kind: failed, reason: "cut" }));
          }
          statuses[instance] = status(9, "primary", 2);
          return Promise.resolve({ kind: "accepted" });
        },
      },
      synchronousReplicas: options.synchronousReplicas ?? 0,
      log,
    }, {
      searches: options.searches ?? false,
      planned: options.planned ?? false,
      text: "test",
    });
    return { store, proxy, change, orders, calls, statuses };
  }

  it("promotes the replica with the most advanced log and names it in the row", async () => {
    const { store, change, orders, calls } = createChange({});
    expect(await change.run()).toEqual("changed");
    expect(orders).toEqual(["r2 1 true"]);
    const row = store.groups.get("ledger")!.value;
    expect([row.phase, row.primary, row.term]).toEqual(["steady", "r2", 2]);
    expect(calls.filter((call) => call.startsWith("pause")).sort())
      .toEqual(["pause r1", "pause r2"]);
    expect(calls.filter((call) => call.startsWith("resume")))
      .toEqual(["resume r1"]);
    expect(calls.includes("stepDown p")).toEqual(false);
  });

  it("resumes a replica that may have paused without an answer", async () => {
    const { change, calls } = createChange({ lostPauses: ["r1"] });
    expect(await change.run()).toEqual("changed");
    expect(calls.includes("resume r1")).toEqual(true);
  });

  it("waits for a proxy that registered before the change but is not known here yet", async () => {
    const { store, proxy, change, orders } = createChange({});
    proxy.coordination.deaf = true;
    const late = createProxy("late", store);
    late.coordination.cut = true;
    const running = change.run();
    await sleep(300);
    expect(orders).toEqual([]);
    proxy.coordination.deaf = false;
    store.publish();
    await sleep(200);
    expect(orders).toEqual([]);
    late.coordination.cut = false;
    store.publish();
    expect(await running).toEqual("changed");
    expect(orders.length).toEqual(1);
  });

  // Guards against a promotion by a proxy whose change another one may have taken over.
  it("orders no promotion after its host was suspended, whatever the time of day is", async (test) => {
    const { store, change, orders } = createChange({
      setUpOthers: (shared) => {
        const silent = createProxy("b", shared);
        silent.coordination.cut = true;
      },
    });
    const suspend = createSuspension(test);
    setTimeOfDayBack(test);
    const running = change.run();
    await sleep(50);
    suspend(10_000);
    expect(await running).toEqual("lost");
    expect(orders).toEqual([]);
    expect(store.groups.get("ledger")!.value.phase).toEqual("changing");
  });

  it("writes its final row again until the store accepts it", async () => {
    const { store, proxy, change, orders } = createChange({});
    const running = change.run();
    await eventually(() => orders.length === 1);
    proxy.coordination.cut = true;
    await sleep(600);
    expect(store.groups.get("ledger")!.value.phase).toEqual("changing");
    proxy.coordination.cut = false;
    expect(await running).toEqual("changed");
    expect(store.groups.get("ledger")!.value.phase).toEqual("steady");
  });

  // Guards against a change that waits for its expiry at a proxy that can't reach the platform.
  it("is given up if its order can't be sent, so that another proxy goes on", async () => {
    const { store, change, orders } = createChange({
      failedOrders: ["not sent", "not sent", "not sent"],
    });
    const startedAt = clock.now();
    expect(await change.run()).toEqual("lost");
    expect(orders.length).toEqual(2);
    expect(clock.now() - startedAt < 4_000).toEqual(true);
    const { value } = store.groups.get("ledger")!;
    expect(value.phase).toEqual("changing");
    expect(value.expiresAt <= clock.now()).toEqual(true);
  });

  // Guards against an order that arrives after another proxy's with a higher token.
  it("is not given up once an order was sent", async () => {
    const { change, orders } = createChange({
      failedOrders: ["unsettled", "not sent"],
    });
    expect(await change.run()).toEqual("changed");
    expect(orders.length).toEqual(3);
  });

  // Guards against a row that names a primary which was told to step down, so that nobody leads.
  for (const notRunning of [["r1", "r2"], ["r1", "r2", "p"]]) {
    const isLost = notRunning.includes("p");
    it(`${isLost ? "does not name" : "promotes"} a primary that has stepped down if ${notRunning.join(", ")} can't be promoted`, async () => {
      const { store, change, calls, statuses } = createChange({
        notRunning,
        setUpOthers: (shared) => {
          const silent = createProxy("b", shared);
          silent.coordination.cut = true;
        },
      });
      statuses["p"] = status(9);
      expect(await change.run()).toEqual(isLost ? "lost" : "abandoned");
      expect(calls.includes("stepDown p")).toEqual(true);
      expect(calls.filter((call) => call.startsWith("resume")).length)
        .toEqual(2);
      const { phase, primary, term, expiresAt } =
        store.groups.get("ledger")!.value;
      expect([phase, primary, term])
        .toEqual(isLost ? ["changing", "p", 1] : ["steady", "p", 2]);
      if (isLost) expect(expiresAt <= clock.now()).toEqual(true);
    });
  }

  it("is abandoned when another proxy has just received an answer of the primary", async () => {
    const { store, change, orders } = createChange({
      setUpOthers: (shared) => {
        const witness = createProxy("b", shared);
        witness.leadership.recordAnswer(1);
      },
    });
    expect(await change.run()).toEqual("abandoned");
    expect(orders).toEqual([]);
    const row = store.groups.get("ledger")!.value;
    expect([row.phase, row.primary]).toEqual(["steady", "p"]);
  });

  it("waits for the lease of an isolated proxy and pauses the other instances first", async () => {
    const { change, orders, calls } = createChange({
      setUpOthers: (shared) => {
        const silent = createProxy("b", shared);
        silent.coordination.cut = true;
      },
    });
    const startedAt = clock.now();
    expect(await change.run()).toEqual("changed");
    expect(clock.now() - startedAt >= LEASE_EXPIRY_WAIT_MS).toEqual(true);
    expect(calls.filter((call) => call.startsWith("pause")).length).toEqual(2);
    expect(calls.includes("resume r1")).toEqual(true);
    expect(orders.length).toEqual(1);
  });

  it("does not wait for an unreachable primary to step down", async () => {
    const { change } = createChange({
      connectFailureDelay: 1_000,
      setUpOthers: (shared) => {
        const silent = createProxy("b", shared);
        silent.coordination.cut = true;
      },
    });
    const startedAt = clock.now();
    expect(await change.run()).toEqual("changed");
    const elapsed = clock.now() - startedAt - LEASE_EXPIRY_WAIT_MS;
    expect(elapsed).toBeLessThan(900);
  });

  it("orders no promotion after another proxy has taken it over", async () => {
    const { store, change, orders } = createChange({
      setUpOthers: (shared) => {
        const silent = createProxy("b", shared);
        silent.coordination.cut = true;
      },
    });
    const other = new FakeCoordination("c", store);
    const running = change.run();
    await sleep(50);
    await other.putGroup("ledger", store.groups.get("ledger")!.version, {
      ...changing,
      holder: "c",
    });
    expect(await running).toEqual("lost");
    expect(orders).toEqual([]);
  });

  it("is lost at once to a proxy that wrote its row first", async () => {
    const { store, proxy, change, orders } = createChange({});
    const other = new FakeCoordination("b", store);
    proxy.coordination.cut = true;
    await other.putGroup("ledger", 0, changing);
    proxy.coordination.cut = false;
    expect(await change.run()).toEqual("lost");
    expect(orders).toEqual([]);
  });

  // Guards against an instance that is preferred for another reason than its log, and lacks what was acknowledged (review/7).
  describe("to an instance that is ahead", () => {
    const drain = ({ proxy }: ReturnType<typeof createChange>, id: string) =>
      proxy.directory.put({ ...instance(id), leaving: true });

    for (const synchronousReplicas of [0, 1]) {
      it(`promotes it although it is leaving, with ${synchronousReplicas} synchronous replicas`, async () => {
        const setUp = createChange({ synchronousReplicas });
        drain(setUp, "r2");
        expect(await setUp.change.run()).toEqual("changed");
        expect(setUp.orders.map((order) => order.slice(0, 2))).toEqual(["r2"]);
      });
    }

    it("promotes the one that is not leaving if the logs are equal", async () => {
      const setUp = createChange({});
      setUp.statuses["r1"] = status(9);
      drain(setUp, "r2");
      expect(await setUp.change.run()).toEqual("changed");
      expect(setUp.orders.map((order) => order.slice(0, 2))).toEqual(["r1"]);
    });

    it("promotes no other one if it is not running and commits wait for a replica", async () => {
      const setUp = createChange({
        synchronousReplicas: 1,
        notRunning: ["r2"],
      });
      expect(await setUp.change.run()).toEqual("abandoned");
      expect(setUp.orders.length).toEqual(1);
    });

    it("promotes the next one if it is not running and commits wait for none", async () => {
      const setUp = createChange({ notRunning: ["r2"] });
      expect(await setUp.change.run()).toEqual("changed");
      expect(setUp.orders.length).toEqual(2);
    });

    it("asks a silent one until it answers if commits wait for a replica", async () => {
      const lostPauses = ["r2"];
      const setUp = createChange({ synchronousReplicas: 1, lostPauses });
      setTimeout(() => lostPauses.pop(), 2_000);
      expect(await setUp.change.run()).toEqual("changed");
      expect(setUp.orders.map((order) => order.slice(0, 2))).toEqual(["r2"]);
    });

    it("asks a silent one for as long as it is listed if commits wait for a replica", async () => {
      const setUp = createChange({
        synchronousReplicas: 1,
        lostPauses: ["r2"],
      });
      const { directory } = setUp.proxy;
      setTimeout(() => {
        directory.remove("r2");
        directory.sweep(clock.now() + 60_000);
      }, 3_000);
      expect(await setUp.change.run()).toEqual("changed");
      expect(setUp.orders.map((order) => order.slice(0, 2))).toEqual(["r1"]);
    });
  });

  // Guards against a planned change that loses what a replica has not received.
  describe("that is planned", () => {
    function createPlanned(received: number) {
      const setUp = createChange({ planned: true });
      setUp.statuses["p"] = status(9, "primary");
      setUp.statuses["r1"] = status(received);
      setUp.proxy.directory.put({ ...instance("r2"), leaving: true });
      return setUp;
    }

    it("is not begun while only a leaving replica has the whole log", async () => {
      const { store, change, orders } = createPlanned(7);
      expect(await change.run()).toEqual("postponed");
      expect(orders).toEqual([]);
      expect(store.groups.get("ledger")).toEqual(undefined);
    });

    it("is abandoned if the replica falls behind meanwhile", async () => {
      const setUp = createPlanned(9);
      const other = new FakeCoordination("b", setUp.store);
      other.subscribe(() => {
        setUp.statuses["p"] = status(12, "primary");
      });
      expect(await setUp.change.run()).toEqual("abandoned");
      expect(setUp.orders).toEqual([]);
      expect(setUp.calls.some((call) => call.startsWith("pause")))
        .toEqual(false);
      const row = setUp.store.groups.get("ledger")!.value;
      expect([row.phase, row.primary]).toEqual(["steady", "p"]);
    });

    // Guards against a row that names the old primary again, after a holder that is gone had another one promoted.
    it("names an instance that leads already, though the old primary is ahead and it is leaving", async () => {
      const { store, change, orders, statuses } = createPlanned(7);
      statuses["p"] = status(12, "primary");
      statuses["r2"] = status(9, "primary", 2);
      expect(await change.run()).toEqual("changed");
      expect(orders).toEqual([]);
      const { phase, primary, term } = store.groups.get("ledger")!.value;
      expect([phase, primary, term]).toEqual(["steady", "r2", 2]);
    });

    it("promotes a replica that has the whole log", async () => {
      const { change, orders } = createPlanned(9);
      expect(await change.run()).toEqual("changed");
      expect(orders.map((order) => order.slice(0, 2))).toEqual(["r1"]);
    });
  });

  // Guards against a group that is not served for good since its row and entries don't name the primary.
  describe("of a group whose primary is not known", () => {
    function createSearch() {
      const setUp = createChange({ searches: true });
      setUp.proxy.directory.put(instance("p"));
      return setUp;
    }

    it("names an instance that leads, without a promotion", async () => {
      const { store, change, orders, statuses } = createSearch();
      statuses["r1"] = status(9, "primary", 4);
      statuses["r2"] = status(9, "primary", 3);
      expect(await change.run()).toEqual("changed");
      expect(orders).toEqual([]);
      const { phase, primary, term } = store.groups.get("ledger")!.value;
      expect([phase, primary, term]).toEqual(["steady", "r1", 4]);
    });

    it("promotes the most advanced log above the highest term if none leads", async () => {
      const { store, change, orders, statuses } = createSearch();
      statuses["r1"] = status(7, "replica", 6);
      statuses["p"] = status(5, "replica", 1);
      statuses["r2"] = status(9, "replica", 6);
      const running = change.run();
      await eventually(() => orders.length > 0);
      statuses["r2"] = status(9, "primary", 7);
      expect(await running).toEqual("changed");
      expect(orders.map((order) => order.slice(0, 2))).toEqual(["r2"]);
      const { primary, term } = store.groups.get("ledger")!.value;
      expect([primary, term]).toEqual(["r2", 7]);
    });

    it("does not take an old primary for the leader", async () => {
      const { change, orders, statuses } = createSearch();
      statuses["p"] = status(5, "primary", 1);
      statuses["r1"] = status(7, "replica", 2);
      const running = change.run();
      await eventually(() => orders.length > 0);
      statuses["r2"] = status(9, "primary", 3);
      expect(await running).toEqual("changed");
      expect(orders.length).toEqual(1);
    });
  });
});
