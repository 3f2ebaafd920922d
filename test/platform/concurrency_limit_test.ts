import { expect } from "earl";
import { okAsync } from "neverthrow";
import { describe, it } from "node:test";
import { clock } from "../../src/kernel/clock.ts";
import { ResultCodes } from "../../src/kernel/result_codes.ts";
import { ConcurrencyLimit } from "../../src/plugins/connections/concurrency_limit.ts";
import { InstancePool } from "../../src/plugins/connections/instance_pool.ts";
import type { PoolMember } from "../../src/plugins/connections/pool_member.ts";
import { createSuspension } from "../support/suspension.ts";

describe("ConcurrencyLimit", () => {
  it("starts at two and grows by one per success until the first rejection", () => {
    const limit = new ConcurrencyLimit(() => 0);
    expect(limit.maxInFlight).toEqual(2);
    limit.recordSuccess(4);
    expect(limit.maxInFlight).toEqual(3);
    limit.recordSuccess(4);
    limit.recordSuccess(4);
    expect(limit.maxInFlight).toEqual(Infinity);
    expect(limit.remainingPause(0)).toEqual(0);
  });

  it("decreases after a rejection, only once for a burst of rejections", () => {
    const limit = new ConcurrencyLimit(() => 0);
    for (let count = 0; count < 8; count += 1) limit.recordSuccess(20);
    limit.recordRejection(10, 1_000);
    expect(limit.maxInFlight).toEqual(7);
    limit.recordRejection(10, 1_010);
    expect(limit.maxInFlight).toEqual(7);
    limit.recordRejection(7, 1_100);
    expect(limit.maxInFlight).toEqual(4);
  });

  it("never falls below one, and pauses after a rejection at that limit", () => {
    const limit = new ConcurrencyLimit(() => 0);
    limit.recordRejection(1, 1_000);
    limit.recordRejection(1, 2_000);
    expect(limit.maxInFlight).toEqual(1);
    expect(limit.remainingPause(2_000)).toBeLessThan(121);
    expect(limit.remainingPause(2_200)).toEqual(0);
  });

  it("grows with successes until it is lifted", () => {
    const limit = new ConcurrencyLimit(() => 0);
    limit.recordRejection(2, 1_000);
    expect(limit.maxInFlight).toEqual(1);
    for (let count = 0; count < 10; count += 1) limit.recordSuccess(4);
    expect(limit.maxInFlight).toEqual(2);
    for (let count = 0; count < 60; count += 1) limit.recordSuccess(4);
    expect(limit.maxInFlight).toEqual(Infinity);
  });

  it("does not count the connections of mostly idle transactions", () => {
    const limit = new ConcurrencyLimit(() => 3);
    expect(limit.allows(4, 0)).toEqual(true);
    expect(limit.allows(5, 0)).toEqual(false);
    expect(limit.maxInUse).toEqual(5);
  });
});

describe("a pool without a concurrency limit", () => {
  it("provides as many connections at once as its share", async () => {
    const pool = createPool();
    pool.setShare(5);
    const deadline = clock.now() + 1_000;
    const results = await Promise.all([1, 2, 3, 4, 5].map(() =>
      pool.acquire({
        database: "ledger",
        instance: "a",
        priority: "normal",
        deadline,
      })
    ));
    expect(results.every((result) => result.isOk())).toEqual(true);
  });
});

describe("a pool of an instance", () => {
  // Guards against statements that are sent for callers that have given up during a suspension of the host.
  it("gives no connection to a statement whose deadline has passed", async (test) => {
    const suspend = createSuspension(test);
    const pool = createPool();
    pool.setShare(1);
    const acquire = (timeout: number) =>
      pool.acquire({
        database: "ledger",
        instance: "a",
        priority: "normal",
        deadline: clock.now() + timeout,
      });
    const held = (await acquire(1_000))._unsafeUnwrap();
    const queued = acquire(100);
    const patient = acquire(10_000);
    suspend(500);
    pool.onReleased(held);
    const late = await queued;
    expect(late.isErr() && late.error.code).toEqual(ResultCodes.QUEUE_DEADLINE);
    expect((await patient).isOk()).toEqual(true);
    pool.onReleased(held);
    const expired = await acquire(0);
    expect(expired.isErr() && expired.error.code)
      .toEqual(ResultCodes.QUEUE_DEADLINE);
  });
});

function createPool(): InstancePool<PoolMember> {
  return new InstancePool<PoolMember>({
    target: { database: "ledger", instance: "a" },
    queueLength: 10,
    log: () => {},
    open: () => okAsync(() => createMember()),
    onFailure: () => {},
  });
}

let memberId = 0;

function createMember(): PoolMember {
  return {
    id: memberId += 1,
    lastUsedAt: clock.now(),
    isUsable: true,
    watchIdle: () => {},
    markInUse: () => {},
    end: () => {},
    destroy: () => {},
  };
}
