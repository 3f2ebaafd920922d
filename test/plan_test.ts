/**
 * Tests of the plan of a unit, which decides where it runs and whether its
 * connection may be used by other callers afterwards.
 *
 * @module
 */
import { before, describe, it } from "node:test";
import { expect } from "earl";
import { serialize } from "pg-protocol";
import { answerLocally } from "../src/plugins/callers/local_commands.ts";
import { createPlan, type Plan } from "../src/plugins/callers/plan.ts";
import { SessionState } from "../src/plugins/callers/session_state.ts";
import { readParse } from "../src/plugins/callers/statements.ts";
import type { Unit } from "../src/plugins/callers/unit_reader.ts";
import { GrammarClassifier } from "../src/plugins/classification/grammar_classifier.ts";
import {
  createMessage,
  FrontendType,
  splitMessages,
} from "../src/plugins/wire/message.ts";

const SETTING = "SET TimeZone = 'Asia/Tokyo'";
const READ = "SELECT now()";

describe("plan of a unit", () => {
  const classifier = new GrammarClassifier();

  before(() => classifier.start());

  function plan(...parts: readonly Buffer[]): Plan {
    const messages = splitMessages(Buffer.concat([...parts, serialize.sync()]));
    const unit: Unit = { messages, end: "sync" };
    return createPlan(unit, new Map(), classifier);
  }

  function executeText(text: string): Buffer {
    return Buffer.concat([
      serialize.parse({ text }),
      serialize.bind(),
      serialize.execute(),
    ]);
  }

  describe("that executes a setting among other statements", () => {
    for (
      const text of [
        SETTING,
        "SET marjoramshed.kind = 'stock'",
        "DEALLOCATE other",
      ]
    ) {
      it(`keeps the connection for the session after ${text}`, () => {
        const { pinned, effect } = plan(executeText(text), executeText(READ));
        expect({ pinned, effect }).toEqual({ pinned: true, effect: "write" });
      });
    }

    it("keeps nothing when it only prepares the setting", () => {
      const { pinned, effect } = plan(
        serialize.parse({ name: "a", text: SETTING }),
        serialize.parse({ name: "b", text: READ }),
      );
      expect({ pinned, effect }).toEqual({ pinned: false, effect: "control" });
    });
  });

  describe("that only prepares its text", () => {
    for (
      const text of [
        SETTING,
        "DISCARD ALL",
        "/* marjoramshed request=7 */ BEGIN",
        "COMMIT",
      ]
    ) {
      it(`is not taken for an execution of ${text}`, () => {
        expect(plan(serialize.parse({ name: "a", text })).single)
          .toEqual(undefined);
      });
    }

    it("answers a setting of the proxy without applying it", () => {
      const state = new SessionState();
      const text = "SET marjoramshed.kind = 'stock'";
      const answer = answerLocally(plan(serialize.parse({ text })), state);
      expect(answer).toEqual({ tag: "SET" });
      expect(state.kind).toEqual(undefined);
    });

    it("answers a DEALLOCATE without dropping the statement", () => {
      const state = new SessionState();
      const [parse] = splitMessages(serialize.parse({ name: "a", text: READ }));
      state.statements.set("a", readParse(parse!)!.statement);
      const prepared = plan(serialize.parse({ text: "DEALLOCATE a" }));
      expect(answerLocally(prepared, state)).toEqual({ tag: "DEALLOCATE" });
      expect(state.statements.has("a")).toEqual(true);
    });
  });

  it("keeps nothing for a setting alone, which is replayed", () => {
    const { pinned, single } = plan(executeText(SETTING));
    expect(pinned).toEqual(false);
    expect(single?.replayed?.name).toEqual("timezone");
  });

  it("tells statement names and texts in another encoding than UTF-8 apart", () => {
    const parse = (byte: number): Buffer => {
      const body = Buffer.concat([
        Buffer.from([byte, 0]),
        Buffer.from("SELECT '"),
        Buffer.from([byte]),
        Buffer.from("'\0\0\0"),
      ]);
      return createMessage(FrontendType.PARSE, body).data;
    };
    const messages = splitMessages(Buffer.concat([parse(0xe4), parse(0xf6)]));
    const [first, second] = messages.map((item) => readParse(item)!);
    expect(first!.name === second!.name).toEqual(false);
    expect(first!.statement.text === second!.statement.text).toEqual(false);
  });
});
