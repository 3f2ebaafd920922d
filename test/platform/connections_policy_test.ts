import { describe, it } from "node:test";
import { expect } from "earl";
import { TransactionLimit } from "../../src/plugins/connections/transaction_limit.ts";
import { PrimaryFailureDetector } from "../../src/plugins/leadership/primary_failure_detector.ts";
import { err, ok } from "neverthrow";

const soon = () => performance.now() + 50;

describe("places for transactions", () => {
  it("leave connections for single statements", async () => {
    const limit = new TransactionLimit(5);
    const entered = await Promise.all(
      [1, 2, 3, 4].map(() => limit.enter("normal", soon())),
    );
    expect(entered.filter((leave) => leave !== undefined).length).toEqual(3);
    expect(limit.taken).toEqual(3);
  });

  it("go to the most urgent that waits, once only", async () => {
    const limit = new TransactionLimit(1);
    const first = await limit.enter("normal", soon());
    const order: string[] = [];
    const low = limit.enter("normal", soon()).then((leave) => {
      order.push("normal");
      leave?.();
    });
    const high = limit.enter("high", soon()).then((leave) => {
      order.push("high");
      leave?.();
    });
    first!();
    first!();
    await Promise.all([low, high]);
    expect(order).toEqual(["high", "normal"]);
    expect(limit.taken).toEqual(0);
  });

  it("always include one", async () => {
    const limit = new TransactionLimit(0);
    expect(await limit.enter("low", soon()) !== undefined).toEqual(true);
  });
});

describe("doubt about a primary", () => {
  it("is settled by one silent probe after silence", async () => {
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

  it("needs two refusals, since a process may be back at once", async () => {
    const answers = [err("refused" as const), ok(undefined)];
    const doubt = new PrimaryFailureDetector(() =>
      Promise.resolve(answers.shift()!)
    );
    await doubt.suspect();
    expect(doubt.failureReason).toEqual(undefined);
    expect(answers.length).toEqual(0);
  });

  it("is not raised by one lost connection while others are answered", async () => {
    let probes = 0;
    const doubt = new PrimaryFailureDetector(() => {
      probes += 1;
      return Promise.resolve(err("silent" as const));
    });
    doubt.recordAnswer(1_000);
    await doubt.suspect(1_050);
    expect(probes).toEqual(0);
  });

  it("ends when the primary answers while it is probed", async () => {
    const doubt: PrimaryFailureDetector = new PrimaryFailureDetector(() => {
      doubt.recordAnswer();
      return Promise.resolve(err("silent" as const));
    });
    await doubt.suspect();
    expect(doubt.failureReason).toEqual(undefined);
  });
});
