/**
 * Tests that the proxy's record of an upstream connection, which decides what the
 * next caller's statements need there, stays true.
 *
 * @module
 */
import { before, describe, it } from "node:test";
import { expect } from "earl";
import { relayBatch } from "../src/plugins/callers/batch.ts";
import { BufferedSink } from "../src/plugins/callers/caller_output.ts";
import { Exchange } from "../src/plugins/callers/exchange.ts";
import { createPlan } from "../src/plugins/callers/plan.ts";
import { recordSessionState } from "../src/plugins/callers/run.ts";
import {
  createSettingsPrelude,
  SessionState,
} from "../src/plugins/callers/session_state.ts";
import { GrammarClassifier } from "../src/plugins/classification/grammar_classifier.ts";
import { createQuery, splitMessages } from "../src/plugins/wire/message.ts";
import {
  createAnswer,
  createScriptedUpstream,
  type ScriptedUpstream,
} from "./fixtures/scripted_upstream.ts";

const ZONE = "SET TimeZone = 'Asia/Tokyo'";
const SINK_BYTES = 1_000_000;

describe("record of an upstream connection", () => {
  const classifier = new GrammarClassifier();

  before(() => classifier.start());

  async function relay(
    upstream: ScriptedUpstream,
    state: SessionState,
    text: string,
  ): Promise<void> {
    const exchange = new Exchange(upstream.connection);
    const unit = {
      messages: splitMessages(createQuery(text)),
      end: "query" as const,
    };
    const result = await relayBatch(exchange, state, {
      unit,
      next: () => Promise.resolve(undefined),
      trailingQueries: [],
    }, new BufferedSink(SINK_BYTES));
    if (result.error || result.status !== "I") return;
    const plan = createPlan(unit, state.statements, classifier);
    recordSessionState(plan, state, exchange);
  }

  describe("of prepared statements", () => {
    const cases = [
      { text: "DEALLOCATE ALL", answer: createAnswer(["DEALLOCATE ALL"]) },
      {
        text: "DEALLOCATE ALL; SELECT 1 / 0",
        answer: createAnswer(["DEALLOCATE ALL", "!22012"]),
      },
      {
        text: "DEALLOCATE ALL",
        answer: createAnswer(["DEALLOCATE ALL"], "T"),
        where: " in a transaction",
      },
    ];
    for (const { text, answer, where = "" } of cases) {
      it(`is empty after ${text}${where}`, async () => {
        const upstream = createScriptedUpstream([answer]);
        upstream.connection.prepared.add("marjoramshed_1");
        await relay(upstream, new SessionState(), text);
        expect([...upstream.connection.prepared]).toEqual([]);
      });
    }
  });

  describe("of settings", () => {
    async function settingsAfter(
      text: string,
    ): Promise<{ readonly upstream: number; readonly session: number }> {
      const upstream = createScriptedUpstream([createAnswer([text])]);
      const state = new SessionState();
      state.settings.set("timezone", ZONE);
      upstream.connection.settings.set("timezone", ZONE);
      await relay(upstream, state, text);
      return {
        upstream: upstream.connection.settings.size,
        session: state.settings.size,
      };
    }

    it("keeps them after DEALLOCATE ALL, which resets none", async () => {
      expect(await settingsAfter("DEALLOCATE ALL"))
        .toEqual({ upstream: 1, session: 1 });
    });

    it("keeps a role after RESET ALL, which leaves it in force", async () => {
      const upstream = createScriptedUpstream([createAnswer(["RESET"])]);
      const state = new SessionState();
      const role = "SET role = 'reader'";
      state.settings.set("role", role);
      upstream.connection.settings.set("role", role);
      await relay(upstream, state, "RESET ALL");
      const { settings } = upstream.connection;
      expect([...settings]).toEqual([["role", role]]);
      const prelude = createSettingsPrelude(new Map(), settings);
      expect(prelude).toEqual("RESET ALL; RESET role");
    });

    it("is empty after DISCARD ALL", async () => {
      expect(await settingsAfter("DISCARD ALL"))
        .toEqual({ upstream: 0, session: 0 });
    });
  });
});
