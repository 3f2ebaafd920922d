/**
 * Tests of what else could stand for a request's id, or be taken for the request,
 * with real processes.
 *
 * @module
 */
import { after, before, describe, it } from "node:test";
import { expect } from "earl";
import type pg from "pg";
import { ResultCodes } from "../src/kernel/result_codes.ts";
import { createStack, type Stack } from "../standins/stack/stack.ts";
import { connectCaller, failureOf } from "./support/callers.ts";

const DATABASE = "booking";
const INVALID_ID = ResultCodes.REQUEST_ID_INVALID.sqlState;

describe("request ids", () => {
  let running: Stack;
  let client: pg.Client;

  before(async () => {
    running = await createStack({
      databases: [DATABASE],
      proxies: 1,
      logLevel: "warn",
    });
    client = await connect();
    await client.query("CREATE TABLE notes (text text)");
  });
  after(async () => {
    await client?.end();
    await running?.stop();
  });

  function connect(): Promise<pg.Client> {
    return connectCaller({ stack: running.describe(), database: DATABASE });
  }

  async function notes(): Promise<readonly string[]> {
    const { rows } = await client.query("SELECT text FROM notes ORDER BY text");
    return rows.map((row) => row.text as string);
  }

  describe("of a transaction", () => {
    it("keep the options of the first BEGIN in a database without a ledger", async () => {
      await client.query(
        "/* marjoramshed request=first */ BEGIN ISOLATION LEVEL REPEATABLE READ",
      );
      const { rows } = await client.query("SHOW transaction_isolation");
      await client.query("COMMIT");
      expect(rows).toEqual([{ transaction_isolation: "repeatable read" }]);
    });

    it("don't count as done when a statement has used them", async () => {
      const comment = "/* marjoramshed request=shared */";
      await client.query(`${comment} INSERT INTO notes VALUES ('shared')`);
      const error = await failureOf(client.query(`${comment} BEGIN`));
      expect(error.code).toEqual("MS407");
    });
  });

  describe("on a connection that the session keeps", () => {
    let keeper: pg.Client;

    before(async () => {
      keeper = await connect();
      await keeper.query("SET TimeZone = 'Asia/Tokyo'; SELECT 1");
    });
    after(() => keeper?.end());

    async function zone(): Promise<string> {
      return (await keeper.query("SHOW TimeZone")).rows[0].TimeZone;
    }

    it("run a statement once", async () => {
      const insert =
        "/* marjoramshed request=kept */ INSERT INTO notes VALUES ('kept')";
      await keeper.query(insert);
      const repeated = await keeper.query(insert);
      expect(repeated.rowCount).toEqual(1);
      expect((await notes()).filter((text) => text === "kept"))
        .toEqual(["kept"]);
      expect(await zone()).toEqual("Asia/Tokyo");
    });

    it("run a transaction once", async () => {
      const begin = "/* marjoramshed request=kept-too */ BEGIN";
      await keeper.query(begin);
      await keeper.query("INSERT INTO notes VALUES ('kept-too')");
      await keeper.query("COMMIT");
      const error = await failureOf(keeper.query(begin));
      expect(error.code).toEqual("MS408");
      expect(await zone()).toEqual("Asia/Tokyo");
    });

    it("are refused when they are invalid, and the session goes on", async () => {
      const long = "x".repeat(201);
      const error = await failureOf(
        keeper.query(`/* marjoramshed request=${long} */ DELETE FROM notes`),
      );
      expect(error.code).toEqual(INVALID_ID);
      expect(await zone()).toEqual("Asia/Tokyo");
    });
  });

  describe("of a statement", () => {
    it("tell statements apart after a comment that ends at a carriage return", async () => {
      const insert = (text: string) =>
        `-- marjoramshed request=line\rINSERT INTO notes VALUES ('${text}')`;
      await client.query(insert("line 1"));
      const error = await failureOf(client.query(insert("line 2")));
      expect(error.code).toEqual("MS407");
      expect((await notes()).filter((text) => text.startsWith("line")))
        .toEqual(["line 1"]);
    });

    it("don't depend on a nested comment", async () => {
      const insert = (position: string) =>
        `/* marjoramshed request=nested /* */ position=${position} */ INSERT INTO notes VALUES ('nested')`;
      await client.query(insert("0/1"));
      await client.query(insert("0/2"));
      expect((await notes()).filter((text) => text === "nested"))
        .toEqual(["nested"]);
    });
  });
});
