/**
 * Tests of the settings that callers bring along in the startup packet, with real
 * processes.
 *
 * @module
 */
import { after, before, describe, it } from "node:test";
import { expect } from "earl";
import type pg from "pg";
import { createStack, type Stack } from "../standins/stack/stack.ts";
import { connectCaller, failureOf } from "./support/callers.ts";

const DATABASE = "booking";
/** A refused statement waits for nothing. */
const ANSWER_LIMIT_MS = 500;
const ZONE = "Asia/Tokyo";
const ZONE_OFFSET_S = 9 * 3_600;
const UTC_MIDNIGHT = Date.UTC(2024, 0, 1) / 1_000;

describe("settings of the startup packet", () => {
  let running: Stack;

  before(async () => {
    running = await createStack({
      databases: [DATABASE],
      proxies: 1,
      logLevel: "warn",
    });
  });
  after(() => running?.stop());

  /** Connects with the startup options, lets `use` run, and ends the connection. */
  async function withCaller<T>(
    options: string,
    use: (client: pg.Client) => Promise<T>,
  ): Promise<T> {
    const stack = running.describe();
    const client = await connectCaller({ stack, database: DATABASE, options });
    try {
      return await use(client);
    } finally {
      await client.end();
    }
  }

  async function show(client: pg.Client, name: string): Promise<string> {
    const { rows } = await client.query(`SHOW ${name}`);
    return Object.values(rows[0] as Record<string, string>)[0]!;
  }

  it("keep the items of a list apart", async () => {
    const path = await withCaller(
      "-c search_path=pg_catalog,public",
      (client) => show(client, "search_path"),
    );
    expect(path).toEqual("pg_catalog,public");
  });

  for (
    const text of [
      "RESET TimeZone",
      "SET TimeZone TO DEFAULT",
      "RESET ALL",
      "DISCARD ALL",
    ]
  ) {
    it(`are in force again after ${text}`, async () => {
      const zones = await withCaller(`-c TimeZone=${ZONE}`, async (client) => {
        const first = await show(client, "TimeZone");
        await client.query("SET TimeZone = 'Europe/Zagreb'");
        const changed = await show(client, "TimeZone");
        await client.query(text);
        return [first, changed, await show(client, "TimeZone")];
      });
      expect(zones).toEqual([ZONE, "Europe/Zagreb", ZONE]);
      const other = await withCaller("", (client) => show(client, "TimeZone"));
      expect(other).toEqual("UTC");
    });
  }

  it("that the upstream does not accept fail each statement at once with its error", async () => {
    await withCaller("-c nosuch=1", async (client) => {
      for (const text of ["SELECT 1", "CREATE TABLE notes (n int)"]) {
        const startedAt = performance.now();
        const error = await failureOf(client.query(text));
        expect(error.code).toEqual("42704");
        expect(error.message).toInclude("unrecognized configuration parameter");
        const elapsed = performance.now() - startedAt;
        expect(elapsed < ANSWER_LIMIT_MS).toEqual(true);
      }
    });
  });

  it("decide how the session's prepared statements are read", async () => {
    const query = {
      name: "midnight",
      text:
        "SELECT extract(epoch FROM timestamptz '2024-01-01 00:00')::int AS at",
    };
    const found = new Map<string, Set<number>>();
    for (let round = 0; round < 4; round += 1) {
      for (const zone of ["UTC", ZONE]) {
        const at = await withCaller(
          `-c TimeZone=${zone}`,
          async (client) => (await client.query(query)).rows[0].at,
        );
        found.set(zone, (found.get(zone) ?? new Set()).add(at));
      }
    }
    expect([...found]).toEqual([
      ["UTC", new Set([UTC_MIDNIGHT])],
      [ZONE, new Set([UTC_MIDNIGHT - ZONE_OFFSET_S])],
    ]);
  });
});
