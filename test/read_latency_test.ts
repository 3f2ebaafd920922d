/**
 * The latency that a read reports of its instance does not hold what its
 * caller, or the rest of a long answer, takes.
 *
 * @module
 */
import type { Socket } from "node:net";
import { Duplex } from "node:stream";
import { describe } from "node:test";
import { setTimeout as delay } from "node:timers/promises";
import { expect } from "earl";
import { okAsync } from "neverthrow";
import { CallerOutput } from "../src/plugins/callers/caller_output.ts";
import { runRead } from "../src/plugins/callers/read_run.ts";
import type { Run } from "../src/plugins/callers/run.ts";
import { SessionState } from "../src/plugins/callers/session_state.ts";
import {
  createCommandComplete,
  createQuery,
  createReadyForQuery,
  FrontendType,
} from "../src/plugins/wire/message.ts";
import { itInVirtualTime as it } from "./platform/fixtures/virtual_time.ts";

const REST_MS = 400;

/** An upstream that answers at once and ends its answer late. */
function createUpstream(): Duplex {
  const socket = new Duplex({
    read() {},
    write(_chunk, _encoding, done) {
      socket.push(createCommandComplete("SELECT 1").data);
      void delay(REST_MS).then(() =>
        socket.push(createReadyForQuery("I").data)
      );
      done();
    },
  });
  return socket;
}

describe("the latency of a read", () => {
  it("is the time to the first part of the answer", async () => {
    const reported: number[] = [];
    const caller = new Duplex({ read() {}, write: (_, __, done) => done() });
    const connection = {
      socket: createUpstream(),
      prepared: new Set(),
      settings: new Map(),
      release() {},
      destroy() {},
    };
    const choice = { instance: "i", target: "replica", reason: "applied" };
    const run = {
      context: {
        log: { write() {} },
        metrics: { recordStatement() {} },
        routing: { chooseRead: () => okAsync(choice) },
        connections: { acquire: () => okAsync(connection) },
        health: {
          reportLatency: (_: string, __: string, ms: number) =>
            reported.push(ms),
        },
      },
      identity: { id: 1, user: "u", database: "d" },
      group: { database: "d", reads: { maxAge: 1_000, kinds: [] } },
      state: new SessionState(),
      output: new CallerOutput(caller as unknown as Socket),
      unit: {
        messages: [{ type: FrontendType.QUERY, data: createQuery("SELECT 1") }],
        end: "query",
      },
      plan: { tables: [] },
      track() {},
      deadline: Infinity,
    } as unknown as Run;
    expect((await runRead(run)).kind).toEqual("answered");
    expect(reported).toEqual([0]);
  });
});
