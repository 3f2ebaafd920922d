/**
 * Accepts callers' connections and runs a session for each.
 *
 * @module
 */
import { randomInt } from "node:crypto";
import { createServer, type Server, type Socket } from "node:net";
import { setTimeout as delay } from "node:timers/promises";
import { clock } from "../../kernel/clock.ts";
import { Events } from "../../kernel/events.ts";
import type { Service } from "../../kernel/kernel.ts";
import {
  createFailure,
  type Failure,
  ResultCodes,
} from "../../kernel/result_codes.ts";
import type { Settings } from "../../kernel/settings.ts";
import { createFailureMessage } from "../wire/failure_message.ts";
import { Accounts } from "./accounts.ts";
import type { CallerContext } from "./caller_context.ts";
import { type CallerCertificate } from "./caller_certificate.ts";
import { type CallerStartup, performHandshake } from "./handshake.ts";
import { CallerSession } from "./session.ts";
import { SessionState } from "./session_state.ts";
import { readFirstPacket } from "./startup_packet.ts";
import { applyStartupParameters } from "./startup_parameters.ts";

const HANDSHAKE_TIMEOUT_MS = 10_000;
/** Time for a caller to close its side after its session has ended. */
const CLOSE_TIMEOUT_MS = 1_000;
const MAX_INT32 = 0x7fffffff;
/** Interval at which a drain checks whether all sessions have ended. */
const DRAIN_POLL_MS = 20;
/** Parameters that database drivers expect at startup. */
const REPORTED_PARAMETERS: ReadonlyMap<string, string> = new Map([
  ["server_version", "17.0"],
  ["server_encoding", "UTF8"],
  ["client_encoding", "UTF8"],
  ["DateStyle", "ISO, MDY"],
  ["integer_datetimes", "on"],
  ["standard_conforming_strings", "on"],
  ["TimeZone", "UTC"],
]);

interface SessionEntry {
  readonly session: CallerSession;
  readonly socket: Socket;
  readonly secretKey: number;
}

/** The listening socket for callers and the sessions of its connections. */
export class CallerListener implements Service {
  readonly #settings: Settings;
  readonly #context: CallerContext;
  readonly #accounts: Accounts;
  readonly #certificate: CallerCertificate | undefined;
  readonly #server: Server;
  readonly #sessions = new Map<number, SessionEntry>();
  #nextId = randomInt(1, 1_000_000);
  #draining = false;

  constructor(
    settings: Settings,
    context: CallerContext,
    certificate: CallerCertificate | undefined,
  ) {
    this.#settings = settings;
    this.#context = context;
    this.#certificate = certificate;
    this.#accounts = new Accounts(context.configuration);
    const options = { noDelay: true, keepAlive: true };
    this.#server = createServer(options, (socket) => void this.#accept(socket));
  }

  /** Port that callers connect to; 0 while it is not listening. */
  get port(): number {
    const address = this.#server.address();
    return typeof address === "object" && address ? address.port : 0;
  }

  /** Number of open sessions. */
  get count(): number {
    return this.#sessions.size;
  }

  async start(): Promise<void> {
    await new Promise<void>((resolve, reject) => {
      this.#server.once("error", reject);
      const { port, address } = this.#settings;
      this.#server.listen({ port, host: address, backlog: 4096 }, resolve);
    });
  }

  async drain(deadline: number): Promise<void> {
    this.#draining = true;
    this.#server.close();
    for (const { session } of this.#sessions.values()) session.drain();
    while (this.#sessions.size > 0 && clock.now() < deadline) {
      await delay(DRAIN_POLL_MS);
    }
  }

  async stop(): Promise<void> {
    this.#server.close();
    const remaining = [...this.#sessions.values()];
    for (const { session } of remaining) session.abandon();
    await Promise.all(
      remaining.map(({ socket }) => this.#waitForClose(socket)),
    );
  }

  async #accept(socket: Socket): Promise<void> {
    // Every wait on the socket also ends on its close event, so errors need no handling.
    socket.on("error", () => {});
    try {
      await this.#serve(socket);
    } catch (error) {
      this.#context.log.write(Events.UNEXPECTED, { error: String(error) });
      socket.destroy();
    }
  }

  async #serve(socket: Socket): Promise<void> {
    const first = await readFirstPacket(socket, HANDSHAKE_TIMEOUT_MS);
    if (first.kind === "closed") return void socket.destroy();
    if (first.kind === "malformed") {
      const message = "the startup packet has an impossible length";
      return this.#refuse(
        socket,
        createFailure(ResultCodes.PROTOCOL_MALFORMED, message),
      );
    }
    if (first.kind === "cancel") {
      socket.end();
      return await this.#cancel(first.processId, first.secretKey);
    }
    const refusal = this.#admissionFailure();
    if (refusal) return this.#refuse(socket, refusal);
    const id = this.#allocateId();
    const secretKey = randomInt(1, MAX_INT32);
    const startup = await this.#performHandshake(socket, id, secretKey);
    if (startup) await this.#run(startup, id, secretKey);
  }

