/**
 * Serves procedures to peers: verifies the signature, rejects requests for
 * another incarnation and replayed requests, and passes the rest to the tRPC
 * router.
 *
 * @module
 */
import {
  createServer,
  type IncomingMessage,
  type Server,
  type ServerResponse,
} from "node:http";
import { createServer as createTlsServer } from "node:https";
import type { AddressInfo, Socket } from "node:net";
import { Server as TlsServer } from "node:tls";
import {
  type AnyTRPCRouter,
  callTRPCProcedure,
  initTRPC,
  TRPCError,
} from "@trpc/server";
import { clock } from "../../kernel/clock.ts";
import { type EventLog, Events } from "../../kernel/events.ts";
import {
  createIncarnationId,
  findSigningKey,
  parseSignedHeader,
  SIGNATURE_HEADER,
  type SignedRequestHeader,
  signResponse,
} from "./message_signature.ts";
import type { PeerHandler, PeerProcedure } from "./peers.ts";
import type { PeerCertificate } from "./peer_certificate.ts";
import { ReplayWindow } from "./replay_window.ts";
import type { SocketTraffic } from "./socket_traffic.ts";

/** HTTP status for a request whose signature matches none of the keys. */
export const UNAUTHORIZED_STATUS = 401;
/** HTTP status for a request to another incarnation; the response body is the current incarnation id. */
export const INCARNATION_MISMATCH_STATUS = 409;

const REPLAY_STATUS = 403;
const MAX_REQUEST_BYTES = 262_144;
const KEEP_ALIVE_MS = 90_000;
const REFUSAL_LOG_INTERVAL_MS = 10_000;

const OK_STATUS = 200;
const BAD_REQUEST_STATUS = 400;
const INTERNAL_ERROR_STATUS = 500;

const trpc = initTRPC.create({ isDev: false });

/** Options of a peer server. */
export interface PeerServerOptions {
  /** IP address to listen on. */
  readonly address: string;
  /** Port; 0 selects a free one. */
  readonly port: number;
  /** Keys with which accepted requests may be signed. */
  readonly keys: readonly string[];
  readonly traffic: SocketTraffic;
  readonly log: EventLog;
  readonly certificate?: PeerCertificate;
}

/** HTTP or HTTPS server for requests of peers. */
export class PeerServer {
  readonly #options: PeerServerOptions;
  readonly #server: Server;
  readonly #replayWindow = new ReplayWindow();
  readonly #procedures: Parameters<typeof trpc.router>[0] = {};
  #router: AnyTRPCRouter = trpc.router({});
  /** Connections whose peer was verified with the current certificate files. */
  #verifiedSockets = new WeakSet<Socket>();
  #incarnation = createIncarnationId();
  #refusalLoggedAt = -Infinity;

