/**
 * Takes the changes of a committed transaction off the internal schema.
 *
 * @module
 */
import {
  CAPTURE_SCHEMA,
  CAPTURE_START,
  INTERNAL_SCHEMA,
} from "./capture_schema.ts";
import { type Engine, quoteLiteral, rowsOf } from "./engine.ts";
import { createMessage, int16, int32 } from "./wire.ts";

/** One change: a row image, a table that was emptied, a schema change or a sequence. */
export interface Change {
  readonly kind:
    | "insert"
    | "update"
    | "delete"
    | "clear"
    | "schema"
    | "sequence";
  /** Table or sequence, quoted and with its schema. */
  readonly relation?: string;
  /** The row before; the search path of a schema change. */
  readonly old?: string;
  /** The row after; the text of a schema change; the last value of a sequence. */
  readonly new?: string;
}

const TAKE_STATEMENT = "marjoramshed_take";
const TAKES_BETWEEN_TRUNCATES = 500;

/** Reads and empties the table of changes. */
export class Capture {
  readonly #engine: Engine;
  readonly #sequences = new Map<string, string | null>();
  #takes = 0;

  constructor(engine: Engine) {
    this.#engine = engine;
  }

  /** Creates the internal schema and the tables that are the same everywhere. */
  start(initSql: string): void {
    this.#engine.query(CAPTURE_SCHEMA);
    if (initSql.trim() !== "") this.#engine.query(initSql);
    this.#engine.query(CAPTURE_START);
    this.refresh();
  }

  /** Prepares for the sequences that there are now. */
  refresh(): void {
    const names = this.#engine.query(`
      SELECT format('%I.%I', n.nspname, c.relname), pg_sequence_last_value(c.oid)
      FROM pg_class c JOIN pg_namespace n ON n.oid = c.relnamespace
      WHERE c.relkind = 'S' AND n.nspname <> '${INTERNAL_SCHEMA}'`);
    const before = new Map(this.#sequences);
    this.#sequences.clear();
    for (const [name] of names) {
      this.#sequences.set(name!, before.get(name!) ?? null);
    }
    this.#prepare();
  }

  /** Takes the changes since the last time. */
  take(): readonly Change[] {
    const rows = rowsOf(this.#engine.execute(TAKE));
    const changes: Change[] = [];
    for (const [, kind, relation, old, next] of rows) {
      if (kind === "sequence") {
        if (this.#sequences.get(relation!) === next) continue;
        this.#sequences.set(relation!, next!);
      }
      changes.push({
        kind: kind as Change["kind"],
        relation: relation ?? undefined,
        old: old ?? undefined,
        new: next ?? undefined,
      });
    }
    this.#takes += 1;
    if (this.#takes % TAKES_BETWEEN_TRUNCATES === 0) {
      this.#engine.query(`TRUNCATE ${INTERNAL_SCHEMA}.change`);
    }
    return changes;
  }

  #prepare(): void {
    const sequences = [...this.#sequences.keys()].map((name) =>
      `UNION ALL SELECT 9223372036854775807, 'sequence', ${quoteLiteral(name)},
       NULL, pg_sequence_last_value(${quoteLiteral(name)}::regclass)::text`
    );
    const sql = `WITH taken AS (
        DELETE FROM ${INTERNAL_SCHEMA}.change RETURNING n, kind, relation, old, new)
      SELECT n, kind, relation, old, new FROM taken
      ${sequences.join("\n")} ORDER BY 1`;
    rowsOf(this.#engine.execute(Buffer.concat([
      createMessage("C", Buffer.from("S"), TAKE_STATEMENT),
      createMessage("P", TAKE_STATEMENT, sql, int16(0)),
      createMessage("S"),
    ])));
  }
}

const TAKE = Buffer.concat([
  createMessage("B", "", TAKE_STATEMENT, int16(0), int16(0), int16(0)),
  createMessage("E", "", int32(0)),
  createMessage("S"),
]);
