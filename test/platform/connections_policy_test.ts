import { describe, it } from "node:test";
import { expect } from "earl";
import { clock } from "../../src/kernel/clock.ts";
import { TransactionLimit } from "../../src/plugins/connections/transaction_limit.ts";
import { PrimaryFailureDetector } from "../../src/plugins/leadership/primary_doubt.ts";
import { err, ok } from "neverthrow";
import { createSuspension } from "../support/suspension.ts";

const soon = () => clock.now() + 50;

describe("TransactionLimit", () => {
  it("leaves connections for single statements", async () => {
    const limit = new TransactionLimit(5);
    const slots = await Promise.all(
      [1, 2, 3, 4].map(() => limit.acquire("normal", soon())),
    );
    expect(slots.filter((release) => release !== undefined).length).toEqual(
      3,
    );
    expect(limit.inUse).toEqual(3);
  });

  it("grants a released slot once, to the waiter with the highest priority", async () => {
    const limit = new TransactionLimit(1);
    const first = await limit.acquire("normal", soon());
    const order: string[] = [];
    const low = limit.acquire("normal", soon()).then((release) => {
      order.push("normal");
      release?.();
    });
    const high = limit.acquire("high", soon()).then((release) => {
      order.push("high");
      release?.();
    });
    first!();
    first!();
    await Promise.all([low, high]);
    expect(order).toEqual(["high", "normal"]);
    expect(limit.inUse).toEqual(0);
  });

  // Guards against work for callers that have given up during a suspension of the host.
  it("grants no slot to a waiter whose deadline passed while the host was suspended", async (test) => {
    const suspend = createSuspension(test);
    const limit = new TransactionLimit(1);
    const first = await limit.acquire("normal", soon());
    const late = limit.acquire("high", clock.now() + 1_000);
    const inTime = limit.acquire("normal", clock.now() + 10_000);
    suspend(4_000);
    first!();
    expect(await late).toEqual(undefined);
    expect(await inTime !== undefined).toEqual(true);
    expect(limit.inUse).toEqual(1);
  });

  it("always has at least one slot", async () => {
    const limit = new TransactionLimit(0);
    expect(await limit.acquire("low", soon()) !== undefined).toEqual(true);
  });
});

describe("suspicion of a primary", () => {
  it("is confirmed by one unanswered probe after a period of silence", async () => {
    let probes = 0;
    const doubt = new PrimaryFailureDetector(() => {
      probes += 1;
      return Promise.resolve(err("silent" as const));
    });
    doubt.recordRequest(0);
    await doubt.checkSilence(200);
    expect(probes).toEqual(0);
    await doubt.checkSilence(400);
    expect(probes).toEqual(1);
    expect(doubt.failureReason !== undefined).toEqual(true);
  });

  it("requires two refused probes, since a process may restart immediately", async () => {
    const answers = [err("refused" as const), ok(undefined)];
    const doubt = new PrimaryFailureDetector(() =>
      Promise.resolve(answers.shift()!)
    );
    await doubt.suspect();
    expect(doubt.failureReason).toEqual(undefined);
    expect(answers.length).toEqual(0);
  });

  it("is not raised by one lost connection while the primary still responds on others", async () => {
    let probes = 0;
    const doubt = new PrimaryFailureDetector(() => {
      probes += 1;
      return Promise.resolve(err("silent" as const));
    });
    doubt.recordAnswer(1_000);
    await doubt.suspect(1_050);
    expect(probes).toEqual(0);
  });

  it("is cleared when the primary responds during a probe", async () => {
    const doubt: PrimaryFailureDetector = new PrimaryFailureDetector(() => {
      doubt.recordAnswer();
      return Promise.resolve(err("silent" as const));
    });
    await doubt.suspect();
    expect(doubt.failureReason).toEqual(undefined);
  });
});
