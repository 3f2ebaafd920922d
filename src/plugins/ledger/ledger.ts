/**
 * The request ledger: a table in each database that holds, under the caller's
 * request id, the answer of each request that has run. It is written in the
 * request's own upstream transaction.
 *
 * @module
 */

/** A stored request. */
export interface StoredRequest {
  readonly fingerprint: string;
  /** The stored messages; undefined when they were too long to keep. */
  readonly answer?: Buffer;
}

/** Builds and reads statements on the ledger; the sender runs them on the primary. */
export interface Ledger {
  /** Longest answer that is kept, in bytes. */
  readonly maxAnswerBytes: number;
  /** Identifies what a request asks for, so that an id can't be used for two requests. */
  fingerprint(parts: readonly (Buffer | string)[]): string;
  /** Opens a transaction and enters the id; fails with a unique violation when the request has run. */
  beginText(id: string, fingerprint: string): string;
  /** Enters the id within an open transaction. */
  insertText(id: string, fingerprint: string): string;
  /** Stores the answer and commits; `undefined` commits without it. */
  commitText(id: string, answer: Buffer | undefined): string;
  /** Reads a stored request. */
  lookupText(id: string): string;
  /** Reads the row that `lookupText` gave. */
  readRow(row: readonly (string | null)[]): StoredRequest;
  /** Removes requests that are older than `keep` ms. */
  purgeText(keepMs: number): string;
  /** Creates the table. */
  createText(): string;
  /** Whether an error says that the request has run before. */
  isDuplicateRequest(sqlState: string, constraint: string): boolean;
  /** Whether an error says that the table does not exist. */
  isMissingTable(sqlState: string): boolean;
}

declare module "../../kernel/kernel.ts" {
  interface Services {
    ledger: Ledger;
  }
}
