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
import { CallerSession } from "../src/plugins/callers/session.ts";
import { SessionState } from "../src/plugins/callers/session_state.ts";

function createSocket(written: Buffer[]): Duplex {
  return new Duplex({
    read() {},
    write(chunk, _encoding, done) {
      written.push(chunk);
      done();
    },
  });
}

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
