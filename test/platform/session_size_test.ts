/**
 * What a session of a caller holds in memory.
 *
 * @module
 */
import { afterEach, describe, it } from "node:test";
import {
  type AddressInfo,
  createServer,
  type Server,
  type Socket,
} from "node:net";
import { setFlagsFromString } from "node:v8";
import { runInNewContext } from "node:vm";
import { expect } from "earl";
import { CallerConnection } from "../../platform/caller_connection.ts";
import type { Route } from "../../src/plugins/deployment/routes.ts";
import { CallerIdentity } from "../../src/plugins/accounts/caller_identity.ts";
import { CallerSession } from "../../src/plugins/sessions/caller_session.ts";
import { HeldMemory } from "../../src/plugins/sessions/held_memory.ts";
import {
  type SessionContext,
  SessionState,
} from "../../src/plugins/sessions/session_context.ts";
import { eventually } from "../support/eventually.ts";
import { LineCaller } from "./fixtures/line_caller.ts";

const MEBIBYTE = 1024 * 1024;
const HELD_MAX_BYTES = 4 * MEBIBYTE;

const route: Route = {
  database: "booking",
  group: "ledger",
  consistency: "primary",
  maxAge: 0,
  statementTimeout: 1_000,
  targetLatency: 400,
  priority: "normal",
  rank: 2,
  isPublic: false,
};

function usedMemory(): number {
  const { heapUsed, external } = process.memoryUsage();
  return heapUsed + external;
}

describe("what a session holds", () => {
  const cleanups: (() => void)[] = [];
  afterEach(() => {
    for (const clean of cleanups.splice(0)) clean();
  });

  async function open(): Promise<LineCaller> {
    const context = {
      routes: { table: { routes: new Map([["booking", route]]) } },
      requests: { refused: () => {} },
    } as unknown as SessionContext;
    const server = createServer({ allowHalfOpen: true }, (socket) => {
      const connection = new CallerConnection(socket);
      void (async () => {
        await connection.readStartup(1_000);
        connection.accept();
        await new CallerSession(context, connection, {
          database: "booking",
          identity: new CallerIdentity(undefined),
        }).run();
      })();
    });
    return await listenAndOpen(server);
  }

  async function listenAndOpen(server: Server): Promise<LineCaller> {
    await new Promise<void>((resolve) =>
      server.listen(0, "127.0.0.1", resolve)
    );
    const { port } = server.address() as AddressInfo;
    const caller = await LineCaller.open(port, "booking");
    cleanups.push(() => {
      caller.close();
      server.close();
    });
    return caller;
  }

  /** Number of the statements, created by their index, that succeed. */
  async function countDone(
    caller: LineCaller,
    count: number,
    create: (index: number) => string,
  ): Promise<number> {
    let done = 0;
    for (let index = 0; index < count; index += 1) {
      const { error } = await caller.run(create(index));
      expect(error === undefined || error === "BUSY").toEqual(true);
      if (error === undefined) done += 1;
    }
    return done;
  }

  const long = "x".repeat(900_000);

  // Guards against a caller whose session takes the memory of all others.
  it("has a limit, in values and prepared statements together", async () => {
    const caller = await open();
    const values = await countDone(caller, 3, (n) => `SET v${n} ${long}`);
    const shapes = await countDone(
      caller,
      10,
      (n) => `PREPARE s${n} READ ${long}`,
    );
    expect(values).toEqual(3);
    expect(shapes).toEqual(1);
  });

  it("is limited for many small values too", async () => {
    const caller = await open();
    const names = [...Array(20_000).keys()];
    const lines = names.map((name) => `QUERY q SET ${name} x\r\n`);
    caller.send(lines.join(""));
    let refused = 0;
    for (const _ of names) {
      if ((await caller.line())?.startsWith("ERROR")) refused += 1;
      await caller.line();
    }
    expect(refused).toBeGreaterThan(0);
  });

  it("becomes less by replacing and deallocating", async () => {
    const caller = await open();
    const replaced = await countDone(caller, 10, () => `SET v ${long}`);
    expect(replaced).toEqual(10);
    for (let round = 0; round < 10; round += 1) {
      const prepared = `PREPARE s READ ${long}`;
      expect((await caller.run(prepared)).error).toEqual(undefined);
      expect((await caller.run("DEALLOCATE s")).error).toEqual(undefined);
    }
  });

  it("does not include the lines that it was sent in", async () => {
    setFlagsFromString("--expose-gc");
    const collect: () => void = runInNewContext("gc");
    const caller = await open();
    collect();
    const before = usedMemory();
    const id = "i".repeat(900_000);
    for (let index = 0; index < 40; index += 1) {
      const name = `a_name_of_some_length_${index}`;
      caller.send(`QUERY ${id} SET ${name} ${name}\r\n`);
      expect((await caller.line())?.startsWith("COMPLETE")).toEqual(true);
      await caller.line();
    }
    for (let round = 0; round < 3; round += 1) {
      await new Promise((resolve) => setTimeout(resolve, 20));
      collect();
    }
    const held = usedMemory() - before;
    expect(held).toBeLessThan(HELD_MAX_BYTES);
  });

  // Guards against a caller that sends long statements ahead of a slow one.
  it("includes few long lines that it was sent ahead", async () => {
    const handled: Socket[] = [];
    const server = createServer((socket) => {
      handled.push(socket);
      socket.on("error", () => {});
      const connection = new CallerConnection(socket);
      void (async () => {
        await connection.readStartup(1_000);
        connection.accept();
      })();
    });
    const caller = await listenAndOpen(server);
    const line = `QUERY q WRITE a ${long}\r\n`;
    for (let index = 0; index < 40; index += 1) caller.send(line);
    let before = 0;
    await eventually(async () => {
      await new Promise((resolve) => setTimeout(resolve, 150));
      const isStill = before === handled[0]!.bytesRead;
      before = handled[0]!.bytesRead;
      return isStill;
    }, "the session reads no further");
    expect(before).toBeLessThan(HELD_MAX_BYTES);
  });
});

