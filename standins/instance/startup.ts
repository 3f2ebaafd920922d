/**
 * Startup and authentication of a connection, by pg-gateway. The connection's
 * session takes over the socket afterwards.
 *
 * @module
 */
import { randomInt } from "node:crypto";
import type { Socket } from "node:net";
import { setTimeout as sleep } from "node:timers/promises";
import { PostgresConnection } from "pg-gateway";
import type { DatabaseInstance } from "./instance.ts";
import type { SessionOptions } from "./session.ts";
import { NO_SETTINGS, type SessionSettings } from "./session_settings.ts";
import { createMessage, int32, SqlFailure } from "./wire.ts";

const CONTROL_APPLICATION = "marjoramshed-control";
const CANCEL_REQUEST_CODE = 80_877_102;
const CANCEL_REQUEST_BYTES = 16;
const MAX_SECRET_KEY = 2 ** 31 - 1;
const STARTUP_TIMEOUT_MS = 10_000;
const SERVER_VERSION = "18.0";
const REPORTED_PARAMETERS = {
  server_version: SERVER_VERSION,
  server_encoding: "UTF8",
  client_encoding: "UTF8",
  DateStyle: "ISO, MDY",
  IntervalStyle: "postgres",
  TimeZone: "UTC",
  integer_datetimes: "on",
  is_superuser: "off",
  standard_conforming_strings: "on",
};
const SKIPPED_PARAMETERS =
  /^(user|database|application_name|client_encoding|replication|options|marjoramshed\..*)$/;
const OPTION_PATTERN = /(?:-c\s*|--)([\w.]+)=((?:\\.|\S)*)/g;

/** Identifies a connection in a CancelRequest; sent to the caller as BackendKeyData. */
export interface CancelKey {
  readonly processId: number;
  readonly secretKey: number;
}

/** Callbacks of connection startup into the server. */
export interface ConnectionHandler {
  /** Reserves a slot for an ordinary connection; returns false when all are in use. */
  reserveSlot(): boolean;
  /** Cancels the waiting statement, if any, of the connection that has this key. */
  cancel(key: CancelKey): void;
  /** Serves an authenticated connection. */
  serve(options: SessionOptions, key: CancelKey): void;
}

/** Runs the startup of a connection; errors of the caller and a timeout close it. */
export function startConnection(
  instance: DatabaseInstance,
  handler: ConnectionHandler,
  socket: Socket,
  processId: number,
): void {
  const { settings } = instance;
  const startupTimer = setTimeout(() => socket.destroy(), STARTUP_TIMEOUT_MS);
  socket.once("close", () => clearTimeout(startupTimer));
  const connection = new PostgresConnection(socket, {
    authMode: "cleartextPassword",
    onMessage: (data, state) => {
      const key = state.hasStarted
        ? undefined
        : readCancelKey(Buffer.from(data));
      if (!key) return false;
      handler.cancel(key);
      socket.end();
      return true;
    },
    validateCredentials: async (credentials, state) => {
      const parameters = state.clientInfo?.parameters ?? { user: "" };
      if (credentials.authMode !== "cleartextPassword") return false;
      if (credentials.user !== settings.user) return false;
      if (credentials.password !== settings.password) return false;
      clearTimeout(startupTimer);
      await finishStartup(instance, handler, connection, parameters, processId);
      return await new Promise<boolean>(() => {});
    },
  });
}

type Parameters = Readonly<Record<string, string>>;

async function finishStartup(
  instance: DatabaseInstance,
  handler: ConnectionHandler,
  connection: PostgresConnection,
  parameters: Parameters,
  processId: number,
): Promise<void> {
  const applicationName = parameters.application_name ?? "";
  const control = applicationName.startsWith(CONTROL_APPLICATION);
  const rejection = findRejection(instance, handler, parameters, control);
  const socket = connection.detach();
  if (rejection) {
    const { sqlState: code, message } = rejection;
    connection.sendError({ severity: "FATAL", code, message });
    socket.destroySoon();
    return;
  }
  const key = { processId, secretKey: randomInt(MAX_SECRET_KEY) };
  const sessionSettings = parseSettings(parameters);
  handler.serve({ processId, socket, control, settings: sessionSettings }, key);
  if (!control) await sleep(instance.settings.openDelay);
  connection.sendAuthenticationOk();
  const standby = instance.role === "primary" ? "off" : "on";
  const parameterStatus = {
    ...REPORTED_PARAMETERS,
    in_hot_standby: standby,
    application_name: applicationName,
  };
  for (const [name, value] of Object.entries(parameterStatus)) {
    connection.sendParameterStatus(name, value);
  }
  socket.write(createMessage("K", int32(processId), int32(key.secretKey)));
  connection.sendReadyForQuery("idle");
}

function findRejection(
  { settings, synchronized }: DatabaseInstance,
  handler: ConnectionHandler,
  parameters: Parameters,
  control: boolean,
): SqlFailure | undefined {
  const database = parameters.database ?? parameters.user;
  if (settings.database && database !== settings.database) {
    return new SqlFailure("3D000", `database "${database}" does not exist`);
  }
  if (control) return undefined;
  if (!synchronized) {
    return new SqlFailure("57P03", "the database system is starting up");
  }
  if (handler.reserveSlot()) return undefined;
  return new SqlFailure("53300", "sorry, too many clients already");
}

function readCancelKey(data: Buffer): CancelKey | undefined {
  if (data.length !== CANCEL_REQUEST_BYTES) return undefined;
  if (data.readInt32BE(4) !== CANCEL_REQUEST_CODE) return undefined;
  return { processId: data.readInt32BE(8), secretKey: data.readInt32BE(12) };
}

function parseSettings(parameters: Parameters): SessionSettings {
  const settings = new Map<string, string>();
  for (
    const [, name, value] of (parameters.options ?? "").matchAll(OPTION_PATTERN)
  ) {
    settings.set(name!, value!.replaceAll(/\\(.)/g, "$1"));
  }
  for (const [name, value] of Object.entries(parameters)) {
    settings.set(name, value);
  }
  for (const name of [...settings.keys()]) {
    if (SKIPPED_PARAMETERS.test(name)) settings.delete(name);
  }
  return settings.size === 0 ? NO_SETTINGS : settings;
}
