/**
 * Serves procedures to peers: checks the signature, refuses what was sent to an
 * earlier start or arrives twice, and hands the rest to the trpc router.
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
import { type AnyTRPCRouter, initTRPC } from "@trpc/server";
import { fetchRequestHandler } from "@trpc/server/adapters/fetch";
import { type EventLog, Events } from "../../kernel/events.ts";
import {
  createStartId,
  findKey,
  parseSignedOrigin,
  signAnswer,
  SIGNATURE_HEADER,
  type SignedOrigin,
} from "./message_signature.ts";
import type { PeerHandler, PeerProcedure } from "./peers.ts";
import type { PeerCertificate } from "./peer_certificate.ts";
import { ReplayWindow } from "./replay_window.ts";
import type { SocketTraffic } from "./socket_traffic.ts";

/** Status of an answer to a request whose signature fits no key. */
export const UNAUTHORIZED_STATUS = 401;
/** Status of an answer to a request for an earlier start; the body is the present start id. */
export const OTHER_START_STATUS = 409;

const REPLAYED_STATUS = 403;
const REQUEST_LIMIT_BYTES = 262_144;
const KEEP_ALIVE_MS = 90_000;
const REFUSALS_LOGGED_EVERY_MS = 10_000;
const TRPC_ENDPOINT = "/";

const trpc = initTRPC.create({ isDev: false });

/** Options of a peer server. */
export interface PeerServerOptions {
  /** IP number to listen on. */
  readonly address: string;
  /** Port; 0 takes a free one. */
  readonly port: number;
  /** Keys under which requests are accepted. */
  readonly keys: readonly string[];
  readonly traffic: SocketTraffic;
  readonly log: EventLog;
  readonly certificate?: PeerCertificate;
}

/** Listens for peers. */
export class PeerServer {
  readonly #options: PeerServerOptions;
  readonly #server: Server;
  readonly #window = new ReplayWindow();
  readonly #procedures: Parameters<typeof trpc.router>[0] = {};
  #router: AnyTRPCRouter = trpc.router({});
  #start = createStartId();
  #refusalLoggedAt = -Infinity;

  constructor(options: PeerServerOptions) {
    this.#options = options;
    const answer = (request: IncomingMessage, response: ServerResponse) => {
      this.#answer(request, response).catch(() => response.destroy());
    };
    this.#server = options.certificate
      ? createTlsServer(options.certificate.serverOptions(), answer)
      : createServer(answer);
    this.#server.keepAliveTimeout = KEEP_ALIVE_MS;
    this.#server.on(
      "connection",
      (socket: Socket) => options.traffic.add(socket),
    );
    options.certificate?.watch(this.#server);
  }

  /** Answers a procedure from now on. */
  serve<Input, Output>(
    procedure: PeerProcedure<Input, Output>,
    handler: PeerHandler<Input, Output>,
  ): void {
    this.#procedures[procedure.name] = trpc.procedure
      .input(procedure.input)
      .mutation(({ input }) => handler(input as Input));
    this.#router = trpc.router(this.#procedures);
  }

  /** Listens; gives the port. */
  async listen(): Promise<number> {
    const { address, port } = this.#options;
    await new Promise<void>((resolve, reject) => {
      this.#server.once("error", reject);
      this.#server.listen(port, address, resolve);
    });
    return (this.#server.address() as AddressInfo).port;
  }

  /** Closes the port and all connections. */
  close(): void {
    this.#server.close();
    this.#server.closeAllConnections();
  }

  async #answer(
    request: IncomingMessage,
    response: ServerResponse,
  ): Promise<void> {
    const path = request.url ?? "";
    const body = await readBody(request);
    const signed = parseSignedOrigin(request.headers[SIGNATURE_HEADER] ?? "");
    const key = signed && findKey(this.#options.keys, signed, path, body);
    if (!signed || key === undefined) {
      this.#logRefusal(request, "wrong signature");
      return send(response, UNAUTHORIZED_STATUS, "");
    }
    const [status, text] = await this.#admit(request, signed, path, body);
    const signature = signAnswer(key, signed.signature, status, text);
    response.setHeader(SIGNATURE_HEADER, signature);
    send(response, status, text);
  }

  async #admit(
    request: IncomingMessage,
    signed: SignedOrigin,
    path: string,
    body: string,
  ): Promise<[status: number, text: string]> {
    if (signed.receiver !== this.#start) {
      return [OTHER_START_STATUS, this.#start];
    }
    if (!this.#window.accept(signed.sender, signed.sequence)) {
      this.#logRefusal(request, "replayed message");
      return [REPLAYED_STATUS, ""];
    }
    if (this.#window.full) this.#startAnew();
    const answer = await fetchRequestHandler({
      endpoint: TRPC_ENDPOINT,
      router: this.#router,
      req: new Request(new URL(path, "http://peer"), {
        method: "POST",
        headers: { "content-type": "application/json" },
        body,
      }),
    });
    return [answer.status, await answer.text()];
  }

  #startAnew(): void {
    this.#window.clear();
    this.#start = createStartId();
  }

  #logRefusal(request: IncomingMessage, reason: string): void {
    const now = performance.now();
    if (now - this.#refusalLoggedAt < REFUSALS_LOGGED_EVERY_MS) return;
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
    if (length > REQUEST_LIMIT_BYTES) throw new Error("request too large");
    chunks.push(chunk);
  }
  return Buffer.concat(chunks).toString("utf8");
}

/** Sends an answer with no header that peers don't need. */
function send(response: ServerResponse, status: number, text: string): void {
  response.sendDate = false;
  response.removeHeader("connection");
  response.writeHead(status, { "content-length": Buffer.byteLength(text) });
  response.end(text);
}
