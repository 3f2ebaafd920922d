import { before, describe, it } from "node:test";
import { expect } from "earl";
import fc from "fast-check";
import type { Classification } from "../src/plugins/classification/classification.ts";
import { GrammarClassifier } from "../src/plugins/classification/grammar_classifier.ts";

const READS = [
  "SELECT * FROM stock WHERE shop = $1 ORDER BY place LIMIT 5",
  "SELECT count(*), max(price) FROM stock s JOIN shop USING (id) GROUP BY place",
  "WITH near AS (SELECT * FROM shop) SELECT * FROM near, LATERAL (SELECT 1) x",
  "WITH RECURSIVE t(n) AS (VALUES (1) UNION ALL SELECT n + 1 FROM t) TABLE t",
  "VALUES (1), (2)",
  "SELECT pg_catalog.now(), current_timestamp, extract(year FROM now())",
  "SELECT row_number() OVER (PARTITION BY shop) FROM stock",
  "SELECT data ->> 'wheel', jsonb_agg(x) FILTER (WHERE x > 1) FROM stock",
  "SELECT overlay('a' placing 'b' from 1), trim(x), a::text, (ARRAY[1])[1] FROM t",
  "SELECT * FROM generate_series(1, 3) AS g(n), unnest($1::int[])",
  "SELECT 1 WHERE EXISTS (SELECT 1 FROM stock) AND 2 IN (SELECT 2)",
  "EXPLAIN SELECT * FROM stock",
  "SHOW server_version",
  "SELECT 1; SELECT 2",
];

const WRITES = [
  "INSERT INTO booking VALUES (1) RETURNING id",
  "UPDATE stock SET held = held + 1",
  "DELETE FROM stock",
  "MERGE INTO stock USING shop ON true WHEN MATCHED THEN DELETE",
  "SELECT * FROM stock FOR UPDATE",
  "SELECT * FROM stock FOR KEY SHARE SKIP LOCKED",
  "SELECT 1 UNION (SELECT id FROM stock FOR SHARE)",
  "SELECT * INTO copy FROM stock",
  "SELECT nextval('booking_id')",
  "SELECT setval('booking_id', 1) OVER ()",
  "SELECT pg_catalog.nextval('booking_id')",
  "SELECT public.count(1)",
  "SELECT book_wheel(1)",
  "SELECT * FROM book_wheel(1)",
  "SELECT sum(price) FILTER (WHERE book_wheel(id)) FROM stock",
  "SELECT 1 ORDER BY nextval('a')",
  "SELECT 1 LIMIT nextval('a')",
  "SELECT 1 FROM a JOIN b ON nextval('a') = 1",
  "SELECT CASE WHEN true THEN lo_unlink(1) END",
  "SELECT ARRAY[nextval('a')], ROW(nextval('a'))",
  "SELECT currval('a'), lastval(), txid_current(), pg_sleep(1), random()",
  "SELECT pg_notify('a', 'b')",
  "SELECT query_to_xml('DELETE FROM stock', true, true, '')",
  'SELECT "COUNT"(1)',
  "EXPLAIN ANALYZE INSERT INTO booking VALUES (1)",
  "EXPLAIN (ANALYZE, COSTS) DELETE FROM stock",
  "CREATE TABLE a (b int)",
  "LOCK TABLE stock",
  "TRUNCATE stock",
  "CALL book(1)",
  "COPY stock TO STDOUT",
  "EXECUTE book(1)",
  "PREPARE TRANSACTION 'a'",
  "SELECT * FROM pg_stat_activity",
  "SHOW transaction_read_only",
  "SELECT FROM WHERE",
  "not a statement",
];

const PINNING = [
  "CREATE TEMP TABLE a (b int)",
  "CREATE TABLE pg_temp.a (b int)",
  "CREATE TEMP VIEW a AS SELECT 1",
  "SELECT 1 INTO TEMP a",
  "CREATE TEMP TABLE a AS SELECT 1",
  "PREPARE a AS SELECT 1",
  "LISTEN a",
  "DECLARE a CURSOR WITH HOLD FOR SELECT 1",
  "SELECT pg_advisory_lock(1)",
  "SELECT 1 FROM stock WHERE pg_try_advisory_lock_shared(1)",
  "SELECT set_config('a.b', 'c', false)",
  "SELECT set_config('a.b', 'c', $1)",
  "LOAD 'auto_explain'",
  "DO $$ BEGIN END $$",
  "SET ROLE shop",
  "SET SESSION AUTHORIZATION shop",
  "RESET ROLE",
  "DISCARD TEMP",
  "SET a.b = 1; SELECT 1",
  "SET SESSION CHARACTERISTICS AS TRANSACTION READ ONLY, DEFERRABLE",
];

