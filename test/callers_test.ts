/**
 * Tests what callers see of a proxy, with real processes: protocol, transactions,
 * sessions and requests with an id.
 *
 * @module
 */
import { connect } from "node:net";
import { after, before, describe, it } from "node:test";
import { setTimeout as delay } from "node:timers/promises";
import { expect } from "earl";
import pg from "pg";
import postgres from "postgres";
import { createStack, type Stack } from "../standins/stack/stack.ts";
import type { StackDescription } from "../standins/stack/options.ts";
import {
  callerParameters,
  connectCaller,
  failureOf,
} from "./support/callers.ts";

const DATABASE = "booking";
const APPLY_LAG_MS = 60;

/** Sends a statement followed by a Flush, and a Sync once the statement is answered. */
function runWithFlush(
  client: pg.Client,
  text: string,
): Promise<{ readonly rows: number; readonly code: string | undefined }> {
  return new Promise((resolve) => {
    let rows = 0;
    let code: string | undefined;
    const query = {
      submit(connection: pg.Connection) {
        connection.parse({ name: "", text, types: [] }, true);
        connection.bind({}, true);
        connection.execute({}, true);
        connection.flush();
      },
      handleRowDescription() {},
      handleDataRow: () => rows += 1,
      handleCommandComplete: (_: unknown, connection: pg.Connection) =>
        connection.sync(),
      handleError(error: pg.DatabaseError, connection: pg.Connection) {
        code = error.code;
        connection.sync();
        // The library calls no further handler of a failed query.
        resolve({ rows, code });
      },
      handleReadyForQuery: () => resolve({ rows, code }),
    };
    client.query(query as unknown as pg.Submittable);
  });
}

