/**
 * Startup and authentication of a connection, through a library. Afterwards the
 * connection's own task reads the socket.
 *
 * @module
 */
import { randomInt } from "node:crypto";
import type { Socket } from "node:net";
import { setTimeout as sleep } from "node:timers/promises";
import { PostgresConnection } from "pg-gateway";
import type { DatabaseInstance } from "./instance.ts";
import type { SessionStart } from "./session.ts";
import { NO_SETTINGS, type SessionSettings } from "./session_settings.ts";
import { createMessage, int32, SqlFailure } from "./wire.ts";

const CONTROL_APPLICATION = "marjoramshed-control";
const CANCEL_REQUEST_CODE = 80_877_102;
const CANCEL_REQUEST_BYTES = 16;
const MAX_SECRET = 2 ** 31 - 1;
const STARTUP_TIMEOUT_MS = 10_000;
const SERVER_VERSION = "18.0";
const PARAMETERS = {
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
const OPTION = /(?:-c\s*|--)([\w.]+)=((?:\\.|\S)*)/g;

/** The two numbers by which a cancel request names a connection. */
export interface CancelKey {
  readonly id: number;
  readonly secret: number;
}

/** What the server decides about connections. */
export interface Admission {
  /** Takes a place for an ordinary connection; gives false when none is free. */
  take(): boolean;
  cancel(key: CancelKey): void;
  /** Serves an authenticated connection. */
  serve(start: SessionStart, key: CancelKey): void;
}

/** Greets one connection; errors of the caller end it. */
export function greet(
  instance: DatabaseInstance,
  admission: Admission,
  socket: Socket,
  id: number,
): void {
  const { settings } = instance;
  const deadline = setTimeout(() => socket.destroy(), STARTUP_TIMEOUT_MS);
  socket.once("close", () => clearTimeout(deadline));
  const connection = new PostgresConnection(socket, {
    authMode: "cleartextPassword",
    onMessage: (data, state) => {
      const key = state.hasStarted
        ? undefined
        : readCancelKey(Buffer.from(data));
      if (!key) return false;
      admission.cancel(key);
      socket.end();
      return true;
    },
    validateCredentials: async (credentials, state) => {
      const parameters = state.clientInfo?.parameters ?? { user: "" };
      if (credentials.authMode !== "cleartextPassword") return false;
      if (credentials.user !== settings.user) return false;
      if (credentials.password !== settings.password) return false;
      clearTimeout(deadline);
      await admit(instance, admission, connection, parameters, id);
      return await new Promise<boolean>(() => {});
    },
  });
}

type Parameters = Readonly<Record<string, string>>;

async function admit(
  instance: DatabaseInstance,
  admission: Admission,
  connection: PostgresConnection,
  parameters: Parameters,
  id: number,
): Promise<void> {
  const application = parameters.application_name ?? "";
  const control = application.startsWith(CONTROL_APPLICATION);
  const refusal = refuse(instance, admission, parameters, control);
  const socket = connection.detach();
  if (refusal) {
    const { sqlState: code, message } = refusal;
    connection.sendError({ severity: "FATAL", code, message });
    socket.destroySoon();
    return;
  }
  const key = { id, secret: randomInt(MAX_SECRET) };
  const session = readSettings(parameters);
  admission.serve({ id, socket, control, settings: session }, key);
  if (!control) await sleep(instance.settings.openDelay);
  connection.sendAuthenticationOk();
  const standby = instance.role === "primary" ? "off" : "on";
  const reported = {
    ...PARAMETERS,
    in_hot_standby: standby,
    application_name: application,
  };
  for (const [name, value] of Object.entries(reported)) {
    connection.sendParameterStatus(name, value);
  }
  socket.write(createMessage("K", int32(id), int32(key.secret)));
  connection.sendReadyForQuery("idle");
}

function refuse(
  { settings, synchronized }: DatabaseInstance,
  admission: Admission,
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
  if (admission.take()) return undefined;
  return new SqlFailure("53300", "sorry, too many clients already");
}

function readCancelKey(data: Buffer): CancelKey | undefined {
  if (data.length !== CANCEL_REQUEST_BYTES) return undefined;
  if (data.readInt32BE(4) !== CANCEL_REQUEST_CODE) return undefined;
  return { id: data.readInt32BE(8), secret: data.readInt32BE(12) };
}

function readSettings(parameters: Parameters): SessionSettings {
  const settings = new Map<string, string>();
  for (const [, name, value] of (parameters.options ?? "").matchAll(OPTION)) {
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
