import { describe } from "node:test";
import { expect } from "earl";
import { errAsync } from "neverthrow";
import { clock } from "../../src/kernel/clock.ts";
import { createFailure, ResultCodes } from "../../src/kernel/result_codes.ts";
import type { ListedInstance } from "../../src/plugins/deployment/instance_directory.ts";
import { AccountPool } from "../../src/plugins/scheduling/account_pool.ts";
import { sleep } from "../../src/utils/sleep.ts";
import {
  createConnector,
  SimulatedInstance,
  text,
} from "../platform/fixtures/simulated_instance.ts";
import { itInVirtualTime as it } from "../platform/fixtures/virtual_time.ts";

const WORK_MS = 10;

interface Work {
  readonly rank?: number;
  readonly timeout?: number;
  readonly useful?: number;
}

/** A pool of a simulated instance, and callers' statements on it. */
function createPool(share: number, { slots = 4, rejected = "" } = {}) {
  const shape = {
    slots,
    queue: 40,
    connections: share,
    handshake: 12,
    delay: 0.2,
  };
  const instance = new SimulatedInstance(shape, false);
  const connector = createConnector(new Map([["i", instance]]), shape, {
    workOf: () => WORK_MS,
    accountOf: (id) => id,
  });
  const pool: AccountPool = new AccountPool({
    target: { database: "g", instance: "i" },
    queueLength: 100,
    log: () => {},
    open: (account) =>
      account !== undefined && account === rejected
        ? errAsync(createFailure(ResultCodes.UPSTREAM_UNREACHABLE, "rejected"))
        : connector.open({ id: "i" } as ListedInstance, { account }),
    onFailure: () => {},
    limit: {
      current: slots,
      lastChange: { reason: "start", pace: slots, at: 0 },
      allows: (inFlight) => inFlight < slots,
      remainingPause: () => 0,
      recordHeldBack: () => {},
      record: () => {},
    },
  });
  pool.setShare(share);
  const acquire = (
    account: string | undefined,
    { rank, timeout = 20_000, useful = 10_000 }: Work = {},
  ) =>
    pool.acquire({
      database: "g",
      instance: "i",
      priority: "normal",
      account,
      rank: account === undefined ? rank : rank ?? 0,
      deadline: clock.now() + timeout,
      usefulUntil: clock.now() + useful,
    });
  /** Runs one statement; returns the failure if there is one. */
  const run = async (account: string | undefined, work?: Work) => {
    const acquired = await acquire(account, work);
    if (acquired.isErr()) return acquired.error;
    const link = acquired.value;
    await link.run({ id: account, operation: text("x") }, clock.now() + 5_000);
    link.release();
    return undefined;
  };
  /** Opens a transaction that rests. */
  const begin = async (account: string) => {
    const link = (await acquire(account))._unsafeUnwrap();
    await link.begin({ readOnly: false }, clock.now() + 1_000);
    return link;
  };
  return { pool, instance, run, begin };
}

const times = <T>(count: number, create: (index: number) => T) =>
  Array.from({ length: count }, (_, index) => create(index));