const UNPINNED = [
  "SET LOCAL a.b = 1",
  "SELECT pg_advisory_xact_lock(1)",
  "SELECT set_config('a.b', 'c', true)",
  "DECLARE a CURSOR FOR SELECT 1",
  "SET TRANSACTION ISOLATION LEVEL SERIALIZABLE",
  "INSERT INTO booking VALUES (1)",
  "SAVEPOINT a",
];

/** Embed a statement in another text; a write stays a write in each of them. */
const WRAPPERS: readonly ((text: string) => string)[] = [
  (text) => `SELECT 1; ${text}`,
  (text) => `${text}; SELECT 1`,
  (text) => `BEGIN; ${text}; COMMIT`,
  (text) => `WITH a AS (${text}) SELECT * FROM a`,
  (text) => `WITH a AS (WITH b AS (${text}) TABLE b) SELECT 1`,
  (text) => `SELECT * FROM (${text}) AS a`,
  (text) => `SELECT (SELECT 1 WHERE EXISTS (${text}))`,
  (text) => `SELECT 1 UNION ALL (${text})`,
  (text) => `EXPLAIN ANALYZE ${text}`,
  (text) => `EXPLAIN (ANALYZE true) ${text}`,
  (text) => `PREPARE a AS ${text}`,
  (text) => `/* marjoramshed kind=stock */ ${text}`,
  (text) => `-- SELECT 1\n${text}`,
  (text) => `/* /* SELECT */ 1; */ ${text}`,
];

const wrappedWrite = fc.tuple(
  fc.constantFrom(...WRITES, ...PINNING),
  fc.array(fc.constantFrom(...WRAPPERS), { maxLength: 4 }),
).map(([text, wrappers]) =>
  wrappers.reduce((inner, wrap) => wrap(inner), text)
);

