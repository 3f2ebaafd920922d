/**
 * Peer procedures over tRPC on plain HTTP, for hosts whose internal ports only
 * other hosts of the deployment can reach. Messages are neither signed nor
 * encrypted, and a call may take effect more than once. The procedures are called
 * directly, since tRPC's HTTP adapter takes several times as long as a call.
 *
 * @module
 */
import {
  createServer,
  type IncomingMessage,
  type Server,
  type ServerResponse,
} from "node:http";
import {
  type AnyTRPCRouter,
  callTRPCProcedure,
  initTRPC,
  TRPCError,
} from "@trpc/server";
import { LRUCache } from "lru-cache";
import { err, ok, type Result, ResultAsync } from "neverthrow";
import { clock } from "../../kernel/clock.ts";
import { type EventLog, Events } from "../../kernel/events.ts";
import type { Service } from "../../kernel/kernel.ts";
import {
  createFailure,
  type Failure,
  ResultCodes,
} from "../../kernel/result_codes.ts";
import {
  type Endpoint,
  formatEndpoint,
  parseEndpoint,
} from "../../utils/endpoint.ts";
import { closeServer } from "../../utils/http_server.ts";
import { HttpTransport } from "../../utils/http_transport.ts";
import type {
  PeerHandler,
  PeerProcedure,
  Peers,
  PeerTraffic,
} from "./peers.ts";

/** Longest body of a request, in bytes. */
const MAX_REQUEST_BYTES = 1_048_576;

/** Number of peers to which connections are kept. */
const MAX_CACHED_PEERS = 1_024;

/** Idle time after which the server closes a connection, in ms. */
const KEEP_ALIVE_MS = 90_000;

/** Minimum interval between log lines about rejected requests, in ms. */
const REFUSAL_LOG_INTERVAL_MS = 10_000;

const HTTP_OK = 200;
const HTTP_BAD_REQUEST = 400;
const HTTP_INTERNAL_ERROR = 500;

const trpc = initTRPC.create({ isDev: false });

/** Serves and calls procedures without authentication. */
export class PlainPeers implements Peers, Service {
  readonly #address: Endpoint;
  readonly #log: EventLog;
  readonly #procedures: Parameters<typeof trpc.router>[0] = {};
  readonly #server: Server;
  readonly #transports = new LRUCache<string, HttpTransport>({
    max: MAX_CACHED_PEERS,
    dispose: (transport) => transport.close(),
  });
  #router: AnyTRPCRouter = trpc.router({});
  #refusalLoggedAt = -Infinity;

  /** Listens on an address that peers can reach. */
  constructor(address: Endpoint, log: EventLog) {
    this.#address = address;
    this.#log = log;
    this.#server = createServer((request, response) =>
      void this.#handle(request, response)
    );
    this.#server.keepAliveTimeout = KEEP_ALIVE_MS;
  }

  get endpoint(): string {
    return formatEndpoint(this.#address);
  }

  get port(): number {
    return this.#address.port;
  }

  /** Starts listening; rejects when the address can't be bound. */
  start(): Promise<void> {
    const { host, port } = this.#address;
    return new Promise((resolve, reject) => {
      this.#server.once("error", reject);
      this.#server.listen(port, host, () => {
        this.#server.off("error", reject);
        this.#server.on("error", (error) => {
          this.#log.write(Events.UNEXPECTED, {
            where: "peers",
            error: error.message,
          });
        });
        resolve();
      });
    });
  }

  stop(): void {
    closeServer(this.#server);
    this.#transports.clear();
  }

  serve<Input, Output>(
    procedure: PeerProcedure<Input, Output>,
    handler: PeerHandler<Input, Output>,
  ): void {
    this.#procedures[procedure.name] = trpc.procedure
      .input(procedure.input)
      .mutation(({ input }) => handler(input as Input));
    this.#router = trpc.router(this.#procedures);
  }

  call<Input, Output>(
    endpoint: string,
    procedure: PeerProcedure<Input, Output>,
    input: Input,
    timeout: number,
  ): ResultAsync<Output, Failure> {
    return new ResultAsync(this.#call(endpoint, procedure, input, timeout));
  }

  /** Not counted for plain connections. */
  traffic(): PeerTraffic {
    return { sent: 0, received: 0 };
  }

  async #call<Input, Output>(
    endpoint: string,
    procedure: PeerProcedure<Input, Output>,
    input: Input,
    timeout: number,
  ): Promise<Result<Output, Failure>> {
    const unavailable = (detail: string) =>
      err(createFailure(
        ResultCodes.PEER_UNAVAILABLE,
        `${endpoint} gave no answer to ${procedure.name}`,
        { detail },
      ));
    const reply = await this.#transport(endpoint).call({
      method: "POST",
      path: `/${procedure.name}`,
      body: input,
      timeout,
    });
    if (reply.isErr()) return unavailable(reply.error.reason);
    const { status, body } = reply.value;
    if (status !== HTTP_OK) return unavailable(`status ${status}`);
    const output = procedure.output.safeParse(body);
    if (output.success) return ok(output.data);
    return unavailable(`unreadable answer: ${output.error.issues[0]?.message}`);
  }

  async #handle(
    request: IncomingMessage,
    response: ServerResponse,
  ): Promise<void> {
    let status = HTTP_OK;
    let output: unknown;
    try {
      output = await this.#run(request);
    } catch (error) {
      const isRejected = error instanceof TRPCError &&
        error.code !== "INTERNAL_SERVER_ERROR";
      status = isRejected ? HTTP_BAD_REQUEST : HTTP_INTERNAL_ERROR;
      this.#logRefusal(request, error);
    }
    response.writeHead(status, { "content-type": "application/json" });
    response.end(JSON.stringify(output ?? {}));
  }

  #logRefusal(request: IncomingMessage, error: unknown): void {
    const now = clock.now();
    if (now - this.#refusalLoggedAt < REFUSAL_LOG_INTERVAL_MS) return;
    this.#refusalLoggedAt = now;
    this.#log.write(Events.PEER_REFUSED, {
      from: request.socket.remoteAddress,
      procedure: request.url,
      reason: error instanceof Error ? error.message : String(error),
    });
  }

  async #run(request: IncomingMessage): Promise<unknown> {
    const text = await readBody(request);
    return await callTRPCProcedure({
      router: this.#router,
      path: (request.url ?? "/").slice(1),
      getRawInput: () => Promise.resolve(JSON.parse(text)),
      ctx: {},
      type: "mutation",
      signal: undefined,
      batchIndex: 0,
    });
  }

  #transport(endpoint: string): HttpTransport {
    const known = this.#transports.get(endpoint);
    if (known) return known;
    const transport = new HttpTransport(parseEndpoint(endpoint));
    this.#transports.set(endpoint, transport);
    return transport;
  }
}

async function readBody(request: IncomingMessage): Promise<string> {
  const chunks: Buffer[] = [];
  let length = 0;
  for await (const chunk of request) {
    length += chunk.length;
    if (length > MAX_REQUEST_BYTES) throw new Error("the request is too long");
    chunks.push(chunk);
  }
  return Buffer.concat(chunks).toString("utf8");
}
