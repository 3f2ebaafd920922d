/**
 * Tests that a connection with session state that can't be replayed, such as an
 * advisory lock, stays with its session and never returns to the pool.
 *
 * @module
 */
import { before, describe, it } from "node:test";
import { expect } from "earl";
import { okAsync } from "neverthrow";
import type { CallerContext } from "../src/plugins/callers/caller_context.ts";
import { CallerOutput } from "../src/plugins/callers/caller_output.ts";
import { Exchange } from "../src/plugins/callers/exchange.ts";
import { runRequest } from "../src/plugins/callers/ledger_run.ts";
import { createPlan } from "../src/plugins/callers/plan.ts";
import type { Run, RunResult } from "../src/plugins/callers/run.ts";
import { SessionState } from "../src/plugins/callers/session_state.ts";
import { runHeld } from "../src/plugins/callers/transaction_run.ts";
import { runWrite } from "../src/plugins/callers/write_run.ts";
import { GrammarClassifier } from "../src/plugins/classification/grammar_classifier.ts";
import { TableLedger } from "../src/plugins/ledger/table_ledger.ts";
import { createQuery, splitMessages } from "../src/plugins/wire/message.ts";
import { clock } from "../src/kernel/clock.ts";
import { createInstance } from "./fixtures/fake_database_group.ts";
import { createGroup } from "./fixtures/fake_platform.ts";
import {
  createAnswer,
  createPositionAnswer,
  createScriptedUpstream,
  type ScriptedUpstream,
} from "./fixtures/scripted_upstream.ts";

const LOCK_THEN_FAIL = "SELECT pg_advisory_lock(7); SELECT 1 / 0";
const LOCK_THEN_WRITE = "SELECT pg_advisory_lock(7); INSERT INTO t VALUES (1)";
const DIVISION_BY_ZERO = "!22012";
const TIMEOUT_MS = 5_000;

describe("session state that can't be replayed", () => {
  const classifier = new GrammarClassifier();
  const primary = createInstance("a");
  const group = createGroup([primary], {
    writes: {
      acknowledge: "primary",
      acknowledgeDeadline: 0,
      priority: "high",
    },
  });

  before(() => classifier.start());

  function createRun(upstream: ScriptedUpstream, text: string): Run {
    const state = new SessionState();
    const unit = {
      messages: splitMessages(createQuery(text)),
      end: "query" as const,
    };
    const context = {
      log: { write: () => {} },
      metrics: { recordStatement: () => {} },
      health: {
        view: () => ({ confirmedAt: Infinity, receiveLagMs: 0 }),
        primary: () => okAsync(primary),
        reportFailure: () => {},
      },
      connections: { acquire: () => okAsync(upstream.connection) },
      ledger: new TableLedger(),
    } as unknown as CallerContext;
    return {
      context,
      identity: { id: 1, user: "caller", database: group.database },
      group,
      state,
      output: new CallerOutput(createScriptedUpstream([]).connection.socket),
      unit,
      plan: createPlan(unit, state.statements, classifier),
      next: () => Promise.resolve(undefined),
      track: () => {},
      deadline: clock.now() + TIMEOUT_MS,
    };
  }

  function expectKept(upstream: ScriptedUpstream, result: RunResult): void {
    expect(upstream.end).toEqual(undefined);
    expect(result.kind === "held" && result.held.pinned).toEqual(true);
  }

  it("stays with its session when a later statement of the text fails", async () => {
    const upstream = createScriptedUpstream([
      Buffer.concat([
        createAnswer(["SELECT 1", DIVISION_BY_ZERO]),
        createPositionAnswer(),
      ]),
    ]);
    expectKept(upstream, await runWrite(createRun(upstream, LOCK_THEN_FAIL)));
  });

  it("stays with its session when its transaction is rolled back", async () => {
    const upstream = createScriptedUpstream([
      createAnswer(["SELECT 1", DIVISION_BY_ZERO], "E"),
    ]);
    const result = await runHeld(createRun(upstream, LOCK_THEN_FAIL), {
      exchange: new Exchange(upstream.connection),
      instance: primary.name,
      target: "primary",
      pinned: false,
      wrote: false,
      inTransaction: true,
    });
    expectKept(upstream, result);
  });

  describe("of a request with an id", () => {
    it("stays with its session", async () => {
      const upstream = createScriptedUpstream([
        createAnswer(["BEGIN", "INSERT 0 1"], "T"),
        createAnswer(["SELECT 1", "INSERT 0 1"], "T"),
        Buffer.concat([
          createAnswer(["UPDATE 1", "COMMIT"]),
          createPositionAnswer(),
        ]),
      ]);
      const run = createRun(upstream, LOCK_THEN_WRITE);
      expectKept(upstream, await runRequest(run, "7"));
    });

    it("stays with its session when the request fails", async () => {
      const upstream = createScriptedUpstream([
        createAnswer(["BEGIN", "INSERT 0 1"], "T"),
        createAnswer(["SELECT 1", DIVISION_BY_ZERO], "E"),
        createAnswer(["ROLLBACK"]),
      ]);
      const run = createRun(upstream, LOCK_THEN_FAIL);
      expectKept(upstream, await runRequest(run, "7"));
    });
  });
});