  #performHandshake(
    socket: Socket,
    processId: number,
    secretKey: number,
  ): Promise<CallerStartup | undefined> {
    const certificate = this.#certificate;
    return performHandshake(socket, {
      ...(certificate ? { tls: () => certificate.current() } : {}),
      verify: async (user, password, database) => {
        const valid = await this.#accounts.verify(user, password, database);
        if (!valid) {
          this.#context.log.write(Events.CALLER_REFUSED, {
            user,
            database,
            code: ResultCodes.PASSWORD_WRONG.number,
          });
        }
        return valid;
      },
      report: REPORTED_PARAMETERS,
      processId,
      secretKey,
      timeoutMs: HANDSHAKE_TIMEOUT_MS,
    });
  }

  async #run(
    startup: CallerStartup,
    id: number,
    secretKey: number,
  ): Promise<void> {
    const { socket, user, database } = startup;
    const state = new SessionState();
    const failure = applyStartupParameters(startup.parameters, state);
    if (failure) return this.#refuse(socket, failure);
    const identity = { id, user, database };
    const session = new CallerSession(this.#context, identity, socket, state);
    this.#sessions.set(id, { session, socket, secretKey });
    this.#context.metrics.setCallerCount(this.#sessions.size);
    this.#context.log.write(Events.CALLER_CONNECTED, {
      session: id,
      user,
      database,
    });
    if (this.#draining) session.drain();
    await session.run();
    await this.#waitForClose(socket);
    this.#sessions.delete(id);
    this.#context.metrics.setCallerCount(this.#sessions.size);
    this.#context.log.write(Events.CALLER_DISCONNECTED, { session: id });
  }

  /** Waits for the caller to close its side, so that it can read the last answer. */
  async #waitForClose(socket: Socket): Promise<void> {
    if (socket.closed) return;
    const timer = setTimeout(() => socket.destroy(), CLOSE_TIMEOUT_MS);
    await new Promise<void>((resolve) => socket.once("close", () => resolve()));
    clearTimeout(timer);
  }

  #admissionFailure(): Failure | undefined {
    if (this.#draining) {
      return createFailure(ResultCodes.SHUTTING_DOWN, "the proxy is stopping");
    }
    if (this.#sessions.size >= this.#settings.callerLimit) {
      const message =
        `the proxy serves ${this.#settings.callerLimit} callers, its limit`;
      return createFailure(ResultCodes.CALLER_LIMIT, message);
    }
    if (this.#context.configuration.current()) return undefined;
    return createFailure(
      ResultCodes.CONFIGURATION_ABSENT,
      "no document is in force at this proxy: neither the platform nor a peer gave one",
    );
  }

  #refuse(socket: Socket, failure: Failure): void {
    this.#context.metrics.recordRefusal(failure.code.name);
    this.#context.log.write(Events.CALLER_REFUSED, {
      code: failure.code.number,
      message: failure.message,
    });
    // Unread bytes of the startup packet would reset the connection on close, before the caller reads the answer.
    socket.resume();
    socket.end(createFailureMessage(failure, "FATAL").data);
  }

  async #cancel(processId: number, secretKey: number): Promise<void> {
    const entry = this.#sessions.get(processId);
    if (!entry || entry.secretKey !== secretKey) return;
    const connection = entry.session.activeConnection;
    if (connection) await this.#context.connections.cancel(connection);
  }

  #allocateId(): number {
    do this.#nextId = this.#nextId % MAX_INT32 + 1; while (
      this.#sessions.has(this.#nextId)
    );
    return this.#nextId;
  }
}
