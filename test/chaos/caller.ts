/**
 * A caller of the randomized run: bookings with a request id, return logs
 * without one, transactions, and reads of its own writes through changing proxies.
 *
 * @module
 */
import { setTimeout as sleep } from "node:timers/promises";
import pg from "pg";
import type { StackDescription } from "../../standins/stack/options.ts";
import { callerParameters } from "../support/callers.ts";
import type { History, Told } from "./history.ts";

const CONNECT_TIMEOUT_MS = 3_000;
const STATEMENT_TIMEOUT_MS = 12_000;
const RETRY_PAUSE_MS = 60;
const MAX_ATTEMPTS = 200;
const READS_PER_WRITE = 4;
const REQUEST_DONE = "MS408";
const INSERT =
  "INSERT INTO bookings (booking, parent, shop, wheel) VALUES ($1, $2, 'shop-1', 'wheel-1')";

/** One caller with one session name, on one connection at a time. */
export class ChaosCaller {
  readonly #name: string;
  readonly #stack: () => StackDescription;
  readonly #history: History;
  readonly #random: () => number;
  #proxy: number;
  #client: pg.Client | undefined;
  #token = "";
  #number = 0;
  #stopped = false;

  constructor(
    index: number,
    stack: () => StackDescription,
    history: History,
    random: () => number,
    prefix = "",
  ) {
    this.#name = `${prefix}caller-${index}`;
    this.#proxy = index;
    this.#stack = stack;
    this.#history = history;
    this.#random = random;
  }

  /** Asks the caller to end after its present request. */
  stop(): void {
    this.#stopped = true;
  }

  /** Writes and reads until it is stopped. */
  async run(): Promise<void> {
    while (!this.#stopped) {
      const kind = this.#random();
      if (kind < 0.5) await this.#book();
      else if (kind < 0.8) await this.#logReturn();
      else await this.#transact();
    }
    await this.#close();
  }

  /** A booking under an id, repeated through other proxies until its outcome is known. */
  async #book(): Promise<void> {
    const id = this.#nextId("booking");
    const text = `/* marjoramshed request=${id} */ ${INSERT}`;
    let told: Told = "unknown";
    for (let attempt = 0; attempt < MAX_ATTEMPTS; attempt += 1) {
      const error = await this.#attempt((client) =>
        client.query(text, [id, this.#name])
      );
      if (!error || error.code === REQUEST_DONE) {
        told = "acknowledged";
        break;
      }
      await this.#recover();
    }
    this.#history.requests.push({ id, rows: 1, idempotent: true, told });
    if (told === "acknowledged") await this.#readBack(id, 1);
  }

  /** A write without an id, sent once. */
  async #logReturn(): Promise<void> {
    const id = this.#nextId("return");
    const error = await this.#attempt((client) =>
      client.query(INSERT, [id, this.#name])
    );
    const told = describeOutcome(error);
    this.#history.requests.push({ id, rows: 1, idempotent: false, told });
    if (error) return await this.#recover();
    await this.#readBack(id, 1);
  }

  /** Two rows in one transaction without an id. */
  async #transact(): Promise<void> {
    const id = this.#nextId("pair");
    let committing = false;
    const error = await this.#attempt(async (client) => {
      await client.query("BEGIN");
      await client.query(INSERT, [id, this.#name]);
      await client.query(INSERT, [id, this.#name]);
      committing = true;
      await client.query("COMMIT");
    });
    // Before its COMMIT was sent, a transaction can't have been committed.
    const told = error && !committing ? "not run" : describeOutcome(error);
    this.#history.requests.push({ id, rows: 2, idempotent: false, told });
    if (error) return await this.#recover();
    await this.#readBack(id, 2);
  }

  async #readBack(id: string, rows: number): Promise<void> {
    for (let read = 0; read < READS_PER_WRITE; read += 1) {
      const moved = this.#random() < 0.3;
      if (moved) await this.#move();
      let found = rows;
      const error = await this.#attempt(async (client) => {
        const result = await client.query(
          "SELECT count(*)::int AS n FROM bookings WHERE booking = $1",
          [id],
        );
        found = result.rows[0].n;
      });
      if (error) {
        await this.#recover();
        continue;
      }
      this.#history.reads += 1;
      if (found >= rows) continue;
      const how = `saw ${found} of ${rows}, ${
        moved ? "after a move" : "on the same connection"
      }, proxy ${this.#proxy}`;
      this.#history.violations.push({ id, how });
    }
  }

  async #attempt(
    work: (client: pg.Client) => Promise<unknown>,
  ): Promise<pg.DatabaseError | undefined> {
    let connected = false;
    try {
      const client = this.#client ??= await this.#connect();
      connected = true;
      await work(client);
      return undefined;
    } catch (error) {
      const found = error as pg.DatabaseError;
      if (!connected) found.detail = "Not run: there was no connection.";
      return found;
    }
  }

  async #connect(): Promise<pg.Client> {
    const stack = this.#stack();
    const useToken = this.#token !== "" && this.#random() < 0.5;
    const client = new pg.Client({
      ...callerParameters({
        stack,
        proxy: this.#proxy % stack.proxies.length,
        database: "booking",
        name: this.#name,
        ...(useToken
          ? { options: `-c marjoramshed.position=${this.#token}` }
          : {}),
      }),
      connectionTimeoutMillis: CONNECT_TIMEOUT_MS,
      query_timeout: STATEMENT_TIMEOUT_MS,
    });
    client.on("error", () => {});
    const { connection } = client as unknown as {
      connection: NodeJS.EventEmitter;
    };
    connection.on("parameterStatus", (message) => {
      if (message.parameterName !== "marjoramshed.position") return;
      this.#token = message.parameterValue;
    });
    await client.connect();
    return client;
  }

  async #recover(): Promise<void> {
    await this.#move();
    await sleep(RETRY_PAUSE_MS);
  }

  async #move(): Promise<void> {
    await this.#close();
    this.#proxy += 1 + Math.floor(this.#random() * 3);
  }

  async #close(): Promise<void> {
    const client = this.#client;
    this.#client = undefined;
    // A frozen proxy never says goodbye.
    const ended = client?.end().catch(() => {});
    await Promise.race([ended, sleep(200)]);
  }

  #nextId(kind: string): string {
    this.#number += 1;
    return `${this.#name}-${kind}-${this.#number}`;
  }
}

/** What an error tells of the request; an error of the upstream is a refusal that left nothing. */
function describeOutcome(error: pg.DatabaseError | undefined): Told {
  if (!error) return "acknowledged";
  if (error.detail?.includes("Not run")) return "not run";
  // The library sends nothing on a connection whose end it has seen.
  if (error.message.includes("not queryable")) return "not run";
  return "unknown";
}
