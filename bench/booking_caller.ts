/**
 * A caller that books wheel swaps and reads them back through changing proxies.
 *
 * @module
 */
import { setTimeout as sleep } from "node:timers/promises";
import pg from "pg";
import type { ProxyDescription } from "../standins/stack/options.ts";

const READS_PER_BOOKING = 9;
const REQUEST_DEADLINE_MS = 30_000;
const CONNECT_TIMEOUT_MS = 3_000;
const STATEMENT_TIMEOUT_MS = 8_000;
const RETRY_PAUSE_MS = 50;
const REQUEST_DONE = "MS408";

/** What a caller was told, in ms of `performance.now()`. */
export interface Booking {
  readonly id: string;
  readonly acknowledgedAt: number;
}

/** How to log in. */
export interface CallerAccount {
  readonly user: string;
  readonly password: string;
  readonly database: string;
}

/** Books and reads until it is told to stop. */
export class BookingCaller {
  readonly bookings: Booking[] = [];
  readYourWritesViolations = 0;
  failures = 0;
  reads = 0;
  readonly #name: string;
  readonly #account: CallerAccount;
  readonly #proxies: readonly ProxyDescription[];
  #place: number;
  #client: pg.Client | undefined;

  constructor(
    index: number,
    account: CallerAccount,
    proxies: readonly ProxyDescription[],
  ) {
    this.#name = `caller-${index}`;
    this.#account = account;
    this.#proxies = proxies;
    this.#place = index % proxies.length;
  }

  /** Books and reads back until the signal. */
  async run(end: AbortSignal): Promise<void> {
    for (let number = 1; !end.aborted; number += 1) {
      const id = `${this.#name}-${number}`;
      if (!await this.#book(id)) continue;
      await this.#move();
      for (let read = 0; read < READS_PER_BOOKING; read += 1) {
        await this.#readBack(id);
      }
    }
    await this.#close();
  }

  /** Books under a request id, again through another proxy until the outcome is known. */
  async #book(id: string): Promise<boolean> {
    const text = `/* marjoramshed request=${id} */ ` +
      "INSERT INTO bookings (booking, parent, shop, wheel) " +
      "VALUES ($1, $2, 'shop-1', 'wheel-1')";
    const deadline = performance.now() + REQUEST_DEADLINE_MS;
    while (performance.now() < deadline) {
      const acknowledged = await this.#try(text, [id, this.#name]).then(
        () => true,
        (error) => error.code === REQUEST_DONE,
      );
      if (acknowledged) {
        this.bookings.push({ id, acknowledgedAt: performance.now() });
        return true;
      }
      await this.#recover();
    }
    return false;
  }

  async #readBack(id: string): Promise<void> {
    const text = "SELECT booking FROM bookings WHERE booking = $1";
    try {
      const rows = await this.#try(text, [id]);
      this.reads += 1;
      if (rows.length !== 1) this.readYourWritesViolations += 1;
    } catch {
      await this.#recover();
    }
  }

  async #try(text: string, values: readonly string[]): Promise<unknown[]> {
    const client = this.#client ??= await this.#connect();
    return (await client.query(text, [...values])).rows;
  }

  async #connect(): Promise<pg.Client> {
    const { host, port } = this.#proxies[this.#place]!;
    const client = new pg.Client({
      ...this.#account,
      host,
      port,
      application_name: this.#name,
      connectionTimeoutMillis: CONNECT_TIMEOUT_MS,
      query_timeout: STATEMENT_TIMEOUT_MS,
    });
    client.on("error", () => undefined);
    await client.connect();
    return client;
  }

  async #recover(): Promise<void> {
    this.failures += 1;
    await this.#move();
    await sleep(RETRY_PAUSE_MS);
  }

  /** Leaves this proxy; the next statement goes to the next one. */
  async #move(): Promise<void> {
    await this.#close();
    this.#place = (this.#place + 1) % this.#proxies.length;
  }

  async #close(): Promise<void> {
    const client = this.#client;
    this.#client = undefined;
    await client?.end().catch(() => undefined);
  }
}
