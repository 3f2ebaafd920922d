/**
 * Tests document revisions against the platform's stand-ins, which run as
 * separate processes.
 *
 * @module
 */
import { after, before, describe, it } from "node:test";
import { expect } from "earl";
import { ResultAsync } from "neverthrow";
import { ResultCodes } from "../src/kernel/result_codes.ts";
import { Revisions } from "../src/plugins/document/revisions.ts";
import { ControlStack } from "./fixtures/control_stack.ts";
import { sampleDocument } from "./fixtures/sample_document.ts";

const TEXT = sampleDocument();
const NEXT_TEXT = sampleDocument("swap-ledger-2");

describe("revisions", () => {
  let stack: ControlStack;
  let counter = 0;

  before(async () => {
    stack = await ControlStack.start();
  });
  after(() => stack.stop());

  /** Number of the current head. The tests share one environment, so each starts from the revision that the previous one left. */
  async function headNumber(): Promise<number> {
    const head = await stack.revisions().head("trial");
    return head._unsafeUnwrap()?.number ?? 0;
  }

  function operation(operator = "ana") {
    counter += 1;
    return { id: `operation-${counter}`, operator };
  }

  describe("put and promote", () => {
    it("numbers the documents of an environment consecutively", async () => {
      const revisions = stack.revisions();
      const first = await revisions.put("trial", TEXT, operation());
      const second = await revisions.put("trial", NEXT_TEXT, operation());
      expect(first._unsafeUnwrap().number).toEqual(1);
      expect(second._unsafeUnwrap().number).toEqual(2);
      const shown = (await revisions.show("trial"))._unsafeUnwrap();
      expect(shown.text).toEqual(NEXT_TEXT);
      const old = (await revisions.show("trial", 1))._unsafeUnwrap();
      expect(old.text).toEqual(TEXT);
    });

    it("promotes the document of one environment to the next revision of another", async () => {
      const revisions = stack.revisions();
      const promoted = (await revisions
        .promote("trial", "production", operation("iva")))._unsafeUnwrap();
      expect(promoted.number).toEqual(1);
      const shown = (await revisions.show("production"))._unsafeUnwrap();
      expect(shown.text).toEqual(NEXT_TEXT);
      expect(shown.head.operator).toEqual("iva");
    });

    it("lists the history newest first", async () => {
      const history = await stack.revisions().history("trial", 10);
      const numbers = history._unsafeUnwrap().map((head) => head.number);
      expect(numbers).toEqual([2, 1]);
    });

    it("rejects an environment that the document does not define", async () => {
      const answer = await stack.revisions().put("moon", TEXT, operation());
      expect(answer._unsafeUnwrapErr().code).toEqual(
        ResultCodes.ENVIRONMENT_UNKNOWN,
      );
    });
  });

  describe("concurrent operators", () => {
    it("accepts exactly one of many concurrent puts and names the winner in the other failures", async () => {
      const base = await headNumber();
      const operators = Array.from({ length: 8 }, (_, index) => `op${index}`);
      const answers = await Promise.all(operators.map((name) => {
        const text = sampleDocument(`by-${name}`);
        const { id, operator } = operation(name);
        return stack.revisions()
          .put("trial", text, { id, operator, expectedNumber: base });
      }));
      const winners = answers.filter((answer) => answer.isOk());
      expect(winners.length).toEqual(1);
      const winner = winners[0]!._unsafeUnwrap();
      expect(winner.number).toEqual(base + 1);
      for (const answer of answers.filter((answer) => answer.isErr())) {
        const failure = answer._unsafeUnwrapErr();
        expect(failure.code).toEqual(ResultCodes.DOCUMENT_CONFLICT);
        expect(failure.message).toEqual(
          expect.includes(`revision ${base + 1} by ${winner.operator}`),
        );
      }
    });

    it("rejects a stale base without a concurrent put", async () => {
      const base = await headNumber();
      const answer = await stack.revisions()
        .put("trial", TEXT, { ...operation(), expectedNumber: base - 1 });
      expect(answer._unsafeUnwrapErr().code).toEqual(
        ResultCodes.DOCUMENT_CONFLICT,
      );
    });
  });

  describe("a lost reply", () => {
    it("is resolved to success when the write took effect", async () => {
      const base = await headNumber();
      await stack.setFaults(stack.table, { loseReply: 2 });
      const answer = await stack.revisions().put("trial", TEXT, operation());
      await stack.setFaults(stack.table, { loseReply: 0 });
      expect(answer._unsafeUnwrap().number).toEqual(base + 1);
      expect(await headNumber()).toEqual(base + 1);
    });

    it("from the object store leaves the head unchanged, and a retry succeeds", async () => {
      const base = await headNumber();
      const retried = operation();
      const text = sampleDocument("reply-of-the-object-store");
      await stack.setFaults(stack.objects, { loseReply: 1 });
      const lost = await stack.revisions().put("trial", text, retried);
      expect(lost._unsafeUnwrapErr().code).toEqual(
        ResultCodes.OBJECT_STORE_UNAVAILABLE,
      );
      expect(await headNumber()).toEqual(base);
      const repeated = await stack.revisions().put("trial", text, retried);
      expect(repeated._unsafeUnwrap().number).toEqual(base + 1);
    });

    it("that cannot be resolved is reported as an unknown outcome, and a retry resolves it", async () => {
      const base = await headNumber();
      const retried = operation();
      const table = stack.tableClient();
      const revisions = new Revisions({
        objects: stack.objectsClient(),
        outcomeTimeoutMs: 300,
        table: {
          get: (key) => table.get(key),
          put: (puts) =>
            new ResultAsync((async () => {
              await stack.setFaults(stack.table, { loseReply: 1 });
              const answer = await table.put(puts);
              await stack.setFaults(stack.table, { down: true });
              return answer;
            })()),
        },
      });
      const unsettled = await revisions.put("trial", NEXT_TEXT, retried);
      await stack.setFaults(stack.table, { down: false, loseReply: 0 });
      const failure = unsettled._unsafeUnwrapErr();
      expect(failure.code).toEqual(ResultCodes.DOCUMENT_UNSETTLED);
      expect(failure.message).toEqual(expect.includes(retried.id));
      const repeated = await stack.revisions().put("trial", NEXT_TEXT, retried);
      expect(repeated._unsafeUnwrap().number).toEqual(base + 1);
      expect(await headNumber()).toEqual(base + 1);
    });
  });

  describe("a retry with the same operation id", () => {
    it("has no further effect", async () => {
      const retried = operation();
      const first = await stack.revisions().put("trial", TEXT, retried);
      const second = await stack.revisions().put("trial", TEXT, retried);
      expect(second._unsafeUnwrap()).toEqual(first._unsafeUnwrap());
      expect(await headNumber()).toEqual(first._unsafeUnwrap().number);
    });

    it("is rejected when it carries another document", async () => {
      const retried = operation();
      await stack.revisions().put("trial", TEXT, retried);
      const other = await stack.revisions().put("trial", NEXT_TEXT, retried);
      expect(other._unsafeUnwrapErr().code).toEqual(
        ResultCodes.DOCUMENT_CONFLICT,
      );
    });
  });

  describe("an outage of the table service", () => {
    it("is reported before anything is written", async () => {
      const base = await headNumber();
      await stack.setFaults(stack.table, { down: true });
      const answer = await stack.revisions().put("trial", TEXT, operation());
      await stack.setFaults(stack.table, { down: false });
      expect(answer._unsafeUnwrapErr().code).toEqual(
        ResultCodes.TABLE_SERVICE_UNAVAILABLE,
      );
      expect(await headNumber()).toEqual(base);
    });
  });
});
