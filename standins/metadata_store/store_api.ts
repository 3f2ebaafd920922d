/**
 * The store's calls, with the limits that the platform documents.
 *
 * @module
 */
import type { Rows, Transaction, WireRow } from "./rows.ts";

/** Status and body of a reply. */
export interface StoreAnswer {
  readonly status: number;
  readonly body: unknown;
  readonly headers?: Readonly<Record<string, string>>;
}

/** Limits of the calls. */
export interface StoreLimits {
  /** Rows of one page of a read. */
  readonly pageRows: number;
  /** Bytes of the values of one page of a read. */
  readonly pageBytes: number;
  /** Entries of one transaction: conditions, puts and removals. */
  readonly transactionEntries: number;
  /** Bytes of the values of one transaction. */
  readonly transactionBytes: number;
  /** Bytes of a row's key. */
  readonly keyBytes: number;
  /** Longest wait of a feed, in ms. */
  readonly feedWait: number;
}

/** The limits of the users' platform. */
export const PLATFORM_LIMITS: StoreLimits = {
  pageRows: 500,
  pageBytes: 1_000_000,
  transactionEntries: 100,
  transactionBytes: 1_000_000,
  keyBytes: 200,
  feedWait: 30_000,
};

/** Tables that only the operator and the instances write. */
export const FOREIGN_TABLES: readonly string[] = ["op", "servers"];

/** Serves the calls of the system on one set of rows. */
export class StoreApi {
  readonly #rows: Rows;
  readonly #limits: StoreLimits;

  constructor(rows: Rows, limits: StoreLimits = PLATFORM_LIMITS) {
    this.#rows = rows;
    this.#limits = limits;
  }

  /** Serves a call; undefined for a path that the store does not have. */
  async serve(url: URL, body: unknown): Promise<StoreAnswer | undefined> {
    const answer = await this.#serve(url, body);
    const { era } = this.#rows;
    if (!answer || era === 0) return answer;
    return { ...answer, headers: { "Store-Era": String(era) } };
  }

  async #serve(url: URL, body: unknown): Promise<StoreAnswer | undefined> {
    const { searchParams } = url;
    const table = searchParams.get("table") ?? "";
    switch (url.pathname) {
      case "/api/rows-tx":
        return this.#apply(body as Transaction);
      case "/api/rows-get":
        return this.#read(
          table,
          searchParams.get("from") ?? "",
          searchParams.get("part") ?? "",
        );
      case "/api/rows-feed": {
        const wait = Number(searchParams.get("waitMs") ?? 0);
        const after = Number(searchParams.get("after"));
        return await this.#feed(table, after, wait);
      }
    }
    return undefined;
  }

  #apply(transaction: Transaction): StoreAnswer {
    const { precondition = [], puts = [], remove = [] } = transaction;
    const written = [...puts, ...remove];
    if (written.some(({ table }) => FOREIGN_TABLES.includes(table))) {
      return { status: 403, body: {} };
    }
    const entries = precondition.length + written.length;
    const bytes = puts.reduce((sum, { value }) => sum + value.length, 0);
    const { transactionEntries, transactionBytes, keyBytes } = this.#limits;
    if (written.some(({ key }) => Buffer.byteLength(key) > keyBytes)) {
      return { status: 400, body: { error: "too long a key" } };
    }
    if (entries > transactionEntries || bytes > transactionBytes) {
      return { status: 400, body: { error: "too large a transaction" } };
    }
    const broken = this.#rows.apply(transaction);
    if (!broken) return { status: 200, body: this.#state() };
    return { status: 412, body: { rows: broken, ...this.#state() } };
  }

  #read(table: string, from: string, part: string): StoreAnswer {
    const { pageRows, pageBytes } = this.#limits;
    const found = this.#rows.read(table, from, part);
    const page: WireRow[] = [];
    let bytes = 0;
    for (const row of found) {
      bytes += row.value?.length ?? 0;
      const isFull = page.length === pageRows || bytes > pageBytes;
      if (isFull && page.length > 0) break;
      page.push(row);
    }
    const hasMore = page.length < found.length;
    return { status: 200, body: { rows: page, hasMore, ...this.#state() } };
  }

  async #feed(
    table: string,
    after: number,
    wait: number,
  ): Promise<StoreAnswer> {
    const until = performance.now() + Math.min(wait, this.#limits.feedWait);
    for (;;) {
      const rows = this.#rows.changes(table, after);
      if (!rows) return { status: 410, body: {} };
      const left = until - performance.now();
      if (rows.length > 0 || left <= 0) {
        return { status: 200, body: { rows, ...this.#state() } };
      }
      await this.#rows.wait(table, left);
    }
  }

  #state(): { readonly ver: number; readonly nowMs: number } {
    return { ver: this.#rows.version, nowMs: Math.round(performance.now()) };
  }
}
