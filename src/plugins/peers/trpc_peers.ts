/**
 * Combines the peer server and the peer client in one service.
 *
 * @module
 */
import type { ResultAsync } from "neverthrow";
import type { EventLog } from "../../kernel/events.ts";
import type { Service } from "../../kernel/kernel.ts";
import type { Failure } from "../../kernel/result_codes.ts";
import type { Settings } from "../../kernel/settings.ts";
import {
  type PeerCertificate,
  resolvePeerCertificate,
} from "./peer_certificate.ts";
import { PeerClient } from "./peer_client.ts";
import { PeerServer } from "./peer_server.ts";
import type {
  PeerHandler,
  PeerProcedure,
  Peers,
  PeerTraffic,
} from "./peers.ts";
import { SocketTraffic } from "./socket_traffic.ts";

/** Settings of the peer server and client. */
export type PeerSettings = Pick<
  Settings,
  | "address"
  | "peerPort"
  | "peerEndpoint"
  | "peerKey"
  | "peerKeyBefore"
  | "peerCertificate"
  | "peerCertificateKey"
  | "peerAuthority"
>;

/** Returns the accepted keys; the first one is used to sign. */
export function resolvePeerKeys(
  settings: Pick<Settings, "peerKey" | "peerKeyBefore">,
): readonly string[] {
  return [settings.peerKey, settings.peerKeyBefore]
    .filter((key) => key !== undefined);
}

/** Serves and calls procedures over tRPC. */
export class TrpcPeers implements Peers, Service {
  readonly #settings: PeerSettings;
  readonly #traffic = new SocketTraffic();
  readonly #certificate: PeerCertificate | undefined;
  readonly #server: PeerServer;
  readonly #client: PeerClient;
  #endpoint = "";
  #port = 0;

  constructor(settings: PeerSettings, log: EventLog) {
    this.#settings = settings;
    this.#certificate = resolvePeerCertificate(settings, log);
    const shared = {
      address: settings.address,
      keys: resolvePeerKeys(settings),
      traffic: this.#traffic,
      certificate: this.#certificate,
    };
    this.#server = new PeerServer({ ...shared, port: settings.peerPort, log });
    this.#client = new PeerClient(shared);
  }

  get endpoint(): string {
    return this.#endpoint;
  }

  get port(): number {
    return this.#port;
  }

  async start(): Promise<void> {
    const port = await this.#server.listen();
    this.#port = port;
    const { address, peerEndpoint } = this.#settings;
    const host = address.includes(":") ? `[${address}]` : address;
    this.#endpoint = peerEndpoint ?? `${host}:${port}`;
  }

  async stop(): Promise<void> {
    this.#server.close();
    await this.#client.close();
    this.#certificate?.close();
  }

  serve<Input, Output>(
    procedure: PeerProcedure<Input, Output>,
    handler: PeerHandler<Input, Output>,
  ): void {
    this.#server.serve(procedure, handler);
  }

  call<Input, Output>(
    endpoint: string,
    procedure: PeerProcedure<Input, Output>,
    input: Input,
    timeout: number,
  ): ResultAsync<Output, Failure> {
    return this.#client.call(endpoint, procedure, input, timeout);
  }

  traffic(): PeerTraffic {
    return this.#traffic.total();
  }
}
