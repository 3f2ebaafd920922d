/**
 * Calls procedures of peers over connections that stay open. The first call to
 * a start of a peer learns the id of that start, the later ones carry it.
 *
 * @module
 */
import {
  createTRPCUntypedClient,
  httpLink,
  type TRPCUntypedClient,
} from "@trpc/client";
import type { AnyTRPCRouter } from "@trpc/server";
import { LRUCache } from "lru-cache";
import { ResultAsync } from "neverthrow";
import { Agent, buildConnector, request } from "undici";
import {
  createFailure,
  type Failure,
  ResultCodes,
} from "../../kernel/result_codes.ts";
import {
  createStartId,
  formatSignedOrigin,
  SIGNATURE_HEADER,
  signRequest,
  UNKNOWN_START,
  verifyAnswer,
} from "./message_signature.ts";
import type { PeerCertificate } from "./peer_certificate.ts";
import { OTHER_START_STATUS, UNAUTHORIZED_STATUS } from "./peer_server.ts";
import type { PeerProcedure } from "./peers.ts";
import type { SocketTraffic } from "./socket_traffic.ts";

const CONNECT_TIMEOUT_MS = 2_000;
const KEEP_ALIVE_MS = 60_000;
const LINKS_LIMIT = 256;
const CONNECTIONS_PER_PEER = 4;
const STARTS_TRIED = 2;

/** Options of a peer client. */
export interface PeerClientOptions {
  /** IP number to connect from; default lets the system choose. */
  readonly address?: string;
  /** Keys to sign with; the later ones are tried at a peer that refuses the first. */
  readonly keys: readonly string[];
  readonly traffic: SocketTraffic;
  readonly certificate?: PeerCertificate;
}

/** What is known of one peer. */
interface PeerLink {
  readonly client: TRPCUntypedClient<AnyTRPCRouter>;
  receiver: string;
  keyIndex: number;
}

/** A whole HTTP answer. */
interface Answer {
  readonly status: number;
  readonly body: string;
}

/** An answer with its signature. */
interface SignedAnswer extends Answer {
  readonly signature: string;
}

/** Body of a request and what may abort it. */
interface RequestBody {
  readonly body: string;
  readonly signal?: AbortSignal | undefined;
}

/** A request with its signature. */
interface SignedInit extends RequestBody {
  readonly headers: Readonly<Record<string, string>>;
}

class Unauthorized extends Error {}

/** Calls peers. */
export class PeerClient {
  readonly #options: PeerClientOptions;
  readonly #sender = createStartId();
  readonly #links = new LRUCache<string, PeerLink>({ max: LINKS_LIMIT });
  #agent: Agent;
  #sequence = 0;

