/**
 * The request ledger: a table in each database that maps the request ids of
 * callers to the answers of requests that have run. A request's row is written in
 * the same upstream transaction as the request itself.
 *
 * @module
 */

/** A request as stored in the ledger. */
export interface StoredRequest {
  readonly fingerprint: string;
  /** The stored protocol messages; undefined if they exceeded the size limit. */
  readonly answer?: Buffer;
}

/** Builds SQL statements for the ledger and parses their results; the statements are run elsewhere, on the primary. */
export interface Ledger {
  /** Size limit for stored answers, in bytes. */
  readonly maxAnswerBytes: number;
  /** Hash of a request's content, used to detect the reuse of an id for a different request. */
  fingerprint(parts: readonly (Buffer | string)[]): string;
  /** Opens a transaction and inserts the id; fails with a unique violation if the request has run before. */
  beginText(id: string, fingerprint: string): string;
  /** Inserts the id within an open transaction. */
  insertText(id: string, fingerprint: string): string;
  /** Stores the answer and commits; with `undefined`, commits without an answer. */
  commitText(id: string, answer: Buffer | undefined): string;
  /** Selects a stored request. */
  lookupText(id: string): string;
  /** Parses a row returned by `lookupText`. */
  readRow(row: readonly (string | null)[]): StoredRequest;
  /** Deletes requests older than `keepMs`. */
  purgeText(keepMs: number): string;
  /** Creates the schema and the table if they do not exist. */
  createText(): string;
  /** Whether an error means that the request has run before. */
  isDuplicateRequest(sqlState: string, constraint: string): boolean;
  /** Whether an error means that the table or its schema does not exist. */
  isMissingTable(sqlState: string): boolean;
}

declare module "../../kernel/kernel.ts" {
  interface Services {
    ledger: Ledger;
  }
}
