/**
 * An HTTP server with fault injection, controlled through the path `/_faults`.
 *
 * `PUT /_faults` takes a JSON object; omitted keys keep their value:
 * - `down`: closes the connection of every request without a response;
 * - `delayMs`: delays the effect of each request;
 * - `loseReply`: the next N changes take effect, but their connection is closed
 *   without a response;
 * - `lagMs`: only for the host list, the time until a change becomes visible.
 *
 * `GET /_faults` returns `{faults, requests}`: the faults in effect and the
 * number of requests by operation.
 *
 * @module
 */
import {
  createServer,
  type IncomingMessage,
  type Server,
  type ServerResponse,
} from "node:http";
import { setTimeout as sleep } from "node:timers/promises";
import { z } from "zod";

const faultsSchema = z.strictObject({
  down: z.boolean().default(false),
  delayMs: z.number().min(0).default(0),
  loseReply: z.number().int().min(0).default(0),
  lagMs: z.number().min(0).default(0),
});

/** Faults in effect; times are in ms. */
export type ServerFaults = Readonly<z.infer<typeof faultsSchema>>;

/** A request with its complete body. */
export interface HttpRequest {
  readonly method: string;
  readonly path: string;
  readonly headers: IncomingMessage["headers"];
  readonly body: Buffer;
}

/** A response, and the effect of its request. */
export interface HttpResponse {
  readonly status: number;
  readonly contentType?: string;
  readonly headers?: Readonly<Record<string, string>>;
  readonly body?: string | Buffer;
  /** Name under which the request is counted. */
  readonly operation: string;
  /** Whether the request changed stored data; `loseReply` applies only to such requests. */
  readonly changed?: boolean;
}

/** Serves HTTP requests with the faults set through `/_faults`. */
export class FaultInjectionServer {
  readonly server: Server;
  #faults: ServerFaults;
  readonly #requests = new Map<string, number>();
  readonly #handle: (
    request: HttpRequest,
    faults: ServerFaults,
  ) => HttpResponse;

  constructor(
    handle: (request: HttpRequest, faults: ServerFaults) => HttpResponse,
    initialFaults: Partial<ServerFaults> = {},
  ) {
    this.#handle = handle;
    this.#faults = faultsSchema.parse(initialFaults);
    this.server = createServer((request, response) => {
      this.#serve(request, response).catch((error) => {
        console.error(`request failed: ${error}`);
        request.socket.destroy();
      });
    });
  }

  /** Closes the server and all its connections. */
  stop(): void {
    this.server.close();
    this.server.closeAllConnections();
  }

  async #serve(
    request: IncomingMessage,
    response: ServerResponse,
  ): Promise<void> {
    const httpRequest = await readRequest(request);
    if (httpRequest.path === "/_faults") {
      sendResponse(response, this.#serveFaults(httpRequest));
      return;
    }
    if (this.#faults.down) {
      this.#count("refused while down");
      request.socket.destroy();
      return;
    }
    if (this.#faults.delayMs > 0) await sleep(this.#faults.delayMs);
    const httpResponse = this.#handle(httpRequest, this.#faults);
    this.#count(httpResponse.operation);
    if (httpResponse.changed && this.#faults.loseReply > 0) {
      const loseReply = this.#faults.loseReply - 1;
      this.#faults = { ...this.#faults, loseReply };
      request.socket.destroy();
      return;
    }
    sendResponse(response, httpResponse);
  }

  #serveFaults(request: HttpRequest): HttpResponse {
    if (request.method === "PUT") {
      const parsed = faultsSchema.partial().safeParse(parseJson(request.body));
      if (!parsed.success) {
        return jsonResponse(400, "faults", {
          error: parsed.error.message,
        });
      }
      this.#faults = faultsSchema.parse({
        ...this.#faults,
        ...omitUndefined(parsed),
      });
    }
    const requests = Object.fromEntries(this.#requests);
    return jsonResponse(200, "faults", {
      faults: this.#faults,
      requests,
    });
  }

  #count(operation: string): void {
    this.#requests.set(operation, (this.#requests.get(operation) ?? 0) + 1);
  }
}

/** Creates a response with a JSON body. */
export function jsonResponse(
  status: number,
  operation: string,
  value: unknown,
  changed = false,
): HttpResponse {
  return {
    status,
    operation,
    changed,
    contentType: "application/json",
    body: JSON.stringify(value),
  };
}

/** Parses a JSON body; undefined if the body is malformed. */
export function parseJson(body: Buffer): unknown {
  try {
    return JSON.parse(body.toString("utf8"));
  } catch {
    return undefined;
  }
}

function omitUndefined(
  parsed: { readonly data: Partial<ServerFaults> },
): Partial<ServerFaults> {
  const entries = Object.entries(parsed.data);
  return Object.fromEntries(entries.filter(([, value]) => value !== undefined));
}

async function readRequest(request: IncomingMessage): Promise<HttpRequest> {
  const chunks: Buffer[] = [];
  for await (const chunk of request) chunks.push(chunk as Buffer);
  const path = new URL(request.url ?? "/", "http://localhost").pathname;
  return {
    method: request.method ?? "GET",
    path: decodeURIComponent(path),
    headers: request.headers,
    body: Buffer.concat(chunks),
  };
}

function sendResponse(
  response: ServerResponse,
  httpResponse: HttpResponse,
): void {
  if (response.destroyed) return;
  const body = httpResponse.body ?? "";
  response.writeHead(httpResponse.status, {
    ...(httpResponse.contentType
      ? { "content-type": httpResponse.contentType }
      : {}),
    "content-length": Buffer.byteLength(body),
    ...httpResponse.headers,
  });
  response.end(body);
}
