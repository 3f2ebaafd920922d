import { describe } from "node:test";
import { expect } from "earl";
import { err } from "neverthrow";
import { clock } from "../../src/kernel/clock.ts";
import { createHolderHost, listed } from "./fixtures/holder_hosts.ts";
import {
  itOnThreeHosts as it,
  PATIENCE_MS,
  sleep,
  text,
} from "./fixtures/three_hosts.ts";

describe("a holder that fails", () => {
  it("before it has begun is passed over for the standby, then for an own connection", async (hosts) => {
    const { holder, standby, sender } = hosts;
    holder.channels.mode = "dead";
    await hosts.run("WRITE 1");
    standby.channels.mode = "dead";
    await hosts.run("WRITE 2");
    expect(hosts.ranBy).toEqual(["b WRITE 1", "c WRITE 2"]);
    expect(Object.fromEntries(sender.counters.forwarded)).toEqual({
      answered: 1,
      "own connection": 1,
    });
  });

  it("gets a trial after a second, then after two, and is used again once it answers", async (hosts) => {
    const { holder, instance } = hosts;
    holder.channels.mode = "dead";
    const usedAt: string[] = [];
    for (let turn = 0; turn < 45; turn += 1) {
      if (turn === 20) holder.channels.mode = "up";
      await hosts.run(`READ ${turn}`);
      usedAt.push(instance.ran.at(-1)!.by);
      await sleep(100);
    }
    expect(usedAt.slice(0, 28).every((by) => by === "b")).toEqual(true);
    expect(usedAt.at(-1)).toEqual("a");
    expect(hosts.sender.events).toEqual([
      "passed over",
      "passed over",
      "used again",
    ]);
  });

  // Guards against a write that runs twice, since the sender can't tell that it ran.
  it("and loses its answer leaves the outcome open, and nothing is sent again", async (hosts) => {
    const { holder } = hosts;
    holder.channels.mode = "mute";
    const sentAt = clock.now();
    const loss = (await hosts.run("WRITE 1"))._unsafeUnwrapErr();
    expect(loss.holderLost).toEqual(true);
    expect(loss.notSent).toEqual(undefined);
    expect(clock.now() - sentAt < 600).toEqual(true);
    // The deadline, 2 s for the late answer, 5 s after the connection was closed.
    expect(Math.round(await loss.over! - sentAt)).toEqual(
      PATIENCE_MS + 2_000 + 5_000,
    );
    await hosts.run("WRITE 2");
    expect(hosts.ranBy).toEqual(["a WRITE 1", "b WRITE 2"]);
  });

  // Guards against work that a frozen holder begins after its sender has given it up.
  it("by freezing refuses what it reads late", async (hosts) => {
    const { holder } = hosts;
    await hosts.run("READ 0");
    holder.channels.mode = "frozen";
    const lost = await hosts.run("WRITE 1", { patience: 1_000 });
    expect(lost._unsafeUnwrapErr().holderLost).toEqual(true);
    await sleep(600);
    holder.channels.mode = "up";
    await sleep(500);
    expect(holder.channels.received).toEqual(["work.run", "work.run"]);
    expect(hosts.ranBy).toEqual(["a READ 0"]);
  });

  it("by freezing refuses what waited in its queue or in a transaction meanwhile", async (hosts) => {
    const { holder } = hosts;
    const link = await hosts.acquire();
    await link.begin({ readOnly: false }, clock.now() + PATIENCE_MS);
    let grant = () => {};
    holder.own.gate = new Promise((resolve) => grant = resolve);
    void hosts.run("WRITE 1", { patience: 400 });
    await sleep(20);
    holder.channels.mode = "frozen";
    void link.run({ operation: text("WRITE 2") }, clock.now() + 400);
    await sleep(450);
    grant();
    holder.channels.mode = "up";
    await sleep(50);
    expect(hosts.ranBy).toEqual(["a BEGIN"]);
  });

  // Guards against locks of a transaction whose holder can't know that its sender is gone.
  it("by a partition gets nothing more, and ends what it has when that is idle", async (hosts) => {
    const { instance } = hosts;
    const link = await hosts.acquire();
    const deadline = clock.now() + PATIENCE_MS;
    await link.begin({ readOnly: false }, deadline);
    hosts.holder.channels.mode = "cut";
    const lost = await link.run({ operation: text("WRITE 1") }, deadline);
    expect(lost._unsafeUnwrapErr().holderLost).toEqual(true);
    link.destroy();
    await hosts.run("WRITE 2");
    expect([instance.inUse, instance.open]).toEqual([1, 1]);
    await sleep(4_000);
    expect([instance.inUse, instance.open]).toEqual([0, 0]);
    expect(hosts.ranBy).toEqual(["a BEGIN", "b WRITE 2", "a ROLLBACK"]);
  });

  it("is not blamed for work that it refuses as not its own", async (hosts) => {
    const { sender } = hosts;
    const early = hosts.create("d", ["c", "a"]);
    await hosts.run("WRITE 1", { host: early });
    expect(hosts.ranBy).toEqual(["a WRITE 1"]);
    expect(sender.counters.refusals.get("not holder")).toEqual(1);
    expect(early.counters.holderFailures.get("not holder")).toEqual(1);
    await hosts.run("WRITE 2", { host: early });
    expect(sender.counters.refusals.get("not holder")).toEqual(1);
    await sleep(300);
    await hosts.run("WRITE 3", { host: early });
    expect(sender.counters.refusals.get("not holder")).toEqual(2);
  });

  it("and knows another start of the instance refuses the work", async (hosts) => {
    const { holder, instance } = hosts;
    const other = createHolderHost(hosts.network, instance, "e", ["a", "b"], {
      get: () => ({ ...listed, startedAt: 2 }),
    });
    await hosts.run("WRITE 1", { host: other });
    expect(hosts.ranBy).toEqual(["e WRITE 1"]);
    expect(holder.counters.refusals.get("other start")).toEqual(1);
  });

  it("loses the transactions on it, which end there", async (hosts) => {
    const { holder, instance } = hosts;
    const link = await hosts.acquire();
    const deadline = clock.now() + PATIENCE_MS;
    await link.begin({ readOnly: false }, deadline);
    holder.channels.mode = "dead";
    await sleep(10);
    const loss = (await link.run({ operation: text("WRITE 1") }, deadline))
      ._unsafeUnwrapErr();
    expect([loss.holderLost, loss.over]).toEqual([true, undefined]);
    expect(hosts.ranBy).toEqual(["a BEGIN", "a ROLLBACK"]);
    expect([instance.inUse, instance.open]).toEqual([0, 0]);
  });
});

