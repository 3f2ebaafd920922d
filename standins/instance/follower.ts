/**
 * The replica's side of replication: streams the log of its source over a
 * PostgreSQL connection, as one statement whose rows do not end.
 *
 * @module
 */
import { Socket } from "node:net";
import { setTimeout as sleep } from "node:timers/promises";
import pg from "pg";
import type { DatabaseInstance } from "./instance.ts";
import { parseTermStarts } from "./log.ts";
import type { Source } from "./settings.ts";
import { type Arrival, RowQueue } from "./row_queue.ts";
import type { LogRow } from "./source.ts";

const RECONNECT_DELAY_MS = 100;
const CONNECT_TIMEOUT_MS = 1_000;
const HEARD_WITHIN_MS = 300;
const SILENCE_LIMIT_MS = 1_000;
const SILENCE_CHECK_MS = 100;

const LAG_POLL_MS = 10;

/** Follows one source until it is stopped. */
export class Follower {
  readonly source: Source;
  readonly #instance: DatabaseInstance;
  #client: pg.Client | undefined;
  #heardAt = -Infinity;
  #silentSince = 0;
  #stopped = false;

  constructor(instance: DatabaseInstance, source: Source) {
    this.#instance = instance;
    this.source = source;
  }

  /** Whether the source was heard a short while ago. */
  get hearsSource(): boolean {
    return performance.now() - this.#heardAt < HEARD_WITHIN_MS;
  }

  /** Connects and streams, again after each loss. */
  async run(): Promise<void> {
    while (!this.#stopped) {
      try {
        await this.#stream();
      } catch (error) {
        const fields = { source: this.source.name, error: String(error) };
        this.#instance.logger.debug(fields, "replication lost");
      }
      if (!this.#stopped) await sleep(RECONNECT_DELAY_MS);
    }
  }

  /** Takes nothing more from the source. */
  stop(): void {
    this.#stopped = true;
    this.#destroy();
  }

  async #stream(): Promise<void> {
    const client = this.#connect();
    this.#client = client;
    const lost = new Promise<never>((_, reject) => {
      client.once("error", reject);
      client.once("end", () => reject(new Error("connection ended")));
    });
    lost.catch(() => {});
    const watch = setInterval(() => this.#checkSilence(), SILENCE_CHECK_MS);
    try {
      await Promise.race([client.connect(), lost]);
      this.#silentSince = performance.now();
      await Promise.race([this.#receive(client), lost]);
    } finally {
      clearInterval(watch);
      this.#destroy();
    }
  }

  async #receive(client: pg.Client): Promise<void> {
    const { log, seenTerm } = this.#instance;
    const args = `${log.end}, ${log.history.lastTerm}, ${seenTerm}`;
    const query = new pg.Query(`SELECT * FROM marjoramshed_log(${args})`);
    const rows = new RowQueue();
    query.on("row", (row) => {
      this.#heardAt = performance.now();
      this.#silentSince = this.#heardAt;
      rows.push({ row: row as LogRow, at: this.#heardAt });
    });
    query.on("error", (error) => rows.end(error));
    query.on("end", () => rows.end(new Error("stream ended")));
    client.query(query);
    let synchronizedAt: bigint | undefined;
    for (;;) {
      const arrival = await rows.shift();
      if (this.#stopped) return;
      await this.#waitForLag(arrival);
      if (this.#stopped) return;
      const { row } = arrival;
      if (row.kind === "history") {
        synchronizedAt = BigInt(row.lsn);
        const history = {
          lastTerm: Number(row.term),
          termStarts: parseTermStarts(row.body),
        };
        const end = log.end;
        await this.#instance.reconcile(history, synchronizedAt);
        if (log.end !== end) return;
      }
      if (row.kind === "entry") this.#take(row);
      if (synchronizedAt !== undefined && this.#hasApplied(synchronizedAt)) {
        this.#instance.setSynchronized();
      }
    }
  }

  #take(row: LogRow): void {
    const { log } = this.#instance;
    const end = log.end + BigInt(Buffer.byteLength(row.body));
    if (end !== BigInt(row.lsn)) throw new Error("a gap in the log");
    this.#instance.receive(Number(row.term), row.body);
  }

  #hasApplied(lsn: bigint): boolean {
    return this.#instance.database.applied >= lsn;
  }

  async #waitForLag(arrival: Arrival): Promise<void> {
    if (arrival.row.kind !== "entry") return;
    while (!this.#stopped) {
      const due = arrival.at + this.#instance.receiveLag;
      const wait = due - performance.now();
      if (wait <= 0) return;
      await sleep(Math.min(wait, LAG_POLL_MS));
    }
  }

  #checkSilence(): void {
    const silence = performance.now() - this.#silentSince;
    if (silence > SILENCE_LIMIT_MS) this.#destroy();
  }

  #connect(): pg.Client {
    const { settings } = this.#instance;
    this.#silentSince = performance.now();
    return new pg.Client({
      host: this.source.host,
      port: this.source.port,
      user: settings.user,
      password: settings.password,
      database: settings.database,
      application_name: "marjoramshed-control-replication",
      connectionTimeoutMillis: CONNECT_TIMEOUT_MS,
      stream: () => createLocalSocket(settings.address),
    });
  }

  #destroy(): void {
    const stream = this.#client?.connection.stream;
    this.#client = undefined;
    stream?.destroy();
  }
}

/** A socket that connects from an address. */
function createLocalSocket(localAddress: string): Socket {
  const socket = new Socket();
  const connect = socket.connect.bind(socket) as (options: object) => Socket;
  socket.connect =
    ((port: number, host: string) =>
      connect({ port, host, localAddress })) as Socket["connect"];
  return socket;
}
