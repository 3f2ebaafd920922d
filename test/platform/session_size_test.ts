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
import type { SessionContext } from "../../src/plugins/sessions/session_context.ts";
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