describe("a command", () => {
  // Guards against a change of primary that passes over a replica whose holder has just frozen.
  it("is also sent to the standby when the holder does not reply", async (hosts) => {
    await hosts.run("READ 0");
    await hosts.run("READ 0", { host: hosts.standby });
    hosts.holder.channels.mode = "frozen";
    for (const host of [hosts.sender, hosts.standby]) {
      const link = await hosts.acquire(host);
      const sentAt = clock.now();
      const paused = await link.pause(4, sentAt + 500);
      expect(paused.isOk()).toEqual(true);
      expect(clock.now() - sentAt < 200).toEqual(true);
    }
    expect(hosts.ranBy).toEqual([
      "a READ 0",
      "a READ 0",
      "b STATUS",
      "b STATUS",
    ]);
  });

  it("is not sent twice while the instance is slow for less than its patience", async (hosts) => {
    hosts.instance.delay = 100;
    const link = await hosts.acquire();
    await link.status(clock.now() + 400);
    await sleep(500);
    expect(hosts.ranBy).toEqual(["a STATUS"]);
  });
});

describe("an instance that is slow", () => {
  it("has its late answer told, which says that nothing runs any more", async (hosts) => {
    const { instance } = hosts;
    instance.delay = 1_500;
    const loss = (await hosts.run("WRITE 1", { patience: 1_000 }))
      ._unsafeUnwrapErr();
    expect([loss.silent, loss.holderLost]).toEqual([true, undefined]);
    const sentAt = clock.now();
    const until = await loss.over!;
    expect(Math.round(clock.now() - sentAt)).toEqual(503);
    expect(until <= clock.now()).toEqual(true);
  });

  it("may run what the holder lost for as long as the holder says", async (hosts) => {
    const { instance } = hosts;
    instance.answer = () =>
      err({
        reason: "closed here",
        silent: false,
        over: Promise.resolve(clock.now() + 5_000),
      });
    const loss = (await hosts.run("WRITE 1"))._unsafeUnwrapErr();
    expect(Math.round(await loss.over! - clock.now())).toEqual(5_000);
  });
});

