/**
 * Replica side of replication: receives the log of the source over a PostgreSQL
 * connection, as the unending result of one statement.
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
const HEARS_SOURCE_WINDOW_MS = 300;
const SILENCE_LIMIT_MS = 1_000;
const SILENCE_CHECK_MS = 100;

const LAG_POLL_MS = 10;

/** Replicates from one source until stopped. */
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

  /** Whether a row from the source has arrived within the last 300 ms. */
  get hearsSource(): boolean {
    return performance.now() - this.#heardAt < HEARS_SOURCE_WINDOW_MS;
  }

  /** Connects and receives the log; reconnects after each connection loss. */
  async run(): Promise<void> {
    while (!this.#stopped) {
      try {
        await this.#stream();
      } catch (error) {
        const fields = { source: this.source.name, error: String(error) };
        this.#instance.logger.debug(fields, "replication connection lost");
      }
      if (!this.#stopped) await sleep(RECONNECT_DELAY_MS);
    }
  }

  /** Closes the connection; nothing more is received from the source. */
  stop(): void {
    this.#stopped = true;
    this.#destroy();
  }

  async #stream(): Promise<void> {
    const client = this.#connect();
    this.#client = client;
    const connectionLost = new Promise<never>((_, reject) => {
      client.once("error", reject);
      client.once("end", () => reject(new Error("connection ended")));
    });
    connectionLost.catch(() => {});
    const silenceTimer = setInterval(
      () => this.#checkSilence(),
      SILENCE_CHECK_MS,
    );
    try {
      await Promise.race([client.connect(), connectionLost]);
      this.#silentSince = performance.now();
      await Promise.race([this.#receive(client), connectionLost]);
    } finally {
      clearInterval(silenceTimer);
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
      rows.push({ row: row as LogRow, arrivedAt: this.#heardAt });
    });
    query.on("error", (error) => rows.fail(error));
    query.on("end", () => rows.fail(new Error("stream ended")));
    client.query(query);
    let sourceEnd: bigint | undefined;
    for (;;) {
      const arrival = await rows.shift();
      if (this.#stopped) return;
      await this.#waitForLag(arrival);
      if (this.#stopped) return;
      const { row } = arrival;
      if (row.kind === "history") {
        sourceEnd = BigInt(row.lsn);
        const history = {
          lastTerm: Number(row.term),
          termStarts: parseTermStarts(row.body),
        };
        const end = log.end;
        await this.#instance.reconcile(history, sourceEnd);
        if (log.end !== end) return;
      }
      if (row.kind === "entry") this.#appendEntry(row);
      if (sourceEnd !== undefined && this.#hasApplied(sourceEnd)) {
        this.#instance.setSynchronized();
      }
    }
  }

  #appendEntry(row: LogRow): void {
    const { log } = this.#instance;
    const end = log.end + BigInt(Buffer.byteLength(row.body));
    if (end !== BigInt(row.lsn)) throw new Error("gap in the replicated log");
    this.#instance.receive(Number(row.term), row.body);
  }

  #hasApplied(lsn: bigint): boolean {
    return this.#instance.database.applied >= lsn;
  }

  async #waitForLag(arrival: Arrival): Promise<void> {
    if (arrival.row.kind !== "entry") return;
    while (!this.#stopped) {
      const due = arrival.arrivedAt + this.#instance.receiveLag;
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

/** Creates a socket that connects from a given local address. */
function createLocalSocket(localAddress: string): Socket {
  const socket = new Socket();
  const connect = socket.connect.bind(socket) as (options: object) => Socket;
  socket.connect =
    ((port: number, host: string) =>
      connect({ port, host, localAddress })) as Socket["connect"];
  return socket;
}
