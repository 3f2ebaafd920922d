import { expect } from "earl";
import { okAsync } from "neverthrow";
import { describe, it } from "node:test";
import { ConcurrencyLimit } from "../../src/plugins/connections/concurrency_limit.ts";
import { InstancePool } from "../../src/plugins/connections/instance_pool.ts";
import type { PoolMember } from "../../src/plugins/connections/pool_member.ts";

describe("the statements of a proxy at an instance", () => {
  it("begin with two, and grow with each answer while none is turned away", () => {
    const limit = new ConcurrencyLimit(() => 0);
    expect(limit.maxInFlight).toEqual(2);
    limit.recordSuccess(4);
    expect(limit.maxInFlight).toEqual(3);
    limit.recordSuccess(4);
    limit.recordSuccess(4);
    expect(limit.maxInFlight).toEqual(Infinity);
    expect(limit.pause(0)).toEqual(0);
  });

  it("are fewer after one was turned away, and only once for a burst of answers", () => {
    const limit = new ConcurrencyLimit(() => 0);
    for (let count = 0; count < 8; count += 1) limit.recordSuccess(20);
    limit.recordRejection(10, 1_000);
    expect(limit.maxInFlight).toEqual(7);
    limit.recordRejection(10, 1_010);
    expect(limit.maxInFlight).toEqual(7);
    limit.recordRejection(7, 1_100);
    expect(limit.maxInFlight).toEqual(4);
  });

  it("are never fewer than one, which then pauses", () => {
    const limit = new ConcurrencyLimit(() => 0);
    limit.recordRejection(1, 1_000);
    limit.recordRejection(1, 2_000);
    expect(limit.maxInFlight).toEqual(1);
    expect(limit.pause(2_000)).toBeLessThan(121);
    expect(limit.pause(2_200)).toEqual(0);
  });

  it("grow with answers until nothing bounds them", () => {
    const limit = new ConcurrencyLimit(() => 0);
    limit.recordRejection(2, 1_000);
    expect(limit.maxInFlight).toEqual(1);
    for (let count = 0; count < 10; count += 1) limit.recordSuccess(4);
    expect(limit.maxInFlight).toEqual(2);
    for (let count = 0; count < 60; count += 1) limit.recordSuccess(4);
    expect(limit.maxInFlight).toEqual(Infinity);
  });

  it("do not count the connections of transactions that rest", () => {
    const limit = new ConcurrencyLimit(() => 3);
    expect(limit.allows(4, 0)).toEqual(true);
    expect(limit.allows(5, 0)).toEqual(false);
    expect(limit.connections).toEqual(5);
  });
});

describe("a pool whose instance turns nothing away", () => {
  it("lends as many connections at once as its share, each to a transaction", async () => {
    const pool = new InstancePool<PoolMember>({
      target: { database: "ledger", instance: "a" },
      queueLength: 10,
      log: () => {},
      open: () => okAsync(() => createMember()),
      onFailure: () => {},
    });
    pool.setShare(5);
    const deadline = performance.now() + 1_000;
    const lent = await Promise.all([1, 2, 3, 4, 5].map(() =>
      pool.acquire({
        database: "ledger",
        instance: "a",
        priority: "normal",
        deadline,
      })
    ));
    expect(lent.every((loan) => loan.isOk())).toEqual(true);
  });
});

let memberId = 0;

function createMember(): PoolMember {
  return {
    id: memberId += 1,
    lastUsedAt: performance.now(),
    isUsable: true,
    watchIdle: () => {},
    markInUse: () => {},
    end: () => {},
    destroy: () => {},
  };
}