describe("classification", () => {
  const classifier = new GrammarClassifier();
  const classify = (text: string) => classifier.classify(text);

  before(() => classifier.start());

  describe("effect", () => {
    for (const text of READS) {
      it(`is read: ${text}`, () =>
        expect(classify(text).effect).toEqual("read"));
    }

    for (const text of [...WRITES, ...PINNING]) {
      it(`is write: ${text}`, () =>
        expect(classify(text).effect).toEqual("write"));
    }

    it("is control for an empty text, transactions and settings", () => {
      for (const text of ["", " ", ";", "-- a", "/* a */", "SET a.b = 1"]) {
        expect(classify(text).effect).toEqual("control");
      }
    });

    it("is never read for a text that contains a write", () => {
      fc.assert(
        fc.property(wrappedWrite, (text) => {
          expect(classify(text).effect).toEqual("write");
        }),
        { numRuns: 1_000 },
      );
    });

    it("does not depend on comments, keyword case or white space", () => {
      const gap = fc.constantFrom(" ", "\n\t", " /* a; /* b */ */ ", " -- c\n");
      const sample = fc.constantFrom(...READS, ...WRITES, ...PINNING);
      fc.assert(fc.property(sample, gap, fc.boolean(), (text, space, lower) => {
        const quoted = /['"$]/.test(text);
        const cased = lower && !quoted ? text.toLowerCase() : text;
        const changed = space + (quoted ? cased : cased.replaceAll(" ", space));
        const { replayed: _, ...wanted } = classify(text);
        const { replayed: __, ...found } = classify(changed);
        expect(found).toEqual(wanted);
      }));
    });

    it("is write for texts that are nested too deeply or too large to analyze", () => {
      for (const text of [deepSum(100_000), deepSum(2_000_000)]) {
        expect(classify(text).effect).toEqual("write");
      }
      expect(classify("SELECT 1").effect).toEqual("read");
    });
  });

  describe("session state", () => {
    for (const text of PINNING) {
      it(`is pinned: ${text}`, () =>
        expect(classify(text).sessionState).toEqual("pinned"));
    }

    for (const text of UNPINNED) {
      it(`is none: ${text}`, () =>
        expect(classify(text).sessionState).toEqual(undefined));
    }

    it("replays a setting under its lower-case name", () => {
      expect(classify("SET TimeZone TO 'UTC'").replayed).toEqual({
        name: "timezone",
        text: "SET TimeZone TO 'UTC'",
      });
      expect(classify("RESET timezone").replayed).toEqual({
        name: "timezone",
        text: undefined,
      });
      expect(classify("RESET ALL").replayed?.name).toEqual("all");
    });
  });

  describe("transaction control", () => {
    const commands: readonly [string, Classification["transaction"]][] = [
      ["BEGIN", "begin"],
      ["START TRANSACTION READ WRITE", "begin"],
      ["BEGIN ISOLATION LEVEL REPEATABLE READ, READ ONLY", "begin read only"],
      ["BEGIN ISOLATION LEVEL SERIALIZABLE READ ONLY DEFERRABLE", "begin"],
      ["END", "commit"],
      ["COMMIT AND CHAIN", "commit"],
      ["ABORT", "rollback"],
      ["ROLLBACK TO a", undefined],
      ["BEGIN; COMMIT", undefined],
    ];
    for (const [text, command] of commands) {
      it(`reads ${text}`, () => {
        expect(classify(text).transaction).toEqual(command);
        expect(classify(text).effect).toEqual("control");
      });
    }

    it("reports transaction control among other statements", () => {
      expect(classify("BEGIN; SELECT 1").mixedTransaction).toEqual(true);
      expect(classify("SELECT 1; SELECT 2").mixedTransaction).toEqual(false);
    });
  });

  describe("commands for the proxy", () => {
    it("reads settings and SHOW", () => {
      expect(classify("SET LOCAL marjoramshed.request = 'a-1'").proxySetting)
        .toEqual({ name: "request", value: "a-1", local: true });
      expect(classify("SET SESSION marjoramshed.position TO '3/40'"))
        .toLooseEqual({
          ...classify("SET marjoramshed.position = '3/40'"),
        });
      expect(classify("SHOW marjoramshed.position").shownSetting)
        .toEqual("position");
    });

    it("reads leading block and line comments", () => {
      const text = "/* marjoramshed kind=stock request=b-7 */\n" +
        "-- marjoramshed position=2/512\nSELECT * FROM stock";
      const { requestId, position, kind, effect } = classify(text);
      expect({ requestId, position, kind, effect }).toEqual({
        requestId: "b-7",
        position: { term: 2, lsn: 512n },
        kind: "stock",
        effect: "read",
      });
    });

    it("ignores comments that are not leading or not addressed to the proxy", () => {
      for (
        const text of [
          "SELECT 1 /* marjoramshed request=a */",
          "/* request=a */ SELECT 1",
          "/* marjoramshedded request=a */ SELECT 1",
        ]
      ) expect(classify(text).requestId).toEqual(undefined);
    });

    it("recognizes DEALLOCATE, DISCARD and COPY", () => {
      expect(classify("DEALLOCATE a").deallocatedStatement).toEqual("a");
      expect(classify("DEALLOCATE ALL").discardsState).toEqual(true);
      expect(classify("DISCARD ALL").discardsState).toEqual(true);
      expect(classify("COPY a FROM STDIN").unsupported).toEqual(true);
    });
  });

  describe("tables", () => {
    const tables = (text: string) => [...classify(text).tables].sort();

    it("are reported in lower case without schema", () => {
      expect(tables("SELECT * FROM public.Stock JOIN shop USING (id)"))
        .toEqual(["shop", "stock"]);
    });

    it("include a table that a common table expression of the same name reads", () => {
      expect(tables("WITH stock AS (SELECT * FROM stock) TABLE stock"))
        .toEqual(["stock"]);
      expect(tables("WITH a AS (SELECT * FROM stock) TABLE a"))
        .toEqual(["stock"]);
      expect(tables("SELECT 1, (WITH a AS (SELECT 1) TABLE a) FROM a"))
        .toEqual(["a"]);
    });
  });
});

function deepSum(length: number): string {
  return "SELECT 1" + "+1".repeat(length / 2);
}
