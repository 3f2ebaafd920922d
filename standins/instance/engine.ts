/**
 * Embedded database engine of an instance. It has one session and is called
 * synchronously, so that no other work can run between a statement and the handling
 * of its result.
 *
 * @module
 */
import { createRequire } from "node:module";
import { existsSync, readFileSync, renameSync, writeFileSync } from "node:fs";
import { tmpdir } from "node:os";
import { join } from "node:path";
import { PGlite } from "@electric-sql/pglite";
import {
  createMessage,
  readFields,
  readRow,
  splitMessages,
  SqlFailure,
} from "./wire.ts";

/** Row of text values; null for SQL NULL. */
export type TextRow = readonly (string | null)[];

/** Embedded engine with a database of its own, which is empty at first. */
export class Engine {
  readonly #database: PGlite;

  private constructor(database: PGlite) {
    this.#database = database;
  }

  /** Starts an engine; processes share a cached copy of the initialised data directory. */
  static async create(): Promise<Engine> {
    const cache = cachePath();
    if (existsSync(cache)) {
      const loadDataDir = new Blob([readFileSync(cache)]);
      return new Engine(await PGlite.create({ loadDataDir }));
    }
    const database = await PGlite.create();
    const dump = await database.dumpDataDir("none");
    writeCache(cache, Buffer.from(await dump.arrayBuffer()));
    return new Engine(database);
  }

  /** Runs frontend messages of the PostgreSQL protocol and returns the response messages. */
  execute(messages: Buffer): Buffer {
    const chunks: Buffer[] = [];
    const onRawData = (data: Uint8Array) => {
      chunks.push(Buffer.from(data));
    };
    // execProtocolRawStream passes the whole response to onRawData before it returns.
    this.#database.execProtocolRawStream(messages, {
      syncToFs: false,
      onRawData,
    }).catch((error) => {
      throw error;
    });
    return Buffer.concat(chunks);
  }

  /** Runs a simple query and returns the rows of all its statements; throws a `SqlFailure` on an error. */
  query(sql: string): TextRow[] {
    return readRows(this.execute(createMessage("Q", sql)));
  }

  async close(): Promise<void> {
    await this.#database.close();
  }
}

/** Reads the rows of a response; throws a `SqlFailure` if it contains an error. */
export function readRows(response: Buffer): TextRow[] {
  const rows: TextRow[] = [];
  for (const { type, bytes } of splitMessages(response)) {
    if (type === "D") rows.push(readRow(bytes));
    if (type === "E") throw createFailure(bytes);
  }
  return rows;
}

/** Quotes a text as an SQL string literal. */
export function quoteLiteral(text: string): string {
  return `'${text.replaceAll("'", "''")}'`;
}

function createFailure(error: Buffer): SqlFailure {
  const fields = readFields(error);
  return new SqlFailure(fields.get("C") ?? "XX000", fields.get("M") ?? "");
}

function cachePath(): string {
  const resolve = createRequire(import.meta.url).resolve;
  const manifest = join(resolve("@electric-sql/pglite"), "../../package.json");
  const { version } = JSON.parse(readFileSync(manifest, "utf8"));
  const user = process.getuid?.() ?? "user";
  return join(tmpdir(), `marjoramshed-engine-${version}-${user}.tar`);
}

function writeCache(path: string, dump: Buffer): void {
  const partial = `${path}.${process.pid}`;
  writeFileSync(partial, dump, { mode: 0o600 });
  renameSync(partial, path);
}
