/**
 * Calls procedures of peers over persistent connections. The first call to a
 * new incarnation of a peer learns its incarnation id, which later calls carry.
 *
 * @module
 */
import { LRUCache } from "lru-cache";
import { ResultAsync } from "neverthrow";
import * as z from "zod";
import { Agent, buildConnector, request } from "undici";
import {
  createFailure,
  type Failure,
  ResultCodes,
} from "../../kernel/result_codes.ts";
import {
  createIncarnationId,
  formatSignedHeader,
  SIGNATURE_HEADER,
  signRequest,
  UNKNOWN_INCARNATION,
  verifyResponse,
} from "./message_signature.ts";
import type { PeerCertificate } from "./peer_certificate.ts";
import {
  INCARNATION_MISMATCH_STATUS,
  UNAUTHORIZED_STATUS,
} from "./peer_server.ts";
import type { PeerProcedure } from "./peers.ts";
import type { SocketTraffic } from "./socket_traffic.ts";

const CONNECT_TIMEOUT_MS = 2_000;
const KEEP_ALIVE_MS = 60_000;
const MAX_CACHED_PEERS = 256;
const CONNECTIONS_PER_PEER = 4;
const MAX_INCARNATION_CHANGES = 2;
const OK_STATUS = 200;

/** Options of a peer client. */
export interface PeerClientOptions {
  /** Local IP address to connect from; by default the operating system chooses. */
  readonly address?: string;
  /** Keys to sign with; if a peer rejects the first, the others are tried in order. */
  readonly keys: readonly string[];
  readonly traffic: SocketTraffic;
  readonly certificate?: PeerCertificate;
}

/** State of one peer: its base URL, last known incarnation id and the key that it accepts. */
interface RemotePeer {
  readonly url: string;
  incarnation: string;
  keyIndex: number;
}

/** Response of tRPC to a call that succeeded. */
const responseSchema = z.object({ result: z.object({ data: z.unknown() }) });

/** Status and body of an HTTP response. */
interface PeerResponse {
  readonly status: number;
  readonly body: string;
}

/** A response with its signature. */
interface SignedPeerResponse extends PeerResponse {
  readonly signature: string;
}

/** Body of a request and the signal that aborts it. */
interface PeerRequest {
  readonly body: string;
  readonly signal?: AbortSignal | undefined;
}

/** A request with its signature header. */
interface SignedPeerRequest extends PeerRequest {
  readonly headers: Readonly<Record<string, string>>;
}

class UnauthorizedError extends Error {}

/** Calls procedures of peers. */
export class PeerClient {
  readonly #options: PeerClientOptions;
  readonly #incarnation = createIncarnationId();
  readonly #peers = new LRUCache<string, RemotePeer>({ max: MAX_CACHED_PEERS });
  #agent: Agent;
  #sequence = 0;

  constructor(options: PeerClientOptions) {
    this.#options = options;
    this.#agent = this.#createAgent();
    options.certificate?.subscribe(() => this.#renewAgent());
  }

  /** Calls a procedure of the peer at `host:port`; fails with PEER_UNAVAILABLE on an error or after `timeout` ms, and with PEER_UNAUTHORIZED if either side rejects the other's signature. */
  call<Input, Output>(
    endpoint: string,
    procedure: PeerProcedure<Input, Output>,
    input: Input,
    timeout: number,
  ): ResultAsync<Output, Failure> {
    const output = this.#request(endpoint, procedure.name, input, timeout)
      .then((data) => procedure.output.parse(data));
    return ResultAsync.fromPromise(
      output,
      (error) => createPeerFailure(endpoint, procedure.name, error),
    );
  }

  /** Closes all connections. */
  async close(): Promise<void> {
    await this.#agent.destroy();
  }

  async #request(
    endpoint: string,
    procedure: string,
    input: unknown,
    timeout: number,
  ): Promise<unknown> {
    const peer = this.#resolvePeer(endpoint);
    const response = await this.#send(peer, new URL(procedure, peer.url), {
      body: JSON.stringify(input ?? {}),
      signal: AbortSignal.timeout(timeout),
    });
    if (response.status !== OK_STATUS) {
      throw new Error(`status ${response.status}: ${response.body}`);
    }
    return responseSchema.parse(JSON.parse(response.body)).result.data;
  }

  #resolvePeer(endpoint: string): RemotePeer {
    const cached = this.#peers.get(endpoint);
    if (cached) return cached;
    const scheme = this.#options.certificate ? "https" : "http";
    const peer: RemotePeer = {
      url: `${scheme}://${endpoint}`,
      incarnation: UNKNOWN_INCARNATION,
      keyIndex: 0,
    };
    this.#peers.set(endpoint, peer);
    return peer;
  }

  /** Sends a request; resends it with the next key or the current incarnation id if the peer rejected it, which it does before any effect. */
  async #send(
    peer: RemotePeer,
    url: URL,
    peerRequest: PeerRequest,
  ): Promise<PeerResponse> {
    const { keys } = this.#options;
    let rejectedKeys = 0;
    for (
      let attempt = 0;
      attempt < keys.length + MAX_INCARNATION_CHANGES;
      attempt += 1
    ) {
      const response = await this.#sendOnce(peer, url, peerRequest);
      if (response.status === INCARNATION_MISMATCH_STATUS) {
        peer.incarnation = response.body;
        continue;
      }
      if (response.status !== UNAUTHORIZED_STATUS) return response;
      peer.keyIndex = (peer.keyIndex + 1) % keys.length;
      rejectedKeys += 1;
      if (rejectedKeys === keys.length) break;
    }
    throw new UnauthorizedError("the peer rejected all configured keys");
  }

  async #sendOnce(
    peer: RemotePeer,
    url: URL,
    peerRequest: PeerRequest,
  ): Promise<PeerResponse> {
    this.#sequence += 1;
    const key = this.#options.keys[peer.keyIndex]!;
    const header = {
      sender: this.#incarnation,
      receiver: peer.incarnation,
      sequence: this.#sequence,
    };
    const signed = signRequest(key, header, url.pathname, peerRequest.body);
    const headers = { [SIGNATURE_HEADER]: formatSignedHeader(signed) };
    const { status, body, signature } = await this.#post(url, {
      ...peerRequest,
      headers,
    });
    if (status === UNAUTHORIZED_STATUS) return { status, body };
    if (!verifyResponse(key, signed.signature, status, body, signature)) {
      throw new UnauthorizedError("the signature of the response is invalid");
    }
    return { status, body };
  }

  /** Posts a request; resends it once if the connection was closed, which is safe because a sequence number is accepted only once. */
  async #post(
    url: URL,
    signedRequest: SignedPeerRequest,
  ): Promise<SignedPeerResponse> {
    const options = {
      ...signedRequest,
      method: "POST",
      dispatcher: this.#agent,
    } as const;
    const response = await request(url, options).catch((error: unknown) => {
      if (!isConnectionClosed(error)) throw error;
      return request(url, options);
    });
    return {
      status: response.statusCode,
      body: await response.body.text(),
      signature: String(response.headers[SIGNATURE_HEADER] ?? ""),
    };
  }

  #createAgent(): Agent {
    const { address, certificate, traffic } = this.#options;
    const connect = buildConnector({
      ...certificate?.clientOptions(),
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

function createPeerFailure(
  endpoint: string,
  procedure: string,
  error: unknown,
): Failure {
  const cause = error instanceof Error && error.cause ? error.cause : error;
  const detail = cause instanceof Error ? cause.message : String(cause);
  if (cause instanceof UnauthorizedError) {
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
