import { afterEach, describe, it } from "node:test";
import { expect } from "earl";
import { eventually } from "../support/eventually.ts";
import { Deployment, type LogLine } from "./fixtures/deployment.ts";

const PRIMARY = "i-ledger-0";

describe("from a request's id to its cause", () => {
  let deployment: Deployment;
  afterEach(() => deployment.stop());

  /** Waits until a host has logged a line of the request. */
  async function lineOf(id: string, event: number): Promise<LogLine> {
    const find = () =>
      deployment.hosts.flatMap(({ log }) => log)
        .find((line) => line["request"] === id && line.event === event);
    await eventually(() => find() !== undefined, `line ${event} of ${id}`);
    return find()!;
  }

  /** Waits until some host has logged an event of the group. */
  async function groupLine(event: number): Promise<LogLine> {
    const find = () =>
      deployment.hosts.flatMap(({ log }) => log)
        .find((line) => line["group"] === "ledger" && line.event === event);
    await eventually(() => find() !== undefined, `event ${event}`);
    return find()!;
  }

  it("a refused read leads over its attempts to the primary that died", async () => {
    deployment = await Deployment.start({ lag: 5_000 });
    const caller = await deployment.open(0, "returns");
    await caller.run("WRITE walk x");
    await deployment.order("darken", PRIMARY);
    const answer = await caller.run("READ walk", "walk-read");
    caller.close();
    if (answer.error) {
      const refused = await lineOf("walk-read", 406);
      expect(refused["outcome"]).toEqual("not run");
    }
    const attempt = await lineOf("walk-read", 407);
    expect(attempt["reason"]).toEqual("lagging");
    expect(typeof attempt["after"]).toEqual("string");
    const suspected = await groupLine(501);
    expect(suspected["instance"]).toEqual(PRIMARY);
    expect((await groupLine(516))["candidates"] !== undefined).toEqual(true);
  });

  it("a write with an unknown outcome leads to the instance that gave no answer", async () => {
    deployment = await Deployment.start();
    const caller = await deployment.open(0, "booking");
    await caller.run("WRITE walk x");
    await deployment.order("darken", PRIMARY);
    const answer = await caller.run("WRITE walk y", "walk-write");
    caller.close();
    expect(answer.error).toEqual("UNKNOWN");
    const refused = await lineOf("walk-write", 406);
    expect(refused["outcome"]).toEqual("outcome unknown");
    expect(String(refused["reason"]).startsWith(PRIMARY)).toEqual(true);
    expect((await groupLine(510))["primary"]).toEqual(PRIMARY);
  });

  it("a late answer leads to the change that it waited for", async () => {
    deployment = await Deployment.start();
    const caller = await deployment.open(0, "booking");
    await caller.run("WRITE walk x");
    await deployment.order("kill", PRIMARY);
    let id = "";
    for (let turn = 0; turn < 20; turn += 1) {
      id = `walk-late${turn}`;
      const answer = await caller.run("READ walk", id);
      if (!answer.error) break;
    }
    caller.close();
    const late = await lineOf(id, 413);
    expect(late["instance"] !== PRIMARY).toEqual(true);
    const settled = await groupLine(517);
    expect(late["instance"]).toEqual(settled["primary"]);
  });
});
