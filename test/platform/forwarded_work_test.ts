import { describe } from "node:test";
import { expect } from "earl";
import { err } from "neverthrow";
import { clock } from "../../src/kernel/clock.ts";
import { createFailure, ResultCodes } from "../../src/kernel/result_codes.ts";
import { listed } from "./fixtures/holder_hosts.ts";
import {
  itOnThreeHosts as it,
  PATIENCE_MS,
  sleep,
  text,
} from "./fixtures/three_hosts.ts";

describe("work for an instance that another host holds", () => {
  it("runs there with the account, the values and all its parts", async (hosts) => {
    const { holder, sender, instance } = hosts;
    const values = new Map([["\u0000n", "\u00ff v"]]);
    const link = await hosts.acquire(sender, "acme");
    link.adopt(values, undefined, 0);
    const before = clock.now();
    const result = await link.run({
      id: "q",
      operation: {
        kind: "execute",
        statement: { effect: "write", shape: "x ?" },
        arguments: "7",
      },
      after: { term: 3, lsn: 16n },
    }, clock.now() + PATIENCE_MS);
    const { sentAt, ...answer } = result._unsafeUnwrap();
    expect(answer).toEqual({
      rows: [],
      signature: "s",
      fault: undefined,
      faultText: undefined,
      state: "idle",
      position: { term: 3, lsn: 17n },
    });
    expect(sentAt >= before).toEqual(true);
    expect(instance.ran).toEqual([{
      by: "a",
      account: "acme",
      text: "write x ? (7)",
      values: "\u0000n=\u00ff v",
    }]);
    const [request] = holder.own.requests;
    expect([request!.account, request!.priority, request!.rank])
      .toEqual(["acme", "high", 1]);
    expect(instance.inUse).toEqual(0);
  });

  it("is local at the holder, and forwarded at the standby", async (hosts) => {
    const { holder, standby } = hosts;
    await hosts.run("READ 1", { host: holder });
    await hosts.run("READ 2", { host: standby });
    expect(hosts.ranBy).toEqual(["a READ 1", "a READ 2"]);
    expect(standby.channels.received).toEqual([]);
    expect((await hosts.acquire(holder)).isForwarded).toEqual(false);
  });

  it("keeps the order of a transaction, its values and one connection", async (hosts) => {
    const { holder, sender, instance } = hosts;
    const link = await hosts.acquire(sender, "acme");
    const deadline = clock.now() + PATIENCE_MS;
    link.adopt(new Map([["k", "1"]]), undefined, deadline);
    const begun = await link.begin({ readOnly: false }, deadline);
    expect(begun._unsafeUnwrap().state).toEqual("open");
    const pipelined = ["WRITE 1", "WRITE 2"].map((one) =>
      link.run({ operation: text(one) }, deadline)
    );
    await Promise.all(pipelined);
    link.adopt(new Map([["k", "2"]]), undefined, deadline);
    await link.run({ operation: text("WRITE 3") }, deadline);
    await link.run({ operation: text("COMMIT") }, deadline);
    link.release();
    expect(instance.ran.map(({ text, values }) => `${text} ${values}`)).toEqual(
      ["BEGIN k=1", "WRITE 1 k=1", "WRITE 2 k=1", "WRITE 3 k=2", "COMMIT k=2"],
    );
    expect(holder.own.requests.length).toEqual(1);
    expect([instance.inUse, instance.open]).toEqual([0, 0]);
    expect(sender.pools.outstanding(listed.id)).toEqual(0);
  });

  // Guards against values that look the same on the way: JSON escapes one, so it goes as base64.
  it("tells a value from the text that stands for it on the way", async (hosts) => {
    const link = await hosts.acquire();
    const deadline = clock.now() + PATIENCE_MS;
    const first = "\u0001".repeat(99);
    const second = Buffer.from(first, "latin1").toString("base64");
    link.adopt(new Map([["k", first]]), undefined, deadline);
    await link.begin({ readOnly: true }, deadline);
    link.adopt(new Map([["k", second]]), undefined, deadline);
    await link.run({ operation: text("READ 1") }, deadline);
    expect(hosts.instance.ran.map(({ values }) => values))
      .toEqual([`k=${first}`, `k=${second}`]);
    link.destroy();
  });

  it("is refused with the holder's reason, as not run", async (hosts) => {
    const { holder } = hosts;
    const failure = createFailure(ResultCodes.QUEUE_FULL, "retry in 40 ms");
    holder.own.failure = failure;
    const result = await hosts.run("WRITE 1");
    expect(result._unsafeUnwrapErr().notSent).toEqual(failure);
    expect(hosts.ranBy).toEqual([]);
  });

  // Guards against probes of a primary, or marks against an instance, by hosts that only miss a holder.
  it("tells the holder, which has the connection, what the instance did", async (hosts) => {
    const { holder, sender, instance } = hosts;
    await hosts.run("READ 1");
    instance.answer = () => err({ reason: "closed", silent: false });
    const { reason, holderLost } = (await hosts.run("READ 2"))
      ._unsafeUnwrapErr();
    expect([reason, holderLost]).toEqual(["closed", undefined]);
    expect(holder.observed).toEqual([
      "request",
      "answer 3",
      "request",
      "failure",
    ]);
    expect(sender.observed).toEqual([]);
  });

  it("counts the load that the holder last told of, while that is recent", async (hosts) => {
    const { holder, sender } = hosts;
    holder.own.load = 7;
    await hosts.run("READ 1");
    expect(sender.pools.outstanding(listed.id)).toEqual(7);
    const running = hosts.run("READ 2");
    await sleep(2);
    expect(sender.pools.outstanding(listed.id)).toEqual(8);
    await running;
    await sleep(1_100);
    expect(sender.pools.outstanding(listed.id)).toEqual(0);
  });

  // Guards against work that counts as outstanding for good, and keeps reads away from the instance.
  it("counts as outstanding only until it has ended, however it ends", async (hosts) => {
    const { sender, holder, instance } = hosts;
    instance.delay = 200;
    const link = await hosts.acquire();
    const deadline = clock.now() + PATIENCE_MS;
    await link.begin({ readOnly: false }, deadline);
    const running = link.run({ operation: text("WRITE 1") }, deadline);
    await sleep(50);
    const rolledBack = link.rollback(deadline);
    expect(sender.pools.outstanding(listed.id)).toEqual(1);
    await Promise.all([running, rolledBack]);
    link.release();
    await (await hosts.acquire()).status(clock.now() + 400);
    holder.channels.mode = "frozen";
    await (await hosts.acquire()).status(clock.now() + 400);
    await sleep(5_000);
    expect(sender.pools.outstanding(listed.id)).toEqual(0);
  });

  it("shares status requests that come before one is sent, and no earlier one", async (hosts) => {
    const { instance } = hosts;
    instance.delay = 30;
    const status = async () => {
      const deadline = clock.now() + 400;
      const result = await (await hosts.acquire()).status(deadline);
      return result._unsafeUnwrap();
    };
    const asked = clock.now();
    const first = status();
    await sleep(10);
    const answers = await Promise.all([first, ...[1, 2, 3, 4].map(status)]);
    const { sentAt, ...said } = answers[0]!;
    expect(said).toEqual({
      role: "primary",
      term: 3,
      received: { term: 3, lsn: 17n },
      pausedAt: 2,
      lag: 1,
    });
    expect(sentAt >= asked).toEqual(true);
    expect(hosts.ranBy).toEqual(["a STATUS", "a STATUS"]);
  });
});

describe("a change of primary", () => {
  it("counts this host's forwarded work at the old one as lost, and ends its transactions", async (hosts) => {
    const { sender, instance } = hosts;
    instance.delay = 200;
    const link = await hosts.acquire();
    const deadline = clock.now() + PATIENCE_MS;
    await link.begin({ readOnly: false }, deadline);
    const writing = hosts.run("WRITE 1");
    await sleep(50);
    expect(sender.pools.outstanding(listed.id) >= 2).toEqual(true);
    const destroyedAt = clock.now();
    sender.pools.destroyBusy(listed.id);
    const loss = (await writing)._unsafeUnwrapErr();
    expect([loss.reason, loss.silent]).toEqual(["closed here", false]);
    expect(clock.now()).toEqual(destroyedAt);
    const after = await link.run({ operation: text("WRITE 2") }, deadline);
    expect(after._unsafeUnwrapErr().reason).toEqual("not open");
    // The holder's answer still tells when the write no longer runs.
    expect(await loss.over! < destroyedAt + 200).toEqual(true);
    await sleep(300);
    expect(hosts.ranBy).toEqual(["a BEGIN", "a WRITE 1", "a ROLLBACK"]);
    expect([instance.inUse, instance.open]).toEqual([0, 0]);
  });
});