// Guards against a small crowd whose sessions fill the heap together, each within its own limit (review/9).
describe("what all sessions hold together", () => {
  const LIMIT = 4_000_000;
  const large = "x".repeat(300_000);

  function fill(memory: HeldMemory): SessionState[] {
    const sessions: SessionState[] = [];
    for (let count = 0; count < 60; count += 1) {
      const session = new SessionState(memory);
      for (const name of ["a", "b", "c"]) session.setValue(name, large);
      sessions.push(session);
    }
    return sessions;
  }

  it("stays below a limit", () => {
    const memory = new HeldMemory(LIMIT);
    fill(memory);
    expect(memory.held > 0).toEqual(true);
    expect(memory.held <= LIMIT).toEqual(true);
  });

  it("leaves room for sessions that hold little", () => {
    const memory = new HeldMemory(LIMIT);
    fill(memory);
    const ordinary = new SessionState(memory);
    expect(ordinary.setValue("tenant", "t1")).toEqual(true);
    expect(ordinary.prepare("s1", { effect: "read", shape: "q1" }))
      .toEqual(true);
    expect(ordinary.setValue("large", large)).toEqual(false);
  });

  it("is given back as sessions end, replace values or deallocate statements", () => {
    const memory = new HeldMemory(LIMIT);
    for (const session of fill(memory)) session.end();
    expect(memory.held).toEqual(0);
    const session = new SessionState(memory);
    for (let turn = 0; turn < 100; turn += 1) {
      expect(session.setValue("a", large)).toEqual(true);
      expect(session.prepare("s", { effect: "read", shape: large }))
        .toEqual(true);
      session.deallocate("s");
    }
    session.setValue("a", "");
    expect(memory.held < 1_000).toEqual(true);
  });

  it("counts nothing for a session that has ended", () => {
    const memory = new HeldMemory(LIMIT);
    const session = new SessionState(memory);
    session.end();
    expect(session.setValue("a", "b")).toEqual(false);
    expect(memory.held).toEqual(0);
  });
});
