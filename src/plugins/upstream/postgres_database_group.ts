/**
 * Controls database instances through statements over the PostgreSQL protocol.
 *
 * @module
 */
import type { ConnectionOptions } from "node:tls";
import { err, ok, type Result, ResultAsync } from "neverthrow";
import type { Service } from "../../kernel/kernel.ts";
import {
  createFailure,
  type Failure,
  ResultCodes,
} from "../../kernel/result_codes.ts";
import type { Instance } from "../document/document.ts";
import { ControlConnection, type ControlRow } from "./control_connection.ts";
import { readFenceReply, readStatus } from "./control_rows.ts";
import type {
  DatabaseGroup,
  FenceReply,
  InstanceStatus,
} from "./database_group.ts";

/** Idle time after which a connection for follow requests is closed. */
const FOLLOW_IDLE_TIMEOUT_MS = 10_000;

/** Identity and credentials of the control connections. */
export interface PostgresDatabaseGroupOptions {
  /** Name of the proxy. */
  readonly name: string;
  /** Local IP address to connect from. */
  readonly address: string;
  readonly user: string;
  readonly password: string;
  /** TLS options for the instances; without them the connections do not use TLS. */
  readonly ssl?: ConnectionOptions;
}

/**
 * Purpose of a connection. Fence and promote requests use the connection that status requests
 * keep open, because opening one between regions would add four round trips to a failover.
 * Follow requests may take long and use a separate connection, so as not to delay status requests.
 */
type Channel = "status" | "follow";

/** Keeps a control connection to each instance, and a second one while follow requests are sent to it. */
export class PostgresDatabaseGroup implements DatabaseGroup, Service {
  readonly #options: PostgresDatabaseGroupOptions;
  readonly #connections = new Map<string, ControlConnection>();

  constructor(options: PostgresDatabaseGroupOptions) {
    this.#options = options;
  }

  status(
    database: string,
    instance: Instance,
    timeout: number,
  ): ResultAsync<InstanceStatus, Failure> {
    const text = "SELECT * FROM marjoramshed_status()";
    const connection = this.#connection(database, instance, "status");
    return request(connection, text, timeout, readStatus);
  }

  fence(
    database: string,
    instance: Instance,
    term: number,
    timeout: number,
  ): ResultAsync<FenceReply, Failure> {
    const text = `SELECT * FROM marjoramshed_fence(${termLiteral(term)})`;
    const connection = this.#connection(database, instance, "status");
    return request(connection, text, timeout, readFenceReply);
  }

  promote(
    database: string,
    instance: Instance,
    term: number,
    timeout: number,
  ): ResultAsync<InstanceStatus, Failure> {
    const text = `SELECT * FROM marjoramshed_promote(${termLiteral(term)})`;
    const connection = this.#connection(database, instance, "status");
    return request(connection, text, timeout, readStatus);
  }

  follow(
    database: string,
    instance: Instance,
    primary: Instance,
    term: number,
    timeout: number,
  ): ResultAsync<InstanceStatus, Failure> {
    const source = `'${primary.name}','${primary.host}',${primary.port}`;
    const text = `SELECT * FROM marjoramshed_follow(${source},${
      termLiteral(term)
    })`;
    const connection = this.#connection(database, instance, "follow");
    return request(connection, text, timeout, readStatus);
  }

  /** Closes all connections. */
  stop(): Promise<void> {
    for (const connection of this.#connections.values()) connection.close();
    this.#connections.clear();
    return Promise.resolve();
  }

  #connection(
    database: string,
    instance: Instance,
    channel: Channel,
  ): ControlConnection {
    const { host, port } = instance;
    const key = `${channel}/${database}/${host}:${port}`;
    const found = this.#connections.get(key);
    if (found) return found;
    const { name, address, user, password, ssl } = this.#options;
    const connection = new ControlConnection({
      host,
      port,
      database,
      user,
      password,
      applicationName: `marjoramshed-control-${name}`,
      localAddress: address,
      ...(channel === "follow" ? { idleTimeout: FOLLOW_IDLE_TIMEOUT_MS } : {}),
      ...(ssl ? { ssl } : {}),
    });
    this.#connections.set(key, connection);
    return connection;
  }
}

function request<T>(
  connection: ControlConnection,
  text: string,
  timeout: number,
  read: (row: ControlRow) => T,
): ResultAsync<T, Failure> {
  const answer = connection.query(text, timeout);
  return new ResultAsync(answer.then((result) => decode(result, read)));
}

function decode<T>(
  result: Result<ControlRow, Failure>,
  read: (row: ControlRow) => T,
): Result<T, Failure> {
  if (result.isErr()) return err(result.error);
  try {
    return ok(read(result.value));
  } catch (error) {
    const message = `control answer of an instance: ${String(error)}`;
    return err(createFailure(ResultCodes.UPSTREAM_UNREACHABLE, message));
  }
}

function termLiteral(term: number): string {
  if (Number.isSafeInteger(term) && term >= 0) return String(term);
  throw new RangeError(
    `term must be a non-negative safe integer, found ${term}`,
  );
}