  constructor(options: PeerClientOptions) {
    this.#options = options;
    this.#agent = this.#createAgent();
    options.certificate?.subscribe(() => this.#renewAgent());
  }

  /** Calls a procedure; fails after `timeout` ms. */
  call<Input, Output>(
    endpoint: string,
    procedure: PeerProcedure<Input, Output>,
    input: Input,
    timeout: number,
  ): ResultAsync<Output, Failure> {
    const { client } = this.#link(endpoint);
    const signal = AbortSignal.timeout(timeout);
    const answer = client.mutation(procedure.name, input, { signal })
      .then((output) => procedure.output.parse(output));
    return ResultAsync.fromPromise(
      answer,
      (error) => describeFailure(endpoint, procedure.name, error),
    );
  }

  /** Closes all connections. */
  async close(): Promise<void> {
    await this.#agent.destroy();
  }

  #link(endpoint: string): PeerLink {
    const known = this.#links.get(endpoint);
    if (known) return known;
    const scheme = this.#options.certificate ? "https" : "http";
    const link: PeerLink = {
      receiver: UNKNOWN_START,
      keyIndex: 0,
      client: createTRPCUntypedClient<AnyTRPCRouter>({
        links: [
          httpLink({
            url: `${scheme}://${endpoint}`,
            fetch: async (url, init) => {
              const answer = await this.#send(link, new URL(String(url)), {
                body: String(init?.body ?? ""),
                signal: init?.signal ?? undefined,
              });
              return {
                ok: answer.status === 200,
                json: () => Promise.resolve(JSON.parse(answer.body)),
              };
            },
          }),
        ],
      }),
    };
    this.#links.set(endpoint, link);
    return link;
  }

  /** Sends a request; repeats it under another key or for another start where the peer asks for that, before anything took effect. */
  async #send(
    link: PeerLink,
    url: URL,
    init: RequestBody,
  ): Promise<Answer> {
    const { keys } = this.#options;
    let refusals = 0;
    for (let attempt = 0; attempt < keys.length + STARTS_TRIED; attempt += 1) {
      const answer = await this.#sendOnce(link, url, init);
      if (answer.status === OTHER_START_STATUS) {
        link.receiver = answer.body;
        continue;
      }
      if (answer.status !== UNAUTHORIZED_STATUS) return answer;
      link.keyIndex = (link.keyIndex + 1) % keys.length;
      refusals += 1;
      if (refusals === keys.length) break;
    }
    throw new Unauthorized("the peer accepts none of the keys");
  }

  async #sendOnce(
    link: PeerLink,
    url: URL,
    init: RequestBody,
  ): Promise<Answer> {
    this.#sequence += 1;
    const key = this.#options.keys[link.keyIndex]!;
    const origin = {
      sender: this.#sender,
      receiver: link.receiver,
      sequence: this.#sequence,
    };
    const signed = signRequest(key, origin, url.pathname, init.body);
    const headers = { [SIGNATURE_HEADER]: formatSignedOrigin(signed) };
    const { status, body, signature } = await this.#deliver(url, {
      ...init,
      headers,
    });
    if (status === UNAUTHORIZED_STATUS) return { status, body };
    if (!verifyAnswer(key, signed.signature, status, body, signature)) {
      throw new Unauthorized("the answer's signature is wrong");
    }
    return { status, body };
  }

  /** Repeats a request whose connection was closed; the same sequence number can't count twice. */
  async #deliver(url: URL, init: SignedInit): Promise<SignedAnswer> {
    const options = {
      ...init,
      method: "POST",
      dispatcher: this.#agent,
    } as const;
    const answer = await request(url, options).catch((error: unknown) => {
      if (!isConnectionClosed(error)) throw error;
      return request(url, options);
    });
    return {
      status: answer.statusCode,
      body: await answer.body.text(),
      signature: String(answer.headers[SIGNATURE_HEADER] ?? ""),
    };
  }

  #createAgent(): Agent {
    const { address, certificate, traffic } = this.#options;
    const connect = buildConnector({
      ...certificate?.options(),
      timeout: CONNECT_TIMEOUT_MS,
    });
    return new Agent({
      localAddress: address,
      connections: CONNECTIONS_PER_PEER,
      keepAliveTimeout: KEEP_ALIVE_MS,
      connect: (options, callback) =>
        connect(options, (...result: Parameters<buildConnector.Callback>) => {
          if (result[1]) traffic.add(result[1]);
          callback(...result);
        }),
    });
  }

  #renewAgent(): void {
    const old = this.#agent;
    this.#agent = this.#createAgent();
    old.close().catch(() => undefined);
  }
}

function isConnectionClosed(error: unknown): boolean {
  const code = (error as NodeJS.ErrnoException).code ?? "";
  return ["UND_ERR_SOCKET", "ECONNRESET", "EPIPE"].includes(code);
}

function describeFailure(
  endpoint: string,
  procedure: string,
  error: unknown,
): Failure {
  const cause = error instanceof Error && error.cause ? error.cause : error;
  const detail = cause instanceof Error ? cause.message : String(cause);
  if (cause instanceof Unauthorized) {
    return createFailure(
      ResultCodes.PEER_UNAUTHORIZED,
      `${endpoint} and this process hold no key in common`,
      { detail, hint: "compare --peer-key on both sides" },
    );
  }
  return createFailure(
    ResultCodes.PEER_UNAVAILABLE,
    `${endpoint} gave no answer to ${procedure}`,
    { detail },
  );
}
