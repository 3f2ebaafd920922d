/**
 * Tests that statements of concurrent transactions do not mix, and that session
 * state of one caller does not leak to the next on the same upstream connection.
 *
 * @module
 */
import { after, afterEach, before, describe, it } from "node:test";
import { setTimeout as delay } from "node:timers/promises";
import { expect } from "earl";
import pg from "pg";
import { failureOf } from "./support/callers.ts";
import { createDeployment, type Deployment } from "./support/deployment.ts";
import { eventually } from "./support/eventually.ts";

const PROXY = "entry-zagreb-1";
const OTHER_PROXY = "entry-zagreb-2";
const CALLER_COUNT = 60;
const SHED_RETRY_LIMIT_MS = 30_000;
const SHED_RETRY_PAUSE_MS = 50;
const INSERT =
  "INSERT INTO bookings (booking, parent, shop, wheel) VALUES ($1, $2, 's', 'w')";
/** Selects pairs of bookings of which one half is missing or duplicated. */
const INCOMPLETE_PAIRS =
  "SELECT booking FROM bookings WHERE parent IN ('left', 'right') GROUP BY booking HAVING count(*) <> 2 OR count(DISTINCT parent) <> 2";

describe("isolation of callers", () => {
  let deployment: Deployment;

  before(async () => {
    deployment = await createDeployment({ proxies: 2 });
  });
  afterEach(async () => {
    await deployment.heal();
  });
  after(async () => {
    await deployment?.stack.stop();
  });

  async function rows(query: string): Promise<readonly string[]> {
    return await deployment.queryColumn(await deployment.primary(), query);
  }

  async function connectMany(
    count: number,
    proxy = PROXY,
  ): Promise<readonly pg.Client[]> {
    return await Promise.all(
      Array.from({ length: count }, () => deployment.connect(proxy)),
    );
  }

  async function bookPair(client: pg.Client, name: string): Promise<void> {
    await begin(client);
    await client.query(INSERT, [name, "left"]);
    await client.query("SAVEPOINT half");
    await client.query(INSERT, [name, "undone"]);
    await client.query("ROLLBACK TO SAVEPOINT half");
    await client.query(INSERT, [name, "right"]);
    await client.query("COMMIT");
  }

  it("keeps transactions with savepoints apart for 60 callers on few connections", async () => {
    const clients = await connectMany(CALLER_COUNT);
    await Promise.all(
      clients.map((client, n) => bookPair(client, `many-${n}`)),
    );
    const bookings = await rows(
      "SELECT booking FROM bookings WHERE booking LIKE 'many-%' GROUP BY booking",
    );
    expect(bookings.length).toEqual(CALLER_COUNT);
    expect(await rows(INCOMPLETE_PAIRS)).toEqual([]);
    expect(await rows("SELECT booking FROM bookings WHERE parent = 'undone'"))
      .toEqual([]);
    await Promise.all(clients.map((client) => client.end()));
  });

  it("leaves no partial transaction when a proxy is killed", async () => {
    const clients = await connectMany(CALLER_COUNT / 2, OTHER_PROXY);
    let committed = 0;
    const work = clients.map(async (client, n) => {
      for (let round = 0;; round += 1) {
        await bookPair(client, `killed-${n}-${round}`);
        committed += 1;
      }
    });
    const ended = Promise.allSettled(work);
    while (committed < CALLER_COUNT) await delay(10);
    await deployment.stack.process(OTHER_PROXY).kill();
    await ended;
    await deployment.heal();
    expect(await rows(INCOMPLETE_PAIRS)).toEqual([]);
    expect(
      (await rows(
        "SELECT DISTINCT booking FROM bookings WHERE booking LIKE 'killed-%'",
      )).length >= committed,
    ).toEqual(true);
  });

  it("rolls back the transactions of callers that disconnect", async () => {
    for (let round = 0; round < 10; round += 1) {
      const clients = await connectMany(6);
      const work = clients.map(async (client, n) => {
        await client.query("BEGIN");
        await client.query(INSERT, [`dropped-${round}-${n}`, "left"]);
        await client.query(INSERT, [`dropped-${round}-${n}`, "right"]);
      });
      const remaining = bookPair(
        await deployment.connect(PROXY),
        `stayed-${round}`,
      );
      await delay(10 * round);
      for (const client of clients) streamOf(client).destroy();
      await Promise.allSettled(work);
      await remaining;
    }
    expect(await rows(INCOMPLETE_PAIRS)).toEqual([]);
    expect(
      await rows("SELECT booking FROM bookings WHERE booking LIKE 'dropped-%'"),
    ).toEqual([]);
  });

  describe("settings", () => {
    const settingSequences: readonly (readonly string[])[] = [
      ["SET search_path = 'pg_catalog'"],
      ["BEGIN", "SET LOCAL search_path = 'pg_catalog'", "SELECT 1", "COMMIT"],
      ["BEGIN", "SET search_path = 'pg_catalog'", "ROLLBACK"],
      ["BEGIN", "SET search_path = 'pg_catalog'", "COMMIT"],
      ["SET search_path = 'pg_catalog'", "DEALLOCATE ALL"],
      ["SELECT set_config('search_path', 'pg_catalog', false)"],
      ["SET search_path = 'pg_catalog'; SELECT 1"],
      [
        "BEGIN",
        "SAVEPOINT a",
        "SET search_path = 'pg_catalog'",
        "ROLLBACK TO a",
        "COMMIT",
      ],
      ["BEGIN READ ONLY", "SET search_path = 'pg_catalog'", "COMMIT"],
      ["DO $$ BEGIN PERFORM set_config('search_path', 'pg_catalog', false); END $$"],
    ];
    for (const texts of settingSequences) {
      it(`do not leak to other callers after ${texts.join("; ")}`, async () => {
        const setters = await connectMany(12);
        const others = await connectMany(24);
        try {
          await Promise.all(setters.map(async (client) => {
            for (const text of texts) await run(client, text);
          }));
          const shown = await Promise.all(others.map(async (client) => {
            const path = await run(client, "SHOW search_path");
            const write = await run(client, "DELETE FROM bookings WHERE false");
            const inside = await showInTransaction(client);
            return [path.rows[0].search_path, inside, write.rowCount];
          }));
          for (const found of shown) {
            expect(found).toEqual(["public", "public", 0]);
          }
        } finally {
          await Promise.all([...setters, ...others].map((one) => one.end()));
        }
      });
    }

    it("keep the value of a committed SET for the caller that set it", async () => {
      const [client] = await connectMany(1);
      for (
        const text of ["BEGIN", "SET search_path = 'pg_catalog'", "COMMIT"]
      ) {
        await client!.query(text);
      }
      const shown = await client!.query("SHOW search_path");
      expect(shown.rows[0].search_path).toEqual("pg_catalog");
      await client!.end();
    });
  });

  it("separates prepared statements with the same name and different texts", async () => {
    const clients = await connectMany(24);
    for (let round = 0; round < 5; round += 1) {
      const found = await Promise.all(clients.map((client, n) =>
        client.query({
          name: "find",
          text: `SELECT ${n} AS caller, $1::int AS given`,
          values: [round],
        })
      ));
      expect(found.map((result) => result.rows[0])).toEqual(
        clients.map((_, n) => ({ caller: n, given: round })),
      );
    }
    await Promise.all(clients.map((client) => client.end()));
  });

  it("does not leak temporary tables, advisory locks, PREPARE and LISTEN", async () => {
    const clients = await connectMany(4);
    for (const client of clients) {
      for (
        const text of [
          "CREATE TEMP TABLE scratch (n int)",
          "SELECT pg_advisory_lock(7)",
          "PREPARE leaked AS SELECT 1",
          "LISTEN leaked",
        ]
      ) {
        await client.query(text).catch(() => {});
      }
    }
    await Promise.all(clients.map((client) => client.end()));
    for (const client of await connectMany(24)) {
      expect((await failureOf(client.query("SELECT * FROM scratch"))).code)
        .toEqual("42P01");
      const prepared = await failureOf(client.query("EXECUTE leaked"));
      expect(["26000", "0A000"].includes(prepared.code ?? "")).toEqual(true);
      await client.end();
    }
  });
});

/** Begins a transaction; retries while the proxy sheds load, as it does with this many callers. */
async function begin(client: pg.Client): Promise<void> {
  await eventually(
    () =>
      client.query("BEGIN").then(() => true, (error) => {
        if (error.code !== "53300") throw error;
        return false;
      }),
    "a transaction begins",
  );
}

async function showInTransaction(client: pg.Client): Promise<string> {
  await run(client, "BEGIN");
  const shown = await client.query("SHOW search_path");
  await client.query("COMMIT");
  return shown.rows[0].search_path;
}

/** Runs a statement; retries it when the proxy sheds it, because it was not run. */
async function run(client: pg.Client, text: string): Promise<pg.QueryResult> {
  const until = performance.now() + SHED_RETRY_LIMIT_MS;
  for (;;) {
    try {
      return await client.query(text);
    } catch (error) {
      const { code, detail } = error as pg.DatabaseError;
      const shed = code === "53300" && detail?.includes("Not run");
      if (!shed || performance.now() > until) throw error;
      await delay(SHED_RETRY_PAUSE_MS);
    }
  }
}

function streamOf(client: pg.Client): { destroy(): void } {
  return (client as unknown as { connection: { stream: { destroy(): void } } })
    .connection.stream;
}
