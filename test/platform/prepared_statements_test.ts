import { after, before, describe, it } from "node:test";
import { expect } from "earl";
import { Deployment, type MemberState } from "./fixtures/deployment.ts";
import type { LineCaller } from "./fixtures/line_caller.ts";

type Execution = MemberState["executed"][number];

/** Databases whose statements run at the primary, at any instance, and at one that shows the session's writes. */
const DATABASES = ["booking", "stock", "returns"];

/** Most statements that may be prepared on one connection. */
const MAX_STATEMENTS = 500;

/** More statements than that, and those of them that are executed before it is looked what ran. */
const MANY = 600;
const PART = 100;

const SHAPES = {
  "contains the keyword of another statement": "q5 READ xuoaxuu",
  "begins and ends with a space": " q5 ",
  "contains several spaces in a row": "q5  READ   x",
  "contains tabs, line feeds and other separators":
    "q5\tREAD\nx\ry\0z\v\f\xa0\x85",
  "contains all bytes but line endings": Buffer.from([...Array(256).keys()])
    .toString("latin1"),
  "is long": "q5 ".repeat(100_000),
  "looks like a name of the proxy": "s1",
};

// Guards against an upstream statement name that contains a caller's shape (inc-34).
describe("a prepared statement", () => {
  let deployment: Deployment;
  before(async () => {
    deployment = await Deployment.start();
  });
  after(() => deployment.stop());

  /** All executions that the instances ran for these requests. */
  async function executions(
    ids: ReadonlySet<string>,
  ): Promise<readonly Execution[]> {
    const members = await deployment.members();
    return members.flatMap(({ executed }) => executed)
      .filter(({ id }) => ids.has(id));
  }

  let requests = 0;

  async function execute(
    caller: LineCaller,
    name: string,
    given: string,
  ): Promise<Execution> {
    requests += 1;
    const id = `execution-${requests}`;
    const answer = await caller.run(`EXECUTE ${name} ${given}`, id);
    expect(answer.error).toEqual(undefined);
    const found = await executions(new Set([id]));
    expect(found.length).toEqual(1);
    return found[0]!;
  }

  for (const [what, shape] of Object.entries(SHAPES)) {
    describe(`whose shape ${what}`, () => {
      for (const database of DATABASES) {
        it(`runs with its own shape and arguments on ${database}`, async () => {
          const caller = await deployment.open(0, database);
          await caller.run(`PREPARE s1 READ ${shape}`);
          const read = await execute(caller, "s1", "1cb");
          expect([read.effect, read.shape, read.given])
            .toEqual(["READ", shape, "1cb"]);
          await caller.run(`PREPARE s2 WRITE ${shape}`);
          const write = await execute(caller, "s2", "1cb some data");
          expect([write.effect, write.shape, write.given])
            .toEqual(["WRITE", shape, "1cb some data"]);
          caller.close();
        });
      }

      it("runs with its own shape in a transaction", async () => {
        const caller = await deployment.open(0, "booking");
        await caller.run("BEGIN");
        await caller.run(`PREPARE s1 READ ${shape}`);
        const { effect, shape: ran, given } = await execute(
          caller,
          "s1",
          "1cb",
        );
        expect([effect, ran, given]).toEqual(["READ", shape, "1cb"]);
        expect((await caller.run("COMMIT")).error).toEqual(undefined);
        caller.close();
      });
    });
  }

  it("runs again after more others than a connection keeps", async () => {
    const caller = await deployment.open(0, "booking");
    await caller.run("PREPARE kept READ kept by its use");
    for (let index = 0; index < MANY; index += 1) {
      await caller.run(`PREPARE s${index} READ many ${index}`);
    }
    // Read in parts, since an instance tells its latest executions only.
    for (let from = 0; from < MANY + PART; from += PART) {
      const shapes = new Map<string, string>();
      for (let index = from; index < from + PART; index += 1) {
        const number = index % MANY;
        shapes.set(`many-${index}`, `many ${number}`);
        await caller.run(`EXECUTE s${number} 1cb`, `many-${index}`);
      }
      shapes.set(`kept-${from}`, "kept by its use");
      await caller.run("EXECUTE kept 1cb", `kept-${from}`);
      const ran = await executions(new Set(shapes.keys()));
      const expected = [...shapes].map(([id, shape]) => (
        { id, effect: "READ", shape, given: "1cb" }
      ));
      expect(ran).toEqual(expected);
    }
    const members = await deployment.members();
    for (const { mostPrepared, unknownStatements } of members) {
      expect(mostPrepared <= MAX_STATEMENTS).toEqual(true);
      expect(unknownStatements).toEqual(0);
    }
    caller.close();
  });

  it("is not replaced by that of another caller on the same connections", async () => {
    const shapes = ["q5", "q5 READ q6", "q5 WRITE q6", "read_q5 READ q7"];
    const callers = await Promise.all(
      shapes.map(() => deployment.open(0, "booking")),
    );
    for (const [index, shape] of shapes.entries()) {
      await callers[index]!.run(`PREPARE s1 READ ${shape}`);
    }
    for (let round = 0; round < 10; round += 1) {
      for (const [index, shape] of shapes.entries()) {
        const ran = await execute(callers[index]!, "s1", "1cb");
        expect([ran.effect, ran.shape, ran.given])
          .toEqual(["READ", shape, "1cb"]);
      }
    }
    callers.forEach((caller) => caller.close());
  });
});
