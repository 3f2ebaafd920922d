/**
 * Opens and authenticates connections to an instance through `pg`, takes over
 * the connected socket, and sends cancel requests.
 *
 * @module
 */
import { readFile } from "node:fs/promises";
import type { Socket } from "node:net";
import { ResultAsync } from "neverthrow";
import pg from "pg";
import {
  createFailure,
  type Failure,
  ResultCodes,
} from "../../kernel/result_codes.ts";
import { BoundSocket } from "../upstream/bound_socket.ts";

/** Address of an instance and the database to connect to. */
export interface UpstreamTarget {
  readonly database: string;
  readonly instance: string;
  readonly host: string;
  readonly port: number;
}

/** Credentials and local address for connections to upstreams. */
export interface UpstreamIdentity {
  /** Local IP address to connect from. */
  readonly address: string;
  readonly user: string;
  readonly password: string;
  readonly applicationName: string;
  /** Certificate authority of the upstreams, a PEM file; enables TLS. */
  readonly authority?: string;
}

/** An open, authenticated connection; its socket is paused and has no reader. */
export interface OpenedUpstream {
  readonly socket: Socket;
  readonly processId: number;
  readonly secretKey: number;
  readonly parameters: ReadonlyMap<string, string>;
}

const OPEN_TIMEOUT_MS = 1_000;
const CANCEL_TIMEOUT_MS = 1_000;
const TOO_MANY_CONNECTIONS = "53300";

/** Members of `pg` that its type declarations omit. */
interface WireConnection extends pg.Connection {
  connect(port: number, host: string): void;
  requestSsl(): void;
  cancel(processId: number, secretKey: number): void;
}
interface WireClient {
  readonly connection: WireConnection;
  readonly processID: number;
  readonly secretKey: number;
}
interface ParameterStatus {
  readonly parameterName: string;
  readonly parameterValue: string;
}

/** Opens a connection; fails with UPSTREAM_REFUSED if the instance has reached its connection limit, otherwise with UPSTREAM_UNREACHABLE. */
export function openUpstream(
  target: UpstreamTarget,
  identity: UpstreamIdentity,
): ResultAsync<OpenedUpstream, Failure> {
  return ResultAsync.fromPromise(
    open(target, identity),
    (error) => openingFailure(target, error),
  );
}

async function open(
  target: UpstreamTarget,
  identity: UpstreamIdentity,
): Promise<OpenedUpstream> {
  const client = new pg.Client({
    host: target.host,
    port: target.port,
    database: target.database,
    user: identity.user,
    password: identity.password,
    application_name: identity.applicationName,
    connectionTimeoutMillis: OPEN_TIMEOUT_MS,
    ssl: await resolveTls(identity),
    stream: () => new BoundSocket(identity.address),
  });
  const wire = client as unknown as WireClient;
  const parameters = new Map<string, string>();
  wire.connection.on("parameterStatus", (status: ParameterStatus) => {
    parameters.set(status.parameterName, status.parameterValue);
  });
  // The pool handles socket errors itself after it has taken over the socket.
  client.on("error", () => {});
  try {
    await client.connect();
  } catch (error) {
    wire.connection.stream.destroy();
    throw error;
  }
  const socket = wire.connection.stream as Socket;
  socket.pause();
  socket.removeAllListeners("data");
  return {
    socket,
    processId: wire.processID,
    secretKey: wire.secretKey,
    parameters,
  };
}

/** Sends a cancel request on a new socket; resolves when the socket is closed, has failed or has timed out. */
export async function cancelUpstream(
  target: UpstreamTarget,
  identity: UpstreamIdentity,
  opened: Pick<OpenedUpstream, "processId" | "secretKey">,
): Promise<void> {
  const ssl = await resolveTls(identity);
  const connection = new pg.Connection({
    ssl,
    stream: () => new BoundSocket(identity.address),
  }) as WireConnection;
  await new Promise<void>((resolve) => {
    const timer = setTimeout(resolve, CANCEL_TIMEOUT_MS);
    const send = () => connection.cancel(opened.processId, opened.secretKey);
    connection.on("error", () => resolve());
    connection.on("end", () => resolve());
    connection.on("sslconnect", send);
    connection.on("connect", () => ssl ? connection.requestSsl() : send());
    connection.connect(target.port, target.host);
    connection.once("end", () => clearTimeout(timer));
  });
  connection.stream.destroy();
}

/** Reads the certificate for each connection, so that a replaced file takes effect without a restart. */
async function resolveTls(
  identity: UpstreamIdentity,
): Promise<{ readonly ca: string } | false> {
  if (!identity.authority) return false;
  return { ca: await readFile(identity.authority, "utf8") };
}

function openingFailure(target: UpstreamTarget, error: unknown): Failure {
  const sqlState = (error as { readonly code?: unknown }).code;
  const message = error instanceof Error ? error.message : String(error);
  const code = sqlState === TOO_MANY_CONNECTIONS
    ? ResultCodes.UPSTREAM_REFUSED
    : ResultCodes.UPSTREAM_UNREACHABLE;
  return createFailure(
    code,
    `can't open a connection to ${target.instance}: ${message}`,
  );
}
