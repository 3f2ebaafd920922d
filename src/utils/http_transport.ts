/**
 * HTTP requests over keep-alive connections.
 *
 * @module
 */
import {
  Agent,
  type ClientRequest,
  type IncomingHttpHeaders,
  request,
} from "node:http";
import { err, ok, type Result } from "neverthrow";
import { clock } from "../kernel/clock.ts";
import type { Endpoint } from "./endpoint.ts";

/** A request and its limits. */
export interface HttpRequest {
  readonly method: "GET" | "POST";
  readonly path: string;
  readonly body?: unknown;
  readonly headers?: Readonly<Record<string, string>>;
  /** Timeout until the whole response has arrived, in ms. */
  readonly timeout: number;
  /** Called once connected, right before the request is sent; false cancels it. */
  readonly maySend?: () => boolean;
}

/** A complete response; `body` is undefined unless it is valid JSON. */
export interface HttpReply {
  readonly status: number;
  readonly headers: IncomingHttpHeaders;
  readonly body: unknown;
  /** Monotonic time at which the request was made, in ms. */
  readonly requestedAt: number;
}

/** Why there is no response. */
export interface HttpFailure {
  readonly reason: string;
  /** Whether the request may have left this process. */
  readonly sent: boolean;
}

/** Keep-alive setting for idle connections, in ms. */
const KEEP_ALIVE_MS = 10_000;

/** Sends requests to one endpoint. */
export class HttpTransport {
  readonly #endpoint: Endpoint;
  readonly #agent = new Agent({
    keepAlive: true,
    keepAliveMsecs: KEEP_ALIVE_MS,
    noDelay: true,
  });

  constructor(endpoint: Endpoint) {
    this.#endpoint = endpoint;
  }

  /** Sends a request; closes the connection if no complete response arrives. */
  async call(options: HttpRequest): Promise<Result<HttpReply, HttpFailure>> {
    try {
      return await this.#call(options);
    } catch (error) {
      // The request could not be created, for example for an invalid port.
      return err({ reason: String(error), sent: false });
    }
  }

  /** Closes all connections. */
  close(): void {
    this.#agent.destroy();
  }

  #call(options: HttpRequest): Promise<Result<HttpReply, HttpFailure>> {
    const requestedAt = clock.now();
    return new Promise((resolve) => {
      const body = options.body === undefined
        ? undefined
        : Buffer.from(JSON.stringify(options.body));
      let sent = false;
      const outgoing = request({
        ...this.#endpoint,
        agent: this.#agent,
        method: options.method,
        path: options.path,
        headers: {
          ...options.headers,
          ...(body && {
            "content-type": "application/json",
            "content-length": body.length,
          }),
        },
      });
      const fail = (reason: string) => {
        clearTimeout(timer);
        resolve(err({ reason, sent }));
        // Resets the connection so that bytes still in transit are dropped.
        outgoing.socket?.resetAndDestroy();
        outgoing.destroy();
      };
      const timer = setTimeout(
        () => fail(`no answer within ${options.timeout} ms`),
        options.timeout,
      );
      outgoing.on("error", (error) => fail(error.message));
      outgoing.on("response", (incoming) => {
        const parts: Buffer[] = [];
        incoming.on("data", (part: Buffer) => parts.push(part));
        incoming.on("error", (error) => fail(error.message));
        incoming.on("aborted", () => fail("response aborted"));
        incoming.on("end", () => {
          clearTimeout(timer);
          const { statusCode: status = 0, headers } = incoming;
          const body = parseBody(parts);
          resolve(ok({ status, headers, body, requestedAt }));
        });
      });
      onceConnected(outgoing, () => {
        if (options.maySend && !options.maySend()) {
          fail("cancelled before it was sent");
          return;
        }
        sent = true;
        outgoing.end(body);
      });
    });
  }
}

function onceConnected(outgoing: ClientRequest, send: () => void): void {
  outgoing.on("socket", (socket) => {
    if (socket.connecting) socket.once("connect", send);
    else send();
  });
}

/** Parses a body as JSON; error responses need not be JSON, so callers validate a body that they rely on. */
function parseBody(parts: readonly Buffer[]): unknown {
  const text = Buffer.concat(parts).toString("utf8");
  if (text === "") return undefined;
  try {
    return JSON.parse(text);
  } catch {
    return undefined;
  }
}
