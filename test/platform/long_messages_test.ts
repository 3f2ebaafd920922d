import { after, before, describe, it } from "node:test";
import { expect } from "earl";
import { LINE_MAX_BYTES } from "../../platform/lines.ts";
import { Deployment } from "./fixtures/deployment.ts";
import type { LineCaller } from "./fixtures/line_caller.ts";

/** More than the proxy adds to a statement: a position and a longer name. */
const ADDED_MAX_BYTES = 100;

/** Time in which a statement that can't be forwarded is refused, in ms; the statement's timeout is 3 s. */
const REFUSED_WITHIN_MS = 1_000;

describe("a statement nearly as long as a message may be", () => {
  let deployment: Deployment;
  before(async () => {
    deployment = await Deployment.start();
  });
  after(() => deployment.stop());

  /** Runs a statement whose whole line has a length. */
  async function runOfLength(caller: LineCaller, text: string, length: number) {
    const padding = length - `QUERY q1 ${text}`.length;
    const startedAt = performance.now();
    const answer = await caller.run(text + "x".repeat(padding), "q1");
    return { ...answer, elapsed: performance.now() - startedAt };
  }

  const statements = {
    "READ": "READ ",
    "WRITE": "WRITE long ",
    "SET": "SET v ",
    "PREPARE": "PREPARE p READ ",
    "EXECUTE": "EXECUTE s ",
  };

  for (const [word, text] of Object.entries(statements)) {
    for (const database of ["booking", "stock", "returns"]) {
      it(`runs if it can be forwarded (${word} on ${database})`, async () => {
        const caller = await deployment.open(0, database);
        await caller.run("PREPARE s READ q5");
        const length = LINE_MAX_BYTES - ADDED_MAX_BYTES;
        const answer = await runOfLength(caller, text, length);
        expect(answer.error).toEqual(undefined);
        expect((await caller.run("EXECUTE s 1cb")).error).toEqual(undefined);
        caller.close();
      });
    }
  }

  // Guards against a refusal of what is forwarded without a position.
  it("runs at any length that a message may have where no position is added", async () => {
    const caller = await deployment.open(0, "booking");
    for (const below of [0, 20, 39, 60]) {
      const answer = await runOfLength(caller, "READ ", LINE_MAX_BYTES - below);
      expect([below, answer.error]).toEqual([below, undefined]);
    }
    await caller.run("BEGIN");
    const within = await runOfLength(caller, "READ ", LINE_MAX_BYTES);
    expect(within.error).toEqual(undefined);
    await caller.run("PREPARE s READ q5");
    const executed = await runOfLength(
      caller,
      "EXECUTE s ",
      LINE_MAX_BYTES - 8,
    );
    expect(executed.error).toEqual(undefined);
    expect((await caller.run("COMMIT")).error).toEqual(undefined);
    caller.close();
  });

  it("is refused without harm to its session in a transaction", async () => {
    const caller = await deployment.open(0, "stock");
    await caller.run("BEGIN");
    const prepared = await runOfLength(
      caller,
      "PREPARE p READ ",
      LINE_MAX_BYTES,
    );
    expect([prepared.error, prepared.state]).toEqual(["TOOLARGE", "T"]);
    expect((await caller.run("READ a")).error).toEqual(undefined);
    await caller.run("PREPARE s READ q5");
    const executed = await runOfLength(caller, "EXECUTE s ", LINE_MAX_BYTES);
    expect([executed.error, executed.state]).toEqual(["TOOLARGE", "E"]);
    expect((await caller.run("ROLLBACK")).state).toEqual("I");
    expect((await caller.run("READ a")).error).toEqual(undefined);
    caller.close();
  });

  // Guards against a line that outgrows the limit on its way and costs a connection at each attempt.
  for (const word of ["READ", "PREPARE", "EXECUTE"] as const) {
    it(`is refused at once if it can't be forwarded (${word})`, async () => {
      const caller = await deployment.open(0, "stock");
      await caller.run("PREPARE s READ q5");
      const text = statements[word];
      const answer = await runOfLength(caller, text, LINE_MAX_BYTES);
      expect(answer.error).toEqual("TOOLARGE");
      expect(answer.elapsed < REFUSED_WITHIN_MS).toEqual(true);
      expect((await caller.run("EXECUTE s 1cb")).error).toEqual(undefined);
      caller.close();
    });
  }
});