describe("AccountPool", () => {
  describe("connections", () => {
    // Guards against a statement that runs, and is counted, for another account.
    it("carry statements of their own account only, through reuse, close and reopen", async () => {
      const { pool, instance, run } = createPool(4);
      const play = () =>
        Promise.all(times(300, async (index) => {
          await sleep(Math.random() * 2_000);
          return await run(`account-${index % 9}`);
        }));
      await play();
      pool.close(createFailure(ResultCodes.SHUTTING_DOWN, "closed"));
      expect((await run("account-1"))?.code).toEqual(
        ResultCodes.SHUTTING_DOWN,
      );
      pool.reopen();
      const failures = await play();
      expect(failures.filter((failure) => failure !== undefined)).toEqual([]);
      expect(instance.foreign).toEqual(0);
      expect(new Set(instance.openings).size).toEqual(9);
    });

    // Guards against refused connections, and against those of other hosts that find no place.
    it("never exceed the share, those that open and close included", async () => {
      const { pool, instance, run } = createPool(5);
      const play = () =>
        Promise.all(times(200, (index) => run(`account-${index % 20}`)));
      const playing = play();
      for (let share = 5; share > 0; share -= 1) {
        pool.setShare(share);
        await sleep(150);
        instance.peakConnections = instance.connections;
        await sleep(150);
        expect(instance.peakConnections).toBeLessThanOrEqual(share);
      }
      await playing;
      expect(instance.overConnections).toEqual(0);
    });

    // Guards against a connection that is opened for each statement of accounts that take turns.
    it("are reused while that delays nobody for longer than opening one", async () => {
      const { instance, run } = createPool(6);
      const waits = new Map<string, number>();
      const busy = times(12, async (index) => {
        const account = `account-${index}`;
        for (let count = 0; count < 40; count += 1) {
          const since = clock.now();
          await Promise.all([run(account), run(account)]);
          const wait = clock.now() - since;
          waits.set(account, Math.max(wait, waits.get(account) ?? 0));
        }
      });
      await Promise.all(busy);
      expect(instance.ran).toEqual(960);
      expect(instance.opened).toBeLessThan(960 / 3);
      // A round of all accounts takes 24 statements of 10 ms and 12 openings in 4 slots.
      expect(Math.max(...waits.values())).toBeLessThan(3 * 96);
    });

    it("are lent to statements of the proxy itself, which open one only if there is none", async () => {
      const { pool, instance, run } = createPool(3);
      await run(undefined);
      expect(instance.openings).toEqual([undefined]);
      await run("a");
      await Promise.all([run(undefined), run("a"), run(undefined)]);
      expect(instance.openings).toEqual([undefined, "a"]);
      pool.setShare(0);
      await sleep(10);
      expect((await run(undefined))?.code).toEqual(
        ResultCodes.UPSTREAM_REFUSED,
      );
    });

    it("of the proxy's own name serve callers without an account", async () => {
      const { instance, run } = createPool(3);
      await run("a");
      await Promise.all(times(4, () => run(undefined, { rank: 0 })));
      const [first, ...others] = instance.openings;
      expect([first, ...new Set(others)]).toEqual(["a", undefined]);
    });
  });

  describe("when all connections rest in transactions", () => {
    // Guards against callers that learn only at their deadline that they won't be served.
    it("tells newcomers at once and waiters while they can still retry", async () => {
      const { pool, run, begin } = createPool(3);
      for (const _ of times(4, () => 0)) {
        const link = await begin("long");
        await sleep(900);
        link.release();
      }
      await Promise.all(["a", "b", "c"].map((account) => begin(account)));
      const waiting = run("d", { timeout: 6_000, useful: 2_000 });
      const since = clock.now();
      const refused = await run("e", { timeout: 6_000, useful: 1_000 });
      expect(clock.now() - since).toEqual(0);
      expect(refused?.code).toEqual(ResultCodes.QUEUE_FULL);
      expect(refused?.message ?? "").toMatchRegex(/; retry in \d+ ms$/);
      expect((await waiting)?.code).toEqual(ResultCodes.QUEUE_DEADLINE);
      expect(clock.now() - since).toBeLessThan(2_100);
      expect(pool.load).toEqual(3);
    });
  });

  // Guards against a write that runs outside its transaction.
  it("sends no statement of a transaction after its rollback", async () => {
    const { instance, run, begin } = createPool(2, { slots: 1 });
    const link = await begin("a");
    for (const _ of times(3, () => 0)) void run("b");
    await sleep(1);
    const deadline = clock.now() + 5_000;
    const statements = times(
      3,
      () => link.run({ id: "a", operation: text("w") }, deadline),
    );
    const rollback = link.rollback(deadline);
    const results = await Promise.all(statements);
    const unsent = results.filter((result) =>
      result.isErr() && result.error.notSent !== undefined
    );
    expect(unsent.length).toBeGreaterThan(0);
    expect((await rollback).isOk()).toEqual(true);
    link.release();
    await sleep(1_000);
    expect(instance.ran).toEqual(2 + 3 + 3 - unsent.length);
  });

  // Guards against one account that stops the openings for all others.
  it("refuses an account that the instance rejects, and serves the others", async () => {
    const { run } = createPool(3, { rejected: "bad" });
    await run("good-0");
    const outcomes: (string | undefined)[] = [];
    for (const index of times(40, (one) => one)) {
      void run("bad").then((failure) => outcomes.push(failure?.code.name));
      expect(await run(`good-${index % 5}`)).toEqual(undefined);
    }
    expect(outcomes.length).toEqual(40);
    expect(outcomes.every((name) => name === "queue-full")).toEqual(true);
  });
});
