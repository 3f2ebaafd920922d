/**
 * A caller's connection that is opened when it is needed.
 *
 * @module
 */
import pg from "pg";
import type { CallerAccount, Target } from "./orders.ts";

const CONNECT_TIMEOUT_MS = 5_000;
const STATEMENT_TIMEOUT_MS = 15_000;

/** A caller with one connection at a time. */
export class Caller {
  readonly name: string;
  readonly #account: CallerAccount;
  readonly #targets: readonly Target[];
  #place: number;
  #client: pg.Client | undefined;

  constructor(
    index: number,
    account: CallerAccount,
    targets: readonly Target[],
  ) {
    this.name = `bench-${index}`;
    this.#account = account;
    this.#targets = targets;
    this.#place = index % targets.length;
  }

  /** Connects when it is not connected. */
  async connect(): Promise<pg.Client> {
    if (this.#client) return this.#client;
    const client = new pg.Client({
      ...this.#account,
      ...this.#targets[this.#place]!,
      application_name: this.name,
      connectionTimeoutMillis: CONNECT_TIMEOUT_MS,
      query_timeout: STATEMENT_TIMEOUT_MS,
    });
    client.on("error", () => {
      if (this.#client === client) this.#client = undefined;
    });
    client.once("end", () => {
      if (this.#client === client) this.#client = undefined;
    });
    await client.connect();
    return this.#client = client;
  }

  /** Runs a statement and gives its rows. */
  async run(text: string, values?: unknown[]): Promise<unknown[]> {
    const client = await this.connect();
    return (await client.query(text, values)).rows;
  }

  /** Goes on to the next target with the next statement. */
  async move(): Promise<void> {
    await this.close();
    this.#place = (this.#place + 1) % this.#targets.length;
  }

  async close(): Promise<void> {
    const client = this.#client;
    this.#client = undefined;
    await client?.end().catch(() => undefined);
  }
}
