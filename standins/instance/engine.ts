/**
 * The embedded engine of an instance: one session, called synchronously, so that
 * a statement and what follows from it can't be interleaved with other work.
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

/** A row of text columns. */
export type TextRow = readonly (string | null)[];

/** One engine with an empty database. */
export class Engine {
  readonly #database: PGlite;

  private constructor(database: PGlite) {
    this.#database = database;
  }

  /** Starts an engine; the initialised data folder is cached between processes. */
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

  /** Runs messages of the protocol and gives the answers. */
  execute(messages: Buffer): Buffer {
    const chunks: Buffer[] = [];
    const onRawData = (data: Uint8Array) => {
      chunks.push(Buffer.from(data));
    };
    // Calls onRawData for the whole answer before it returns its promise.
    this.#database.execProtocolRawStream(messages, {
      syncToFs: false,
      onRawData,
    }).catch((error) => {
      throw error;
    });
    return Buffer.concat(chunks);
  }

  /** Runs a simple query and gives the rows of all its statements; throws on an error. */
  query(sql: string): TextRow[] {
    return rowsOf(this.execute(createMessage("Q", sql)));
  }

  /** Releases the engine. */
  async close(): Promise<void> {
    await this.#database.close();
  }
}

/** Rows of an answer; throws when it holds an error. */
export function rowsOf(answer: Buffer): TextRow[] {
  const rows: TextRow[] = [];
  for (const { type, bytes } of splitMessages(answer)) {
    if (type === "D") rows.push(readRow(bytes));
    if (type === "E") throw failureOf(bytes);
  }
  return rows;
}

/** Writes a text as a literal. */
export function quoteLiteral(text: string): string {
  return `'${text.replaceAll("'", "''")}'`;
}

function failureOf(error: Buffer): SqlFailure {
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