describe("callers", () => {
  let running: Stack;
  let stack: StackDescription;
  let client: pg.Client;

  before(async () => {
    running = await createStack({
      databases: [DATABASE],
      proxies: 2,
      applyLagMs: APPLY_LAG_MS,
      logLevel: "warn",
    });
    stack = running.describe();
    client = await connectCaller({ stack, database: DATABASE });
    await client.query("CREATE TABLE notes (id serial PRIMARY KEY, text text)");
  });
  after(async () => {
    await client?.end();
    await running?.stop();
  });

  /** Counts notes through the given client, or through a new session, which sees all acknowledged writes. */
  async function countNotes(
    text: string,
    through?: pg.Client,
  ): Promise<number> {
    const caller = through ??
      await connectCaller({ stack, database: DATABASE });
    const result = await caller.query(
      "SELECT count(*)::int AS n FROM notes WHERE text = $1",
      [text],
    );
    if (!through) await caller.end();
    return result.rows[0].n;
  }

  describe("protocol", () => {
    it("returns the rows of simple and extended queries", async () => {
      const simple = await client.query("SELECT 1 AS one, 'x' AS x");
      expect(simple.rows).toEqual([{ one: 1, x: "x" }]);
      const extended = await client.query("SELECT $1::int + 1 AS two", [1]);
      expect(extended.rows).toEqual([{ two: 2 }]);
    });

    it("runs a named statement on any upstream connection", async () => {
      const query = { name: "find", text: "SELECT $1::text AS value" };
      const others = await Promise.all(
        [0, 1, 2].map(() => connectCaller({ stack, database: DATABASE })),
      );
      for (const caller of [client, ...others, client]) {
        const result = await caller.query({ ...query, values: ["v"] });
        expect(result.rows).toEqual([{ value: "v" }]);
      }
      for (const caller of others) await caller.end();
    });

    it("serves pipelined queries of the postgres library without notices", async () => {
      const notices: unknown[] = [];
      const { host, port, user, password } = callerParameters({
        stack,
        database: DATABASE,
      });
      const sql = postgres({
        host: host as string,
        port: port as number,
        user: user as string,
        password: password as string,
        database: DATABASE,
        max: 1,
        onnotice: (notice) => notices.push(notice),
      });
      try {
        await sql`INSERT INTO notes (text) VALUES (${"pipelined"})`;
        const answers = await Promise.all(
          [1, 2, 3, 4, 5].map((n) =>
            sql`SELECT ${n}::int AS n, count(*)::int AS notes FROM notes WHERE text = ${"pipelined"}`
          ),
        );
        expect(answers.map((rows) => rows[0]!["n"])).toEqual([1, 2, 3, 4, 5]);
        expect(answers.every((rows) => rows[0]!["notes"] === 1)).toEqual(true);
        await sql.begin(async (transaction) => {
          await transaction`INSERT INTO notes (text) VALUES (${"in transaction"})`;
        });
        expect(notices).toEqual([]);
      } finally {
        await sql.end();
      }
      expect(await countNotes("in transaction")).toEqual(1);
    });

    it("forwards upstream errors unchanged and keeps the connection usable", async () => {
      const error = await failureOf(
        client.query("SELECT no_such_column FROM notes"),
      );
      expect(error.code).toEqual("42703");
      expect((await client.query("SELECT 1 AS one")).rows).toEqual([{
        one: 1,
      }]);
    });

    it("refuses a wrong password and an unknown database with 28P01", async () => {
      const parameters = callerParameters({ stack, database: DATABASE });
      const wrong = new pg.Client({ ...parameters, password: "wrong" });
      expect((await failureOf(wrong.connect())).code).toEqual("28P01");
      const unknown = new pg.Client({ ...parameters, database: "nowhere" });
      expect((await failureOf(unknown.connect())).code).toEqual("28P01");
    });

    it("refuses COPY and LISTEN with a numbered error and keeps the connection usable", async () => {
      for (const text of ["COPY notes TO STDOUT", "LISTEN channel"]) {
        const error = await failureOf(client.query(text));
        expect(error.code).toEqual("0A000");
        expect(error.detail?.includes("code 403")).toEqual(true);
      }
      expect((await client.query("SELECT 1 AS one")).rowCount).toEqual(1);
    });

    it("closes only the connection that sent a malformed or oversized packet", async () => {
      for (
        const packet of [
          "GET / HTTP/1.1\r\n\r\n",
          "\0\0\0\x04",
          "\xff\xff\xff\xff\0\0\0\0",
        ]
      ) {
        const { host, port } = stack.proxies[0]!;
        const socket = connect({ host, port });
        const ended = new Promise<void>((resolve) =>
          socket.on("close", () => resolve())
        );
        socket.on("error", () => {});
        socket.resume();
        socket.write(Buffer.from(packet, "latin1"));
        const outcome = await Promise.race([
          ended.then(() => "closed"),
          delay(20_000, "open", { ref: false }),
        ]);
        socket.destroy();
        expect(outcome).toEqual("closed");
      }
      expect((await client.query("SELECT 1 AS one")).rowCount).toEqual(1);
    });

    it("answers a read at a Flush and refuses a write without running it", async () => {
      const read = await runWithFlush(client, "SELECT 7 AS seven");
      expect(read).toEqual({ rows: 1, code: undefined });
      const write = await runWithFlush(
        client,
        "INSERT INTO notes (text) VALUES ('flushed')",
      );
      expect(write).toEqual({ rows: 0, code: "0A000" });
      expect(await countNotes("flushed")).toEqual(0);
    });

    it("cancels a statement that waits for a lock", async () => {
      const blocker = await connectCaller({ stack, database: DATABASE });
      const waiting = await connectCaller({ stack, database: DATABASE });
      await blocker.query("BEGIN");
      await blocker.query("INSERT INTO notes (text) VALUES ('blocker')");
      const canceled = failureOf(
        waiting.query("INSERT INTO notes (text) VALUES ('canceled')"),
      );
      await delay(300);
      const { host, port } = stack.proxies[0]!;
      const key = waiting as unknown as {
        processID: number;
        secretKey: number;
      };
      const packet = Buffer.alloc(16);
      packet.writeInt32BE(16, 0);
      packet.writeInt32BE(80877102, 4);
      packet.writeInt32BE(key.processID, 8);
      packet.writeInt32BE(key.secretKey, 12);
      connect({ host, port }).end(packet);
      expect((await canceled).code).toEqual("57014");
      await blocker.query("ROLLBACK");
      expect(await countNotes("canceled")).toEqual(0);
      await blocker.end();
      await waiting.end();
    });
  });

  describe("transactions", () => {
    it("are atomic on COMMIT and ROLLBACK", async () => {
      await client.query("BEGIN");
      await client.query("INSERT INTO notes (text) VALUES ('rolled back')");
      await client.query("ROLLBACK");
      expect(await countNotes("rolled back")).toEqual(0);
      await client.query("BEGIN");
      await client.query("INSERT INTO notes (text) VALUES ('committed')");
      await client.query("COMMIT");
      expect(await countNotes("committed")).toEqual(1);
    });

    it("see the session's writes when they are read-only", async () => {
      await client.query("INSERT INTO notes (text) VALUES ('read only')");
      await client.query("BEGIN READ ONLY");
      expect(await countNotes("read only", client)).toEqual(1);
      await client.query("COMMIT");
    });

    it("are rolled back when their caller disconnects", async () => {
      const leaving = await connectCaller({ stack, database: DATABASE });
      await leaving.query("BEGIN");
      await leaving.query("INSERT INTO notes (text) VALUES ('left behind')");
      (leaving as unknown as { connection: { stream: { destroy(): void } } })
        .connection.stream.destroy();
      await client.query("INSERT INTO notes (text) VALUES ('after')");
      expect(await countNotes("left behind")).toEqual(0);
    });

    it("do not leak a SET of one caller to another", async () => {
      const other = await connectCaller({ stack, database: DATABASE });
      await client.query("SET statement_timeout = '12345ms'");
      const mine = await client.query("SHOW statement_timeout");
      const theirs = await other.query("SHOW statement_timeout");
      expect(mine.rows[0].statement_timeout).toEqual("12345ms");
      expect(theirs.rows[0].statement_timeout === "12345ms").toEqual(false);
      await client.query("RESET statement_timeout");
      await other.end();
    });
  });

  describe("sessions", () => {
    it("read their own writes immediately from any instance", async () => {
      for (let n = 0; n < 10; n += 1) {
        await client.query("INSERT INTO notes (text) VALUES ($1)", [
          `own ${n}`,
        ]);
        expect(await countNotes(`own ${n}`, client)).toEqual(1);
      }
    });

    it("read their own writes through another proxy without a position token", async () => {
      for (let n = 0; n < 5; n += 1) {
        await client.query("INSERT INTO notes (text) VALUES ($1)", [
          `moved ${n}`,
        ]);
        const moved = await connectCaller({
          stack,
          database: DATABASE,
          proxy: 1,
        });
        const result = await moved.query(
          "SELECT 1 FROM notes WHERE text = $1",
          [`moved ${n}`],
        );
        expect(result.rowCount).toEqual(1);
        await moved.end();
      }
    });

    it("read their own writes through another proxy with a position token", async () => {
      await client.query("INSERT INTO notes (text) VALUES ('token')");
      const shown = await client.query("SHOW marjoramshed.position");
      const token = shown.rows[0]["marjoramshed.position"];
      expect(/^\d+\/\d+$/.test(token)).toEqual(true);
      const options = `-c marjoramshed.position=${token}`;
      const moved = await connectCaller({
        stack,
        database: DATABASE,
        proxy: 1,
        options,
      });
      const result = await moved.query(
        "SELECT 1 FROM notes WHERE text = 'token'",
      );
      expect(result.rowCount).toEqual(1);
      await moved.end();
    });

    it("see writes made under the same session name through another proxy", async () => {
      const first = await connectCaller({
        stack,
        database: DATABASE,
        name: "tablet-7",
      });
      const second = await connectCaller({
        stack,
        database: DATABASE,
        proxy: 1,
        name: "tablet-7",
      });
      await first.query("SELECT 1");
      await delay(20);
      await second.query("INSERT INTO notes (text) VALUES ('elsewhere')");
      const result = await first.query(
        "SELECT 1 FROM notes WHERE text = 'elsewhere'",
      );
      expect(result.rowCount).toEqual(1);
      await first.end();
      await second.end();
    });

    it("refuse a malformed position", async () => {
      const error = await failureOf(
        client.query("SET marjoramshed.position = 'abc'"),
      );
      expect(error.detail?.includes("code 406")).toEqual(true);
    });
  });

  describe("requests with an id", () => {
    const insert = (id: string, text: string): string =>
      `/* marjoramshed request=${id} */ INSERT INTO notes (text) VALUES ('${text}') RETURNING text`;

    it("run once and return the same answer when repeated through another proxy", async () => {
      const other = await connectCaller({
        stack,
        database: DATABASE,
        proxy: 1,
      });
      const first = await client.query(insert("r-1", "once"));
      const second = await other.query(insert("r-1", "once"));
      expect(second.rows).toEqual(first.rows);
      expect(second.rowCount).toEqual(1);
      expect(await countNotes("once")).toEqual(1);
      await other.end();
    });

    it("run once when two copies are sent concurrently", async () => {
      const other = await connectCaller({
        stack,
        database: DATABASE,
        proxy: 1,
      });
      const both = await Promise.all(
        [client, other].map((caller) => caller.query(insert("r-2", "both"))),
      );
      expect(both.map((result) => result.rowCount)).toEqual([1, 1]);
      expect(await countNotes("both")).toEqual(1);
      await other.end();
    });

    it("accept parameters, and the id as a setting", async () => {
      const other = await connectCaller({
        stack,
        database: DATABASE,
        proxy: 1,
      });
      for (const caller of [client, other]) {
        await caller.query("SET marjoramshed.request = 'r-3'");
        const result = await caller.query(
          "INSERT INTO notes (text) VALUES ($1) RETURNING text",
          ["setting"],
        );
        expect(result.rows).toEqual([{ text: "setting" }]);
      }
      expect(await countNotes("setting")).toEqual(1);
      await other.end();
    });

    it("refuse an id that was used for another request", async () => {
      await client.query(insert("r-4", "first"));
      const error = await failureOf(client.query(insert("r-4", "second")));
      expect(error.code).toEqual("MS407");
      expect(await countNotes("second")).toEqual(0);
    });

    it("run again after an error, which does not use up the id", async () => {
      const failing =
        "/* marjoramshed request=r-5 */ INSERT INTO notes (id, text) VALUES ('x', 'bad')";
      expect((await failureOf(client.query(failing))).code).toEqual("22P02");
      expect((await client.query(insert("r-5", "good"))).rowCount).toEqual(1);
    });

    it("refuse a repeated transaction at its BEGIN", async () => {
      const begin = "/* marjoramshed request=r-6 */ BEGIN";
      await client.query(begin);
      await client.query("INSERT INTO notes (text) VALUES ('whole')");
      await client.query("COMMIT");
      const error = await failureOf(client.query(begin));
      expect(error.code).toEqual("MS408");
      expect(await countNotes("whole")).toEqual(1);
    });
  });
});
