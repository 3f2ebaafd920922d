import { describe, test } from "node:test";
import { expect } from "earl";
import { FairQueue } from "../../src/plugins/scheduling/fair_queue.ts";
import { clock } from "../../src/kernel/clock.ts";
import {
  itInVirtualTime as it,
  runInVirtualTime,
} from "../platform/fixtures/virtual_time.ts";
import { sleep } from "../../src/utils/sleep.ts";

/** A queue whose waiters settle with their account, or with "expired". */
function createQueue(length = 100) {
  const queue = new FairQueue<string>(length);
  const settled: string[] = [];
  const add = (account: string, rank = 0, timeout = 60_000) => {
    const deadline = clock.now() + timeout;
    const waiting = queue.wait({ account, rank, deadline }, () => "expired");
    void waiting.then((outcome) => settled.push(`${outcome} ${account}`));
  };
  /** Serves the first waiter, which uses a slot for a time in ms. */
  const serve = (slotTime: (account: string) => number = () => 10) => {
    const [first] = queue.order();
    queue.serve(first!, 10);
    queue.charge(first!.account, first!.rank, slotTime(first!.account) - 10);
    return `${first!.account}${first!.rank}`;
  };
  return { queue, settled, add, serve };
}

const times = (count: number) => Array.from({ length: count }, (_, i) => i);

describe("FairQueue", () => {
  describe("order", () => {
    // Guards against a large account that takes the slots of a small one by many or long statements.
    it("shares slot time, not statements, among the accounts of a rank", () => {
      const { add, serve } = createQueue();
      for (const _ of times(40)) {
        ["long", "short"].forEach((name) => add(name));
      }
      const served = times(36)
        .map(() => serve((account) => account === "long" ? 50 : 10));
      expect(served.filter((name) => name === "long0").length).toEqual(6);
    });

    it("serves a lower rank number first, and an account in order of arrival", async () => {
      const { queue, settled, add } = createQueue();
      add("c", 2);
      add("a", 1);
      add("a", 0);
      add("b", 0);
      for (const [index] of times(4).entries()) {
        const [first] = queue.order();
        queue.serve(first!, 10);
        first!.settle(`${index}: ${first!.rank}`);
      }
      await Promise.resolve();
      expect(settled).toEqual(["0: 0 a", "1: 0 b", "2: 1 a", "3: 2 c"]);
    });

    // Guards against an account that returns from a pause and holds up all others, or waits for them.
    it("serves an account that was idle next, but only once for each turn of the others", () => {
      const { add, serve } = createQueue();
      for (const _ of times(20)) ["a", "b"].forEach((name) => add(name));
      for (const _ of times(10)) serve();
      for (const _ of times(5)) add("late");
      const served = times(9).map(() => serve());
      expect(served.slice(0, 3).includes("late0")).toEqual(true);
      expect(served.filter((name) => name === "late0").length).toEqual(3);
    });

    // Guards against a rank that never runs while those above it use all slots.
    it("gives one grant of eight to a rank that has waited a second", async () => {
      const { add, serve } = createQueue();
      for (const account of ["x", "y"]) times(4).map(() => add(account, 2));
      await sleep(999);
      for (const _ of times(60)) add("a", 0);
      expect(times(8).map(() => serve()).includes("x2")).toEqual(false);
      await sleep(1);
      const served = times(32).map(() => serve())
        .filter((name) => name !== "a0");
      expect(served).toEqual(["x2", "y2", "x2", "y2"]);
    });
  });

  describe("when full", () => {
    it("evicts the last waiter of the account with most waiting in the highest rank number", () => {
      const { queue, add } = createQueue(6);
      for (const account of ["a", "b", "b", "b"]) add(account, 1);
      for (const _ of times(2)) add("a", 0);
      const evicted = queue.makeRoom("c", 1);
      expect(evicted !== "refuse" && evicted?.account).toEqual("b");
      expect(queue.countOf("b")).toEqual(2);
      expect(queue.makeRoom("c", 1)).toEqual(undefined);
    });

    it("refuses the new one if it would be the first to go", () => {
      const { queue, add } = createQueue(3);
      for (const account of ["a", "b", "b"]) add(account, 1);
      expect(queue.makeRoom("b", 1)).toEqual("refuse");
      expect(queue.makeRoom("a", 2)).toEqual("refuse");
      expect(queue.size).toEqual(3);
    });
  });

  describe("deadlines", () => {
    it("end the wait on time", async () => {
      const { queue, settled, add } = createQueue();
      add("a", 0, 200);
      await sleep(199);
      expect(settled).toEqual([]);
      await sleep(2);
      expect(settled).toEqual(["expired a"]);
      expect(queue.size).toEqual(0);
    });

    // Guards against statements that are sent for callers that gave up while the process stood still.
    test("end the wait when timers are late", () =>
      runInVirtualTime(1, 10_000, async ({ spend }) => {
        const { queue, add } = createQueue();
        add("a", 0, 200);
        add("b", 0, 2_000);
        spend(1_000);
        expect(queue.order().map(({ account }) => account)).toEqual(["b"]);
        await sleep(1);
      }));
  });

  it("estimates the slot time ahead of a new waiter", () => {
    const { queue, add, serve } = createQueue();
    for (const _ of times(10)) add("large", 1);
    for (const _ of times(4)) serve();
    add("small", 1);
    add("urgent", 0);
    const ahead = (account: string) =>
      queue.timeAhead(account, 1, (rank) => rank === 0 ? 5 : 10);
    expect(ahead("large")).toEqual(5 + 10 + 60);
    expect(ahead("small")).toEqual(5 + 20);
    expect(ahead("new")).toEqual(5 + 10);
  });
});
