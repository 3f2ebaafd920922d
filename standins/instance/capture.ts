/**
 * Change data capture: reads the changes that the triggers of the internal schema
 * recorded for a committed transaction.
 *
 * @module
 */
import {
  CREATE_INTERNAL_SCHEMA,
  INTERNAL_SCHEMA,
  START_CAPTURE,
} from "./capture_schema.ts";
import { type Engine, quoteLiteral, readRows } from "./engine.ts";
import { createMessage, int16, int32 } from "./wire.ts";

/** One change: a row image, a truncated table, a schema change or the value of a sequence. */
export interface Change {
  readonly kind:
    | "insert"
    | "update"
    | "delete"
    | "clear"
    | "schema"
    | "sequence";
  /** Schema-qualified, quoted name of the table or sequence; undefined for a schema change. */
  readonly relation?: string;
  /** Old row as composite text; for a schema change, its search path. */
  readonly old?: string;
  /** New row as composite text, SQL text of a schema change, or last value of a sequence, undefined if unused. */
  readonly new?: string;
}

const TAKE_STATEMENT = "marjoramshed_take";
const TAKES_BETWEEN_TRUNCATES = 500;

/** Reads and deletes the rows of the internal change table. */
export class Capture {
  readonly #engine: Engine;
  readonly #sequences = new Map<string, string | null>();
  #takes = 0;

  constructor(engine: Engine) {
    this.#engine = engine;
  }

  /**
   * Creates the internal schema, runs `initSql` without capturing its changes, and
   * starts the capture.
   */
  start(initSql: string): void {
    this.#engine.query(CREATE_INTERNAL_SCHEMA);
    if (initSql.trim() !== "") this.#engine.query(initSql);
    this.#engine.query(START_CAPTURE);
    this.refreshSequences();
  }

  /** Rereads the list of sequences and prepares the statement that reads their values. */
  refreshSequences(): void {
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

  /** Returns the changes since the last call and deletes them from the change table. */
  takeChanges(): readonly Change[] {
    const rows = readRows(this.#engine.execute(TAKE));
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
    readRows(this.#engine.execute(Buffer.concat([
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