  constructor(options: PeerServerOptions) {
    this.#options = options;
    const onRequest = (request: IncomingMessage, response: ServerResponse) => {
      this.#handle(request, response).catch(() => response.destroy());
    };
    this.#server = options.certificate
      ? createTlsServer(options.certificate.serverOptions(), onRequest)
      : createServer(onRequest);
    this.#server.keepAliveTimeout = KEEP_ALIVE_MS;
    this.#server.on(
      "connection",
      (socket: Socket) => options.traffic.add(socket),
    );
    this.#server.on("secureConnection", (socket: Socket) => {
      this.#verifiedSockets.add(socket);
    });
    options.certificate?.subscribe(() => this.#renewCertificate());
  }

  /** Registers the handler of a procedure. */
  serve<Input, Output>(
    procedure: PeerProcedure<Input, Output>,
    handler: PeerHandler<Input, Output>,
  ): void {
    this.#procedures[procedure.name] = trpc.procedure
      .input(procedure.input)
      .mutation(({ input }) => handler(input as Input));
    this.#router = trpc.router(this.#procedures);
  }

  /** Starts listening; resolves with the port, rejects if it can't be bound. */
  async listen(): Promise<number> {
    const { address, port } = this.#options;
    await new Promise<void>((resolve, reject) => {
      this.#server.once("error", reject);
      this.#server.listen(port, address, resolve);
    });
    return (this.#server.address() as AddressInfo).port;
  }

  /** Stops listening and closes all connections. */
  close(): void {
    this.#server.close();
    this.#server.closeAllConnections();
  }

  async #handle(
    request: IncomingMessage,
    response: ServerResponse,
  ): Promise<void> {
    const { certificate } = this.#options;
    if (certificate && !this.#verifiedSockets.has(request.socket)) {
      // The peer's certificate may have been withdrawn; its client calls again over a new connection.
      request.socket.destroy();
      return;
    }
    const path = request.url ?? "";
    const body = await readBody(request);
    const signed = parseSignedHeader(request.headers[SIGNATURE_HEADER] ?? "");
    const key = signed &&
      findSigningKey(this.#options.keys, signed, path, body);
    if (!signed || key === undefined) {
      this.#logRefusal(request, "invalid signature");
      return sendResponse(response, UNAUTHORIZED_STATUS, "");
    }
    const [status, text] = await this.#admit(request, signed, path, body);
    const signature = signResponse(key, signed.signature, status, text);
    response.setHeader(SIGNATURE_HEADER, signature);
    sendResponse(response, status, text);
  }

  async #admit(
    request: IncomingMessage,
    signed: SignedRequestHeader,
    path: string,
    body: string,
  ): Promise<[status: number, text: string]> {
    if (signed.receiver !== this.#incarnation) {
      return [INCARNATION_MISMATCH_STATUS, this.#incarnation];
    }
    if (!this.#replayWindow.accept(signed.sender, signed.sequence)) {
      this.#logRefusal(request, "replayed message");
      return [REPLAY_STATUS, ""];
    }
    if (this.#replayWindow.full) this.#renewIncarnation();
    return await this.#run(path, body);
  }

  /** Takes changed certificate files; connections that were verified with the former ones serve no further request. */
  #renewCertificate(): void {
    const { certificate } = this.#options;
    if (certificate && this.#server instanceof TlsServer) {
      this.#server.setSecureContext(certificate.clientOptions());
    }
    this.#verifiedSockets = new WeakSet();
    this.#server.closeIdleConnections();
  }

  /**
   * Calls the procedure directly: tRPC's HTTP adapter takes several times as long
   * as a call.
   */
  async #run(
    path: string,
    body: string,
  ): Promise<[status: number, text: string]> {
    try {
      const data = await callTRPCProcedure({
        router: this.#router,
        path: path.slice(1),
        getRawInput: () => Promise.resolve(JSON.parse(body)),
        ctx: {},
        type: "mutation",
        signal: undefined,
        batchIndex: 0,
      });
      return [OK_STATUS, JSON.stringify({ result: { data } })];
    } catch (error) {
      const message = error instanceof Error ? error.message : String(error);
      const isRejected = error instanceof TRPCError &&
        error.code !== "INTERNAL_SERVER_ERROR";
      return [
        isRejected ? BAD_REQUEST_STATUS : INTERNAL_ERROR_STATUS,
        JSON.stringify({ error: { message, code: -1, data: {} } }),
      ];
    }
  }

  #renewIncarnation(): void {
    this.#replayWindow.clear();
    this.#incarnation = createIncarnationId();
  }

  #logRefusal(request: IncomingMessage, reason: string): void {
    const now = clock.now();
    if (now - this.#refusalLoggedAt < REFUSAL_LOG_INTERVAL_MS) return;
    this.#refusalLoggedAt = now;
    const from = request.socket.remoteAddress;
    this.#options.log.write(Events.PEER_REFUSED, { from, reason });
  }
}

async function readBody(request: IncomingMessage): Promise<string> {
  const chunks: Buffer[] = [];
  let length = 0;
  for await (const chunk of request) {
    length += chunk.length;
    if (length > MAX_REQUEST_BYTES) throw new Error("request too large");
    chunks.push(chunk);
  }
  return Buffer.concat(chunks).toString("utf8");
}

/** Sends a response without the optional HTTP headers, which peers don't use. */
function sendResponse(
  response: ServerResponse,
  status: number,
  body: string,
): void {
  response.sendDate = false;
  response.removeHeader("connection");
  response.writeHead(status, { "content-length": Buffer.byteLength(body) });
  response.end(body);
}
