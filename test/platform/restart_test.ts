/**
 * Planned stops under load, and starts after something was withdrawn meanwhile.
 *
 * @module
 */
import { afterEach, describe, it } from "node:test";
import { expect } from "earl";
import { eventually } from "../support/eventually.ts";
import { Deployment } from "./fixtures/deployment.ts";
import type { LineCaller } from "./fixtures/line_caller.ts";

const sleep = (duration: number) =>
  new Promise((resolve) => setTimeout(resolve, duration));

/** Reads the answers of pipelined statements; the first word of each last line but READY. */
async function readAnswers(
  caller: LineCaller,
  count: number,
): Promise<readonly string[]> {
  const ends: string[] = [];
  while (ends.length < count) {
    const line = await caller.line();
    if (line === undefined) break;
    const [word] = line.split(" ");
    if (word === "COMPLETE" || word === "ERROR") ends.push(line);
  }
  return ends;
}

describe("a host that is stopped", () => {
  let deployment: Deployment;
  afterEach(() => deployment.stop());

  it("answers all statements that it received together before the signal", async () => {
    deployment = await Deployment.start();
    const [host] = deployment.hosts;
    const callers = await Promise.all(
      Array.from({ length: 10 }, () => deployment.open(0, "booking")),
    );
    const answers = callers.map((caller, index) => {
      const statements = Array.from(
        { length: 20 },
        (_, turn) => `QUERY q${index}x${turn} WRITE w${index}x${turn} x\r\n`,
      );
      caller.send(statements.join(""));
      return readAnswers(caller, statements.length);
    });
    await sleep(20);
    host!.signal("SIGTERM");
    const failed = (await Promise.all(answers)).flatMap((ends) => {
      expect(ends.length).toEqual(20);
      return ends.filter((line) => !line.startsWith("COMPLETE"));
    });
    // A full queue may turn a statement away, which its caller is told.
    expect(failed.filter((line) => !line.startsWith("ERROR BUSY"))).toEqual([]);
    expect(await host!.ended()).toEqual(0);
  });

  it("answers what it is asked until the load balancer has noticed", async () => {
    deployment = await Deployment.start();
    const [host] = deployment.hosts;
    host!.signal("SIGTERM");
    const startedAt = performance.now();
    const errors: (string | undefined)[] = [];
    while (performance.now() - startedAt < 2_000) {
      const caller = await deployment.open(0, "booking");
      const answer = await caller.run("WRITE late x");
      if (answer.error !== undefined) errors.push(answer.error);
      caller.send("TERMINATE\r\n");
      caller.close();
      await sleep(50);
    }
    expect(errors).toEqual([]);
    expect(await host!.ended()).toEqual(0);
  });

  /** Sends signals to a host whose sessions stay in use, and expects an answer to each of their statements. */
  async function expectAllAnswered(
    signals: readonly NodeJS.Signals[],
    gap: number,
  ): Promise<void> {
    const [host] = deployment.hosts;
    const callers = await Promise.all(
      Array.from({ length: 16 }, () => deployment.open(0, "booking")),
    );
    const cut: string[] = [];
    const refused: string[] = [];
    const load = callers.map(async (caller, index) => {
      for (let turn = 0; !caller.closed; turn += 1) {
        const id = `u${index}x${turn}`;
        const answer = await caller.run(`WRITE ${id} x`, id)
          .catch(() => undefined);
        if (!answer) cut.push(id);
        else if (answer.error) refused.push(answer.error);
        await sleep(5);
        // A timer may fire before the end of the connection, which has arrived, is read.
        await caller.readArrived();
      }
    });
    for (const signal of signals) {
      await sleep(gap);
      host!.signal(signal);
    }
    expect(await host!.ended()).toEqual(0);
    await Promise.all(load);
    expect({ cut, refused }).toEqual({ cut: [], refused: [] });
  }

  // Guards against statements that are cut off when sessions stay in use until the stop's deadline.
  it("answers every statement of sessions that stay in use", async () => {
    deployment = await Deployment.start();
    await expectAllAnswered(["SIGTERM"], 300);
  });

  // Guards against a process that ends in the middle of its drain at a second signal.
  it("answers every statement when signals to stop and to reload overlap", async () => {
    deployment = await Deployment.start();
    await expectAllAnswered(["SIGTERM", "SIGHUP", "SIGTERM", "SIGTERM"], 400);
  });

  it("ends in time while the store is away", async () => {
    deployment = await Deployment.start();
    await deployment.doors("silent", "silent");
    await sleep(500);
    const [host] = deployment.hosts;
    const caller = await deployment.open(0, "booking");
    const startedAt = performance.now();
    host!.signal("SIGTERM");
    expect((await caller.run("WRITE away x")).error).toEqual(undefined);
    expect(await host!.ended()).toEqual(0);
    expect(performance.now() - startedAt).toBeLessThan(6_000);
  });
});

describe("a host that starts again", () => {
  let deployment: Deployment;
  afterEach(() => deployment.stop());

  it("does not serve a route that was dropped while it was down", async () => {
    deployment = await Deployment.start();
    const [host] = deployment.hosts;
    await host!.kill();
    await deployment.configure(["booking", "stock"]);
    await host!.start();
    await eventually(async () => await host!.ready() === 200, "ready");
    const refused = await deployment.open(0, "returns").then(
      () => "served",
      (error: Error) => error.message,
    );
    expect(refused.startsWith("ERROR NODB")).toEqual(true);
    const caller = await deployment.open(0, "booking");
    expect((await caller.run("WRITE again x")).error).toEqual(undefined);
    caller.close();
  });

  it("does not use an instance that left while it was down", async () => {
    deployment = await Deployment.start();
    const [host] = deployment.hosts;
    await host!.kill();
    const before = host!.log.length;
    const left = "i-ledger-2";
    await deployment.order("kill", left);
    await deployment.remove("servers", left);
    await host!.start();
    await eventually(async () => await host!.ready() === 200, "ready");
    const caller = await deployment.open(0, "stock");
    for (let turn = 0; turn < 20; turn += 1) await caller.run("READ a");
    caller.close();
    const used = host!.log.slice(before)
      .filter((line) => line["instance"] === left);
    expect(used).toEqual([]);
  });

  it("serves nothing from a store that turns it away, and the latest configuration once it is let in", async () => {
    deployment = await Deployment.start();
    const [host] = deployment.hosts;
    await host!.kill();
    await deployment.doors("reset", "up");
    await deployment.configure(["booking"]);
    await host!.start();
    await sleep(1_500);
    expect(await host!.ready()).toEqual(503);
    await deployment.doors("up", "up");
    await eventually(async () => await host!.ready() === 200, "ready");
    const refused = await deployment.open(0, "stock").then(
      () => "served",
      (error: Error) => error.message,
    );
    expect(refused.startsWith("ERROR NODB")).toEqual(true);
    const caller = await deployment.open(0, "booking");
    expect((await caller.run("WRITE back x")).error).toEqual(undefined);
    caller.close();
  });
});
