/**
 * Startup, TLS and password authentication of a caller's connection, with pg-gateway.
 *
 * @module
 */
import type { Socket } from "node:net";
import { PostgresConnection, type TlsOptions } from "pg-gateway";
import { Writer } from "pg-protocol/dist/buffer-writer.js";

const BACKEND_KEY_DATA = 0x4b;

/** The authenticated caller and its socket. */
export interface CallerStartup {
  readonly socket: Socket;
  readonly user: string;
  readonly database: string;
  /** Startup parameters, including those inside `options`. */
  readonly parameters: ReadonlyMap<string, string>;
}

/** Options of a handshake. */
export interface HandshakeOptions {
  /** The current certificate for callers; without it, requests for TLS are declined. */
  readonly tls?: () => TlsOptions;
  /** Whether the user may open the database with this password. */
  readonly verify: (
    user: string,
    password: string,
    database: string,
  ) => Promise<boolean>;
  /** Parameters to report to the caller, such as server_version. */
  readonly report: ReadonlyMap<string, string>;
  /** Identifies the session in cancel requests. */
  readonly processId: number;
  readonly secretKey: number;
  /** Time limit for the whole handshake, in ms. */
  readonly timeoutMs: number;
}

/** A pg-gateway connection that detaches after authentication, so that the session reads the socket itself. */
class CallerConnection extends PostgresConnection {
  readonly #report: ReadonlyMap<string, string>;
  readonly #processId: number;
  readonly #secretKey: number;
  readonly #ready: () => void;

  constructor(socket: Socket, options: HandshakeOptions, ready: () => void) {
    super(socket, {
      authMode: "cleartextPassword",
      ...(options.tls ? { tls: options.tls } : {}),
      validateCredentials: async (credentials) => {
        if (credentials.authMode !== "cleartextPassword") return false;
        const { user, password } = credentials;
        const database = this.clientInfo?.parameters["database"] ?? user;
        return await options.verify(user, password, database);
      },
    });
    this.#report = options.report;
    this.#processId = options.processId;
    this.#secretKey = options.secretKey;
    this.#ready = ready;
  }

  override completeAuthentication(): Promise<void> {
    this.socket.pause();
    this.detach();
    this.isAuthenticated = true;
    this.sendAuthenticationOk();
    for (const [name, value] of this.#report) {
      this.sendParameterStatus(name, value);
    }
    const key = new Writer().addInt32(this.#processId).addInt32(
      this.#secretKey,
    );
    this.sendData(key.flush(BACKEND_KEY_DATA));
    this.sendReadyForQuery("idle");
    this.#ready();
    return Promise.resolve();
  }
}

/** Performs the handshake; resolves to undefined when the caller was refused, timed out or disconnected. */
export function performHandshake(
  socket: Socket,
  options: HandshakeOptions,
): Promise<CallerStartup | undefined> {
  return new Promise((resolve) => {
    const finish = (startup: CallerStartup | undefined): void => {
      clearTimeout(timer);
      socket.off("close", onClose);
      resolve(startup);
    };
    const onClose = (): void => finish(undefined);
    const timer = setTimeout(() => {
      socket.destroy();
      finish(undefined);
    }, options.timeoutMs);
    socket.on("close", onClose);
    const connection = new CallerConnection(socket, options, () => {
      const raw = connection.clientInfo?.parameters ?? { user: "" };
      finish({
        socket: connection.socket,
        user: raw.user,
        database: raw["database"] ?? raw.user,
        parameters: flattenOptions(raw),
      });
    });
  });
}

/** Merges the settings in `options` (`-c name=value`, `--name=value`) into the other startup parameters. */
export function flattenOptions(
  raw: Readonly<Record<string, string>>,
): ReadonlyMap<string, string> {
  const result = new Map(Object.entries(raw));
  result.delete("options");
  const text = raw["options"] ?? "";
  for (const match of text.matchAll(/(?:-c\s*|--)([\w.-]+)=((?:\\.|\S)*)/g)) {
    result.set(
      match[1]!.replaceAll("-", "_"),
      match[2]!.replaceAll(/\\(.)/g, "$1"),
    );
  }
  return result;
}
