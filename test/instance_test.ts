import { after, before, describe, it } from "node:test";
import { setTimeout as sleep } from "node:timers/promises";
import { expect } from "earl";
import type pg from "pg";
import postgres from "postgres";
import { ACCOUNT, Group, type GroupInstance } from "./fixtures/group.ts";
import { eventually } from "./support/eventually.ts";

const INIT_SQL = `
CREATE TABLE booking (
  id serial PRIMARY KEY, shop text, at timestamptz DEFAULT now(),
  draw float8 DEFAULT random());
CREATE TABLE note (kind int, body text);
`;
const SETTLE_MS = 500;

/** Returns the error code that the promise rejects with, or "none" when it resolves. */
async function errorCodeOf(promise: Promise<unknown>): Promise<string> {
  try {
    await promise;
    return "none";
  } catch (error) {
    return String((error as { code?: string }).code);
  }
}

/** Returns all rows of a table as text, in order. */
async function readTable(
  group: Group,
  instance: GroupInstance,
  table: string,
): Promise<string[]> {
  const client = await group.connect(instance);
  try {
    const sql = `SELECT t::text AS row FROM ${table} t ORDER BY 1`;
    return (await client.query(sql)).rows.map(({ row }) => row);
  } finally {
    await client.end();
  }
}

describe("database instance", () => {
  describe("as a server", () => {
    let group: Group;
    let client: pg.Client;
    let otherClient: pg.Client;
    before(async () => {
      group = await Group.start({
        instances: 1,
        initSql: INIT_SQL,
        network: 41,
        flags: { connections: 5, idleTransactionLimit: 1_000 },
      });
      client = await group.connect(group.primary);
      otherClient = await group.connect(group.primary);
    });
    after(() => group.stop());

    it("answers simple and extended queries from pg", async () => {
      expect((await client.query("SELECT 1 AS a")).rows).toEqual([{ a: 1 }]);
      const sql = "SELECT $1::text AS a, $2::int AS b";
      const { rows } = await client.query(sql, ["č", 2]);
      expect(rows).toEqual([{ a: "č", b: 2 }]);
    });

    it("answers pipelined queries with named statements from postgres", async () => {
      const { host, port } = group.primary;
      const sql = postgres({
        ...ACCOUNT,
        host,
        port,
        database: group.database,
        max: 1,
        onnotice: () => {},
      });
      try {
        const queries = Array.from(
          { length: 50 },
          (_, n) => sql`SELECT ${n}::int AS n`,
        );
        const rows = await Promise.all(queries);
        expect(rows.map(([row]) => row!.n)).toEqual([...rows.keys()]);
      } finally {
        await sql.end();
      }
    });

    it("returns engine errors and keeps serving the connection", async () => {
      expect(await errorCodeOf(client.query("SELECT 1/0"))).toEqual("22012");
      const failing = client.query("SELECT $1::int / 0", [1]);
      expect(await errorCodeOf(failing)).toEqual("22012");
      const { rows } = await client.query("SELECT $1::int AS a", [1]);
      expect(rows).toEqual([{ a: 1 }]);
    });

    it("isolates named statements between connections", async () => {
      const name = "same";
      await client.query({ name, text: "SELECT 'a' AS v" });
      await otherClient.query({ name, text: "SELECT 'b' AS v" });
      const first = await client.query({ name, text: "SELECT 'a' AS v" });
      const second = await otherClient.query({ name, text: "SELECT 'b' AS v" });
      expect([first.rows[0].v, second.rows[0].v]).toEqual(["a", "b"]);
    });

    it("isolates session settings between connections", async () => {
      await client.query("SET TimeZone = 'Asia/Amman'");
      await client.query("SET app.shop = 'zagreb'");
      const sql =
        "SELECT current_setting('TimeZone') z, current_setting('app.shop', true) s";
      const otherValues = (await otherClient.query(sql)).rows[0];
      expect(otherValues.z).toEqual("UTC");
      expect(otherValues.s || null).toEqual(null);
      const ownValues = (await client.query(sql)).rows[0];
      expect(ownValues).toEqual({ z: "Asia/Amman", s: "zagreb" });
      await client.query("DEALLOCATE ALL");
      expect((await client.query(sql)).rows[0].z).toEqual("Asia/Amman");
      await client.query("DISCARD ALL");
      expect((await client.query(sql)).rows[0].z).toEqual("UTC");
    });

    it("rejects statements that a single engine session cannot isolate", async () => {
      const texts = [
        "LISTEN a",
        "SELECT pg_advisory_lock(1)",
        "CREATE TEMP TABLE t (a int)",
        "PREPARE p AS SELECT 1",
        "SELECT lastval()",
        "COPY note FROM STDIN",
        "CREATE ROLE reader",
        "DO $$ BEGIN CREATE TABLE inner_table (a int); END $$",
      ];
      for (const text of texts) {
        expect(await errorCodeOf(client.query(text))).toEqual("0A000");
        expect(await errorCodeOf(client.query({ name: text, text })))
          .toEqual("0A000");
      }
      const accepted =
        "INSERT INTO note VALUES (9, 'LISTEN, copy x from stdin')";
      expect(await errorCodeOf(client.query(accepted))).toEqual("none");
    });

    it("runs one transaction at a time", async () => {
      await client.query("BEGIN");
      await client.query("INSERT INTO note VALUES (1, 'a')");
      const count = otherClient.query(
        "SELECT count(*)::int c FROM note WHERE kind = 1",
      );
      await client.query("ROLLBACK");
      expect((await count).rows).toEqual([{ c: 0 }]);
    });

    it("rolls back the transaction of a dropped connection", async () => {
      const dropping = await group.connect(group.primary);
      await dropping.query("BEGIN");
      await dropping.query("INSERT INTO note VALUES (2, 'a')");
      (dropping as unknown as { connection: { stream: { destroy(): void } } })
        .connection.stream.destroy();
      const sql = "SELECT count(*)::int c FROM note WHERE kind = 2";
      expect((await otherClient.query(sql)).rows).toEqual([{ c: 0 }]);
    });

    it("terminates an idle transaction that blocks other connections", async () => {
      const idle = await group.connect(group.primary);
      await idle.query("BEGIN");
      const { rows } = await otherClient.query("SELECT 1 AS a");
      expect(rows).toEqual([{ a: 1 }]);
      expect(await errorCodeOf(idle.query("SELECT 1"))).not.toEqual("none");
    });

    it("runs a query with schema changes and other statements as one transaction", async () => {
      const text = "CREATE TABLE half (a int); INSERT INTO half VALUES (1/0)";
      expect(await errorCodeOf(client.query(text))).toEqual("22012");
      expect(await errorCodeOf(client.query("TABLE half"))).toEqual("42P01");
    });

    it("cancels a sleeping statement but no later statement", async () => {
      const sleeping = client.query("SELECT pg_sleep(60)");
      const failure = errorCodeOf(sleeping);
      await sleep(SETTLE_MS);
      const { processID, secretKey } = client as unknown as {
        processID: number;
        secretKey: number;
      };
      const { default: pgModule } = await import("pg");
      const sendCancelRequest = () => {
        const { host, port } = group.primary;
        const connection = new pgModule.Connection() as unknown as {
          connect(port: number, host: string): void;
          on(event: string, listener: () => void): void;
          cancel(id: number, key: number): void;
        };
        connection.on("connect", () => connection.cancel(processID, secretKey));
        connection.connect(port, host);
      };
      sendCancelRequest();
      expect(await failure).toEqual("57014");
      sendCancelRequest();
      expect((await client.query("SELECT 1 AS a")).rows).toEqual([{ a: 1 }]);
    });

    it("returns a large result completely", async () => {
      const sql =
        "SELECT n, repeat('x', 1000) t FROM generate_series(1, 20000) n";
      const { rows } = await client.query(sql);
      expect(rows.length).toEqual(20_000);
      expect(rows.at(-1).n).toEqual(20_000);
    });

    it("rejects ordinary connections over the limit, but not control connections", async () => {
      const opened: pg.Client[] = [];
      let failure = "none";
      while (failure === "none" && opened.length < 10) {
        const opening = group.connect(group.primary);
        failure = await errorCodeOf(
          opening.then((connected) => opened.push(connected)),
        );
      }
      expect(failure).toEqual("53300");
      expect(opened.length <= 3).toEqual(true);
      expect((await group.status(group.primary)).role).toEqual("primary");
      await Promise.all(opened.map((connected) => connected.end()));
      await eventually(async () => {
        const reopened = await group.connect(group.primary).catch(() =>
          undefined
        );
        await reopened?.end();
        return reopened !== undefined;
      });
    });

    it("returns the commit position to a query pipelined after the commit", async () => {
      const text = "SELECT * FROM marjoramshed_position()";
      const start = (await client.query(text)).rows[0];
      const { host, port } = group.primary;
      const { database } = group;
      const sql = postgres({ ...ACCOUNT, host, port, database, max: 1 });
      const [, , , [end]] = await Promise.all([
        sql`BEGIN`.simple(),
        sql`INSERT INTO note VALUES (3, 'a')`,
        sql`COMMIT`.simple(),
        sql.unsafe(text),
      ]).finally(() => sql.end());
      if (!end) throw new Error("no position");
      expect(end.term).toEqual("1");
      expect(BigInt(end.lsn) > BigInt(start.lsn)).toEqual(true);
      const { received } = await group.status(group.primary);
      expect(end.lsn).toEqual(received);
    });
  });

  describe("when fenced during concurrent writes", () => {
    let group: Group;
    before(async () => {
      group = await Group.start({
        instances: 1,
        initSql: "CREATE TABLE ledger (id text PRIMARY KEY)",
        network: 44,
      });
    });
    after(() => group.stop());

    async function insertUntilDone(caller: number, done: () => boolean) {
      const acknowledged: string[] = [];
      let client: pg.Client | undefined;
      for (let n = 0; !done(); n += 1) {
        const id = `${caller}-${n}`;
        try {
          client ??= await group.connect(group.primary);
          if (caller % 2 === 0) await client.query("BEGIN");
          await client.query("INSERT INTO ledger VALUES ($1)", [id]);
          if (caller % 2 === 0) await client.query("COMMIT");
          acknowledged.push(id);
        } catch (error) {
          const { code } = error as { code?: string };
          if (code !== "25006") {
            client = undefined;
            continue;
          }
          // A fence may close the connection during the rollback.
          await client?.query("ROLLBACK").catch(() => {
            client = undefined;
          });
        }
      }
      await client?.end();
      return acknowledged;
    }

    it("stores exactly the writes that it acknowledged", async () => {
      const fences = 20;
      let done = false;
      const callers = Array.from(
        { length: 6 },
        (_, caller) => insertUntilDone(caller, () => done),
      );
      try {
        for (let term = 2; term < 2 + fences; term += 1) {
          await sleep(30);
          const runControlStatement = (name: string) =>
            group.control(
              group.primary,
              `SELECT * FROM marjoramshed_${name}(${term})`,
            );
          await runControlStatement("fence");
          await runControlStatement("promote");
        }
      } finally {
        done = true;
      }
      const acknowledged = (await Promise.all(callers)).flat();
      const stored = await readTable(group, group.primary, "ledger");
      expect(acknowledged.length > 0).toEqual(true);
      expect(stored.sort()).toEqual(acknowledged.map((id) => `(${id})`).sort());
    });
  });

  describe("as a member of a group", () => {
    let group: Group;
    before(async () => {
      group = await Group.start({ initSql: INIT_SQL, network: 42 });
    });
    after(() => group.stop());

    async function runStatements(instance: GroupInstance, ...texts: string[]) {
      const client = await group.connect(instance);
      try {
        for (const text of texts) await client.query(text);
      } finally {
        await client.end();
      }
    }

    async function expectSameRows(primary: GroupInstance, tables: string[]) {
      await group.converged(primary);
      for (const table of tables) {
        const expected = await readTable(group, primary, table);
        for (const instance of group.instances) {
          if (!instance.process.running) continue;
          expect(await readTable(group, instance, table)).toEqual(expected);
        }
      }
    }

    it("replicates identical rows, including now(), random() and serial values", async () => {
      await runStatements(
        group.primary,
        "INSERT INTO booking (shop) VALUES ('a'), ('b'), (NULL)",
        "UPDATE booking SET draw = random(), shop = 'it''s (x,\"y\\z\")' WHERE id = 2",
        "INSERT INTO note VALUES (1, 'x'), (1, 'x'), (2, NULL)",
        "DELETE FROM note WHERE ctid = (SELECT min(ctid) FROM note)",
        "UPDATE note SET body = 'y' WHERE kind = 2",
        "BEGIN; INSERT INTO note VALUES (4, 'a'); SAVEPOINT s; DELETE FROM note; ROLLBACK TO s; COMMIT",
      );
      await expectSameRows(group.primary, ["booking", "note"]);
    });

    it("replicates schema changes", async () => {
      await runStatements(
        group.primary,
        "CREATE TABLE made AS SELECT n, random() r FROM generate_series(1, 3) n; INSERT INTO made VALUES (4, 0)",
        "ALTER TABLE made ADD COLUMN at timestamptz DEFAULT clock_timestamp()",
        "ALTER TABLE made ADD COLUMN twice int GENERATED ALWAYS AS (n * 2) STORED",
        "CREATE TABLE counted (id int GENERATED ALWAYS AS IDENTITY PRIMARY KEY, a int[])",
        "INSERT INTO counted (a) VALUES ('{1,2}'), (NULL)",
        "CREATE TABLE emptied AS SELECT 1 AS a",
        "TRUNCATE emptied",
        "CREATE TABLE swapped (a int UNIQUE DEFERRABLE)",
        "INSERT INTO swapped VALUES (1), (2)",
        "UPDATE swapped SET a = 3 - a",
      );
      const client = await group.connect(group.primary);
      const name = "extended";
      await client.query({ name, text: "CREATE TABLE named (a text)" });
      await client.query("INSERT INTO named VALUES ($1)", ["č"]);
      await client.end();
      await expectSameRows(group.primary, [
        "made",
        "counted",
        "emptied",
        "swapped",
        "named",
      ]);
    });

    it("rejects writes on a replica with 25006", async () => {
      const [, replica] = group.instances;
      const insert = "INSERT INTO note VALUES (1, 'a')";
      expect(await errorCodeOf(runStatements(replica!, insert))).toEqual(
        "25006",
      );
      expect(
        await errorCodeOf(runStatements(replica!, "CREATE TABLE x (a int)")),
      )
        .toEqual("25006");
      expect(
        await errorCodeOf(
          runStatements(replica!, `BEGIN READ WRITE; ${insert}; COMMIT`),
        ),
      )
        .toEqual("25006");
    });

    it("reports a received but not applied position under an apply lag", async () => {
      const [, replica] = group.instances;
      await group.control(
        replica!,
        "SELECT * FROM marjoramshed_lag(0, 600000)",
      );
      const start = await group.status(replica!);
      await runStatements(group.primary, "INSERT INTO note VALUES (5, 'lag')");
      const { received } = await group.status(group.primary);
      await eventually(async () =>
        (await group.status(replica!)).received === received
      );
      expect((await group.status(replica!)).applied).toEqual(start.applied);
      await group.control(replica!, "SELECT * FROM marjoramshed_lag(0, 0)");
      await group.converged();
    });

    it("delays receipt under a receive lag and still hears its source", async () => {
      const [, replica] = group.instances;
      await group.control(
        replica!,
        "SELECT * FROM marjoramshed_lag(600000, 0)",
      );
      const start = await group.status(replica!);
      await runStatements(group.primary, "INSERT INTO note VALUES (6, 'lag')");
      await sleep(SETTLE_MS);
      const delayed = await group.status(replica!);
      expect(delayed.received).toEqual(start.received);
      expect(delayed.hears_source).toEqual(true);
      await group.control(replica!, "SELECT * FROM marjoramshed_lag(0, 0)");
      await group.converged();
    });

    it("reports that it does not hear a frozen source", async () => {
      const [primary, replica] = group.instances;
      primary!.process.suspend();
      await eventually(async () =>
        !(await group.status(replica!)).hears_source
      );
      primary!.process.resume();
      await eventually(async () => (await group.status(replica!)).hears_source);
    });

    it("fences, promotes and follows, and discards the former primary's divergent tail", async () => {
      const [first, second, third] = group.instances as [
        GroupInstance,
        GroupInstance,
        GroupInstance,
      ];
      await runStatements(first, "INSERT INTO booking (shop) VALUES ('kept')");
      await group.converged();
      const client = await group.connect(second);
      await client.query("BEGIN");
      for (const instance of [second, third]) {
        await group.control(instance, "SELECT * FROM marjoramshed_fence(2)");
      }
      expect(await errorCodeOf(client.query("SELECT 1"))).not.toEqual("none");
      const repeatedFence = group.control(
        second,
        "SELECT * FROM marjoramshed_fence(2)",
      );
      expect(await errorCodeOf(repeatedFence)).toEqual("55000");
      const earlyPromotion = group.control(
        second,
        "SELECT * FROM marjoramshed_promote(3)",
      );
      expect(await errorCodeOf(earlyPromotion)).toEqual("55000");

      await runStatements(first, "INSERT INTO booking (shop) VALUES ('lost')");
      const fenced = await group.status(third);
      expect(fenced.received === (await group.status(first)).received)
        .toEqual(false);

      const promoted = await group.control<{ role: string; last_term: string }>(
        second,
        "SELECT * FROM marjoramshed_promote(2)",
      );
      expect([promoted.role, promoted.last_term]).toEqual(["primary", "2"]);
      const follow =
        `SELECT * FROM marjoramshed_follow('${second.name}', '${second.host}', ${second.port}, 2)`;
      await group.control(third, follow);
      await group.control(first, follow);
      await runStatements(second, "INSERT INTO booking (shop) VALUES ('new')");
      await expectSameRows(second, ["booking", "note", "made", "counted"]);
      const shops = await readTable(group, first, "booking");
      expect(shops.some((row) => row.includes("lost"))).toEqual(false);
      expect(shops.filter((row) => /kept|new/.test(row)).length).toEqual(2);
    });

    it("does not reuse serial values after a promotion", async () => {
      const [, second, third] = group.instances;
      await runStatements(
        second!,
        "INSERT INTO booking (id, shop) VALUES (DEFAULT, 'gone')",
      );
      await runStatements(second!, "DELETE FROM booking WHERE shop = 'gone'");
      const formerClient = await group.connect(second!);
      const { rows: [last] } = await formerClient.query(
        "SELECT nextval('booking_id_seq')::int AS id",
      );
      await group.converged(second);
      await group.control(third!, "SELECT * FROM marjoramshed_fence(3)");
      await group.control(third!, "SELECT * FROM marjoramshed_promote(3)");
      const client = await group.connect(third!);
      const { rows: [next] } = await client.query(
        "INSERT INTO booking (shop) VALUES ('next') RETURNING id",
      );
      expect(next.id > last.id).toEqual(true);
      await client.end();
    });

    it("commits nothing when the instance is fenced during the transaction", async () => {
      const [, , third] = group.instances;
      const client = await group.connect(third!);
      await client.query("BEGIN");
      await client.query("INSERT INTO booking (shop) VALUES ('fenced')");
      await group.control(third!, "SELECT * FROM marjoramshed_fence(4)");
      expect(await errorCodeOf(client.query("COMMIT"))).not.toEqual("none");
      const shops = await readTable(group, third!, "booking");
      expect(shops.some((row) => row.includes("fenced"))).toEqual(false);
    });

    it("rebuilds a replica that was killed and restarted", async () => {
      const [first, second, third] = group.instances;
      await group.control(third!, "SELECT * FROM marjoramshed_promote(4)");
      const { seen_term } = await group.status(first!);
      await first!.process.kill();
      await group.startInstance(0, { ...third!, port: 1 });
      expect((await group.status(first!)).seen_term).toEqual(seen_term);
      expect(seen_term).toEqual("2");
      const follow = `SELECT * FROM marjoramshed_follow('x', '${
        third!.host
      }', ${third!.port}, 4)`;
      await group.control(first!, follow);
      await group.control(second!, follow);
      await expectSameRows(third!, ["booking", "note", "made", "counted"]);
    });

    it("rejects a fence on an instance that has no copy of the log yet", async () => {
      await group.startInstance(3, {
        ...group.primary,
        host: "127.42.9.9",
        name: "absent",
      });
      const fence = group.control(
        group.instances[3]!,
        "SELECT * FROM marjoramshed_fence(9)",
      );
      expect(await errorCodeOf(fence)).toEqual("57P03");
    });
  });
});
