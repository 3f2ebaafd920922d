/**
 * The ledger as the PostgreSQL table `marjoramshed.requests`.
 *
 * @module
 */
import { createHash } from "node:crypto";
import pg from "pg";
import type { Ledger, StoredRequest } from "./ledger.ts";

const MAX_ANSWER_BYTES = 64 * 1024;
const FINGERPRINT_DIGITS = 32;
const UNIQUE_VIOLATION = "23505";
const UNDEFINED_TABLE = "42P01";
const INVALID_SCHEMA = "3F000";
const PRIMARY_KEY_NAME = "requests_pkey";
const MS_PER_SECOND = 1_000;

const TABLE_TEXT = [
  "CREATE SCHEMA IF NOT EXISTS marjoramshed",
  "CREATE TABLE IF NOT EXISTS marjoramshed.requests (" +
  `id text CONSTRAINT ${PRIMARY_KEY_NAME} PRIMARY KEY, fingerprint text NOT NULL, ` +
  "answer text, at timestamptz NOT NULL DEFAULT now())",
].join("; ");

/** Builds the ledger's SQL; ids, fingerprints and answers are escaped as literals. */
export class TableLedger implements Ledger {
  readonly maxAnswerBytes: number = MAX_ANSWER_BYTES;

  fingerprint(parts: readonly (Buffer | string)[]): string {
    const hash = createHash("sha256");
    for (const part of parts) hash.update(part).update("\0");
    return hash.digest("hex").slice(0, FINGERPRINT_DIGITS);
  }

  beginText(id: string, fingerprint: string): string {
    return `BEGIN; ${this.insertText(id, fingerprint)}`;
  }

  insertText(id: string, fingerprint: string): string {
    const values = `${pg.escapeLiteral(id)}, ${pg.escapeLiteral(fingerprint)}`;
    return `INSERT INTO marjoramshed.requests (id, fingerprint) VALUES (${values})`;
  }

  commitText(id: string, answer: Buffer | undefined): string {
    if (!answer) return "COMMIT";
    const value = pg.escapeLiteral(answer.toString("base64"));
    const key = pg.escapeLiteral(id);
    return `UPDATE marjoramshed.requests SET answer = ${value} WHERE id = ${key}; COMMIT`;
  }

  lookupText(id: string): string {
    const key = pg.escapeLiteral(id);
    return `SELECT fingerprint, answer FROM marjoramshed.requests WHERE id = ${key}`;
  }

  readRow(row: readonly (string | null)[]): StoredRequest {
    const answer = row[1];
    return {
      fingerprint: row[0] ?? "",
      answer: answer ? Buffer.from(answer, "base64") : undefined,
    };
  }

  purgeText(keepMs: number): string {
    const age = `${Math.ceil(keepMs / MS_PER_SECOND)} seconds`;
    return `DELETE FROM marjoramshed.requests WHERE at < now() - interval '${age}'`;
  }

  createText(): string {
    return TABLE_TEXT;
  }

  isDuplicateRequest(sqlState: string, constraint: string): boolean {
    return sqlState === UNIQUE_VIOLATION && constraint === PRIMARY_KEY_NAME;
  }

  isMissingTable(sqlState: string): boolean {
    return sqlState === UNDEFINED_TABLE || sqlState === INVALID_SCHEMA;
  }
}
