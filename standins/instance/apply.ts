/**
 * Replays the changes of a log entry in the engine of a replica.
 *
 * @module
 */
import type { Change } from "./capture.ts";
import { INTERNAL_SCHEMA } from "./capture_schema.ts";
import { type Engine, quoteLiteral } from "./engine.ts";

const BEGIN = `BEGIN READ WRITE; SET LOCAL session_replication_role = replica;
  SET CONSTRAINTS ALL DEFERRED;`;
const CONCURRENT_DDL = /\bconcurrently\b/i;

/** Quoted column names of a table, without generated columns. */
interface Table {
  readonly columns: readonly string[];
  /** Columns that an UPDATE may set: all except GENERATED ALWAYS identity columns. */
  readonly settable: readonly string[];
  /** Columns of the primary key; empty for a table without one. */
  readonly key: readonly string[];
}

/**
 * Applies changes by row image: an UPDATE or DELETE finds its row by the primary
 * key, or by the whole row in a table without one.
 */
export class Applier {
  readonly #engine: Engine;
  readonly #tables = new Map<string, Table>();

  constructor(engine: Engine) {
    this.#engine = engine;
  }

  /** Applies the changes of one committed transaction; returns whether the schema changed. */
  apply(changes: readonly Change[]): boolean {
    if (changes.length === 0) return false;
    const [first] = changes;
    if (first?.kind === "schema" && CONCURRENT_DDL.test(first.new!)) {
      this.#applyOutsideTransaction(first);
      return true;
    }
    if (changes.every((change) => change.kind !== "schema")) {
      const sql = changes.map((change) => this.#createSql(change)).join(";");
      this.#engine.query(`${BEGIN}${sql};COMMIT`);
      return false;
    }
    this.#engine.query(BEGIN);
    for (const change of changes) this.#applyOne(change);
    this.#engine.query("COMMIT");
    return true;
  }

  #applyOne(change: Change): void {
    if (change.kind !== "schema") {
      this.#engine.query(this.#createSql(change));
      return;
    }
    this.#engine.query(
      `SELECT set_config('search_path', ${quoteLiteral(change.old!)}, true)`,
    );
    this.#engine.query(change.new!);
    this.#finishSchemaChange();
  }

  #applyOutsideTransaction(change: Change): void {
    this.#engine.query("SET default_transaction_read_only = off");
    this.#engine.query(
      `SELECT set_config('search_path', ${quoteLiteral(change.old!)}, false)`,
    );
    this.#engine.query("SET session_replication_role = replica");
    this.#engine.query(change.new!);
    this.#engine.query("RESET session_replication_role");
    this.#engine.query("RESET search_path");
    this.#engine.query("SET default_transaction_read_only = on");
    this.#tables.clear();
  }

  #finishSchemaChange(): void {
    this.#engine.query(`SELECT ${INTERNAL_SCHEMA}.install()`);
    this.#tables.clear();
  }

  #createSql(change: Change): string {
    const relation = change.relation!;
    switch (change.kind) {
      case "insert":
        return this.#insert(relation, change.new!);
      case "update":
        return this.#update(relation, change.old!, change.new!);
      case "delete":
        return `DELETE FROM ONLY ${relation} marjoramshed_row
          WHERE ${this.#createRowCondition(relation, change.old!)}`;
      case "clear":
        return `DELETE FROM ONLY ${relation}`;
      case "sequence":
        return createSetval(relation, change.new);
      case "schema":
        throw new Error("a schema change is not a row change");
    }
  }

  #insert(relation: string, row: string): string {
    const { columns } = this.#table(relation);
    const list = columns.join(", ");
    return `INSERT INTO ${relation} (${list}) OVERRIDING SYSTEM VALUE
      SELECT ${list} FROM ${expandRow(relation, row)}`;
  }

  #update(relation: string, old: string, row: string): string {
    const list = this.#table(relation).settable
      .map((column) => `${column} = marjoramshed_new.${column}`).join(", ");
    return `UPDATE ONLY ${relation} marjoramshed_row SET ${list}
      FROM ${expandRow(relation, row)} marjoramshed_new
      WHERE ${this.#createRowCondition(relation, old)}`;
  }

  #createRowCondition(relation: string, row: string): string {
    const { key } = this.#table(relation);
    if (key.length === 0) {
      return `marjoramshed_row.ctid = (SELECT marjoramshed_other.ctid
        FROM ONLY ${relation} marjoramshed_other
        WHERE marjoramshed_other::text = ${quoteLiteral(row)} LIMIT 1)`;
    }
    const literal = `${quoteLiteral(row)}::${relation}`;
    return key.map((column) =>
      `marjoramshed_row.${column} = (${literal}).${column}`
    )
      .join(" AND ");
  }

  #table(relation: string): Table {
    const known = this.#tables.get(relation);
    if (known) return known;
    const rows = this.#engine.query(`
      SELECT format('%I', a.attname), a.attidentity = 'a',
        coalesce(a.attnum = ANY (i.indkey), false)
      FROM pg_attribute a LEFT JOIN pg_index i
        ON i.indrelid = a.attrelid AND i.indisprimary
      WHERE a.attrelid = ${quoteLiteral(relation)}::regclass
        AND a.attnum > 0 AND NOT a.attisdropped AND a.attgenerated = ''
      ORDER BY a.attnum`);
    const table = {
      columns: rows.map(([name]) => name!),
      settable: rows.filter(([, always]) => always === "f")
        .map(([name]) => name!),
      key: rows.filter(([, , inKey]) => inKey === "t").map(([name]) => name!),
    };
    this.#tables.set(relation, table);
    return table;
  }
}

function expandRow(relation: string, row: string): string {
  return `(SELECT (${quoteLiteral(row)}::${relation}).*)`;
}

function createSetval(relation: string, value: string | undefined): string {
  const name = quoteLiteral(relation);
  if (value !== undefined) return `SELECT setval(${name}, ${value})`;
  return `SELECT setval(${name}, seqstart, false) FROM pg_sequence
    WHERE seqrelid = ${name}::regclass`;
}