describe("a sender that is gone", () => {
  // Guards against locks that a transaction holds for a host that has died.
  it("has its transactions rolled back and its queued statements dropped", async (hosts) => {
    const { holder, sender, instance } = hosts;
    const link = await hosts.acquire();
    await link.begin({ readOnly: false }, clock.now() + PATIENCE_MS);
    let open = () => {};
    holder.own.gate = new Promise((resolve) => open = resolve);
    void hosts.run("WRITE 1");
    await sleep(20);
    sender.channels.mode = "dead";
    await sleep(20);
    open();
    await sleep(20);
    expect(hosts.ranBy).toEqual(["a BEGIN", "a ROLLBACK"]);
    expect([instance.inUse, instance.open]).toEqual([0, 0]);
  });

  it("while a transaction begins leaves none open", async (hosts) => {
    const { sender, instance } = hosts;
    instance.delay = 300;
    const link = await hosts.acquire(sender, undefined, 100);
    const begun = await link.begin({ readOnly: false }, clock.now() + 100);
    expect(begun.isErr()).toEqual(true);
    await sleep(1_000);
    expect([instance.inUse, instance.open]).toEqual([0, 0]);
    expect(hosts.ranBy).toEqual(["a BEGIN", "a ROLLBACK"]);
  });

  it("for longer than a transaction may be idle loses it", async (hosts) => {
    const { instance } = hosts;
    const link = await hosts.acquire();
    const deadline = clock.now() + 9_000;
    await link.begin({ readOnly: false }, deadline);
    await sleep(4_000);
    expect([instance.inUse, instance.open]).toEqual([0, 0]);
    const loss = await link.run({ operation: text("WRITE 1") }, deadline);
    expect(loss._unsafeUnwrapErr().reason)
      .toEqual("the transaction is not open");
  });
});

describe("a holder that stops as planned", () => {
  it("refuses new work, so that the standby gets it, and lets transactions end", async (hosts) => {
    const { holder } = hosts;
    const link = await hosts.acquire();
    const deadline = clock.now() + PATIENCE_MS;
    await link.begin({ readOnly: false }, deadline);
    holder.service.announceStop("a");
    await hosts.run("WRITE 1");
    await link.run({ operation: text("WRITE 2") }, deadline);
    const drained = holder.service.drain(clock.now() + 5_000);
    await link.run({ operation: text("COMMIT") }, deadline);
    const committedAt = clock.now();
    await drained;
    expect(clock.now() - committedAt <= 50).toEqual(true);
    expect(hosts.ranBy).toEqual([
      "a BEGIN",
      "b WRITE 1",
      "a WRITE 2",
      "a COMMIT",
    ]);
  });

  it("rolls back at its deadline what has not ended", async (hosts) => {
    const { holder } = hosts;
    const link = await hosts.acquire();
    await link.begin({ readOnly: false }, clock.now() + PATIENCE_MS);
    const startedAt = clock.now();
    await holder.service.drain(clock.now() + 700);
    holder.service.stop();
    await sleep(20);
    expect(Math.round(clock.now() - startedAt)).toEqual(720);
    expect(hosts.ranBy).toEqual(["a BEGIN", "a ROLLBACK"]);
  });
});
