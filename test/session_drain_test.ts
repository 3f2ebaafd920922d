/**
 * A drained session must not run a statement that arrives while it is closing, and
 * must report the shutdown exactly once.
 *
 * @module
 */
import type { Socket } from "node:net";
import { Duplex } from "node:stream";
import { describe, it } from "node:test";
import { expect } from "earl";
import { serialize } from "pg-protocol";
import type { CallerContext } from "../src/plugins/callers/caller_context.ts";
import { GrammarClassifier } from "../src/plugins/classification/grammar_classifier.ts";
import { CallerSession } from "../src/plugins/callers/session.ts";
import { SessionState } from "../src/plugins/callers/session_state.ts";
import { eventually } from "./support/eventually.ts";

function createSocket(written: Buffer[]): Duplex {
  return new Duplex({
    read() {},
    write(chunk, _encoding, done) {
      written.push(chunk);
      done();
    },
  });
}

/** Runs a session with one statement that waits for the primary and is never answered. */
async function runUnansweredSession(
  written: Buffer[],
): Promise<
  { readonly session: CallerSession; readonly ended: Promise<void> }
> {
  const classifier = new GrammarClassifier();
  await classifier.start();
  const socket = createSocket(written);
  let isWaiting = false;
  const context = {
    classifier,
    configuration: {
      group: () => ({
        database: "d",
        writes: { priority: "normal" },
        queue: { deadline: 10_000 },
      }),
    },
    health: {
      primary: () => {
        isWaiting = true;
        return new Promise(() => {});
      },
    },
    metrics: { recordRefusal() {} },
    log: { write() {} },
  } as unknown as CallerContext;
  const session = new CallerSession(
    context,
    { id: 1, user: "u", database: "d" },
    socket as unknown as Socket,
    new SessionState(),
  );
  const ended = new Promise<void>((resolve) => socket.once("finish", resolve));
  void session.run();
  socket.push(serialize.query("INSERT INTO t VALUES (1)"));
  await eventually(() => isWaiting, "the statement waits for the primary");
  return { session, ended };
}

// Guards against a statement that is cut off without an answer at the deadline of a planned stop.
describe("a session whose statement is running at the deadline of a stop", () => {
  it("reports an unknown outcome and closes the connection", async () => {
    const written: Buffer[] = [];
    const { session, ended } = await runUnansweredSession(written);
    session.drain();
    expect(written).toEqual([]);
    session.abandon();
    await ended;
    const answer = Buffer.concat(written).toString("latin1");
    expect(answer.includes("FATAL")).toEqual(true);
    expect(answer.split("08007").length - 1).toEqual(1);
    expect(answer.includes("57P01")).toEqual(false);
  });
});

describe("a drained session", () => {
  it("reports the shutdown once and runs no statement received at the same time", async () => {
    const written: Buffer[] = [];
    const socket = createSocket(written);
    let groupLookups = 0;
    const context = {
      configuration: {
        group() {
          groupLookups += 1;
          return undefined;
        },
      },
      metrics: { recordRefusal() {} },
      log: { write() {} },
    } as unknown as CallerContext;
    const identity = { id: 1, user: "u", database: "d" };
    const session = new CallerSession(
      context,
      identity,
      socket as unknown as Socket,
      new SessionState(),
    );
    const ended = session.run();
    await new Promise((resolve) => setImmediate(resolve));
    socket.push(serialize.query("INSERT INTO t VALUES (1)"));
    session.drain();
    socket.push(null);
    await ended;
    const answer = Buffer.concat(written).toString("latin1");
    expect(answer.split("57P01").length - 1).toEqual(1);
    expect(groupLookups).toEqual(0);
  });
});
