/**
 * A connection for control statements to one instance. After a connection loss, a timeout or
 * the idle timeout, the next request reopens it.
 *
 * @module
 */
import type { ConnectionOptions } from "node:tls";
import { err, ok, type Result } from "neverthrow";
import { Client } from "pg";
import {
  createFailure,
  type Failure,
  type ResultCode,
  ResultCodes,
} from "../../kernel/result_codes.ts";
import { BoundSocket } from "./bound_socket.ts";
import { startTimer } from "./pause_tolerant_timer.ts";

/** Address and credentials of a control connection. */
export interface ControlConnectionOptions {
  readonly host: string;
  readonly port: number;
  readonly database: string;
  readonly user: string;
  readonly password: string;
  readonly applicationName: string;
  /** Local IP address to connect from. */
  readonly localAddress: string;
  /** Idle time in ms after which the connection is closed; by default it stays open. */
  readonly idleTimeout?: number;
  /** TLS options; without them the connection does not use TLS. */
  readonly ssl?: ConnectionOptions;
}

/** A result row, by column name. */
export type ControlRow = Readonly<Record<string, unknown>>;

/** SQLSTATE of a request that the instance refuses because of its term. */
const OBJECT_NOT_IN_PREREQUISITE_STATE = "55000";

interface OpenClient {
  readonly client: Client;
  readonly socket: BoundSocket;
  readonly ready: Promise<unknown>;
}

/**
 * Sends one statement at a time. A timeout destroys the connection, so that a late response is not
 * taken for the response to a later request.
 */
export class ControlConnection {
  readonly #options: ControlConnectionOptions;
  #open: OpenClient | undefined;
  #lastRequest: Promise<unknown> = Promise.resolve();
  #idleTimer: NodeJS.Timeout | undefined;

  constructor(options: ControlConnectionOptions) {
    this.#options = options;
  }

  /** Whether a connection is open or being opened. */
  get isOpen(): boolean {
    return this.#open !== undefined;
  }

  /**
   * Runs a statement that returns one row. The timeout in ms starts when previous requests have
   * completed, and includes the time to connect.
   */
  query(text: string, timeout: number): Promise<Result<ControlRow, Failure>> {
    const answer = this.#lastRequest.then(() => this.#run(text, timeout));
    this.#lastRequest = answer;
    return answer;
  }

  /** Closes the connection. A running statement fails; a later request reopens the connection. */
  close(): void {
    clearTimeout(this.#idleTimer);
    const open = this.#open;
    this.#open = undefined;
    open?.socket.destroy();
  }

  async #run(
    text: string,
    timeout: number,
  ): Promise<Result<ControlRow, Failure>> {
    clearTimeout(this.#idleTimer);
    const open = this.#open ?? this.#connect();
    let timedOut = false;
    const cancel = startTimer(timeout, () => {
      timedOut = true;
      this.#discard(open);
    });
    try {
      await open.ready;
      const { rows } = await open.client.query(text);
      const row: unknown = rows[0];
      if (row === undefined) return err(this.#failure("answered no row"));
      return ok(row as ControlRow);
    } catch (error) {
      return err(this.#toFailure(open, error, timedOut ? timeout : undefined));
    } finally {
      cancel();
      this.#armIdleTimer();
    }
  }

  #connect(): OpenClient {
    const options = this.#options;
    const socket = new BoundSocket(options.localAddress);
    const client = new Client({
      host: options.host,
      port: options.port,
      database: options.database,
      user: options.user,
      password: options.password,
      application_name: options.applicationName,
      ssl: options.ssl ?? false,
      stream: () => socket,
    });
    const ready = client.connect();
    const open: OpenClient = { client, socket, ready };
    client.on("error", () => this.#discard(open));
    client.on("end", () => this.#discard(open));
    this.#open = open;
    return open;
  }

  #discard(open: OpenClient): void {
    if (this.#open === open) this.#open = undefined;
    open.socket.destroy();
  }

  #toFailure(
    open: OpenClient,
    error: unknown,
    timeout: number | undefined,
  ): Failure {
    const { code } = error as { code?: unknown };
    const message = error instanceof Error ? error.message : String(error);
    if (code === OBJECT_NOT_IN_PREREQUISITE_STATE) {
      return this.#failure(message, ResultCodes.FENCE_REFUSED);
    }
    this.#discard(open);
    if (timeout === undefined) return this.#failure(message);
    return this.#failure(`no answer within ${timeout} ms`);
  }

  #failure(
    message: string,
    code: ResultCode = ResultCodes.UPSTREAM_UNREACHABLE,
  ): Failure {
    const { host, port } = this.#options;
    return createFailure(code, `instance ${host}:${port}: ${message}`);
  }

  #armIdleTimer(): void {
    const { idleTimeout } = this.#options;
    if (idleTimeout === undefined) return;
    clearTimeout(this.#idleTimer);
    this.#idleTimer = setTimeout(() => this.close(), idleTimeout);
    this.#idleTimer.unref();
  }
}
