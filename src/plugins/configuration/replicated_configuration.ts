/**
 * Configuration of a running proxy, kept up to date from the store and the peers.
 *
 * @module
 */
import type { Service } from "../../kernel/kernel.ts";
import type {
  Membership,
  RevisionPublisher,
} from "../membership/membership.ts";
import type { Peers } from "../peers/peers.ts";
import { ActiveDocument } from "./active_document.ts";
import { HeadPoller, type HeadPollerOptions } from "./head_poller.ts";
import { PeerRevisions } from "./peer_revisions.ts";
import type { EventLog } from "../../kernel/events.ts";

/** Options of `ReplicatedConfiguration`. */
export interface ReplicatedConfigurationOptions
  extends Pick<HeadPollerOptions, "environment" | "table" | "objects"> {
  readonly membership: Membership & RevisionPublisher;
  readonly peers: Peers;
  readonly log: EventLog;
}

/** Configuration that takes new revisions from the store and the peers. */
export class ReplicatedConfiguration extends ActiveDocument implements Service {
  readonly #membership: Membership & RevisionPublisher;
  readonly #poller: HeadPoller;
  readonly #peerRevisions: PeerRevisions;

  constructor(options: ReplicatedConfigurationOptions) {
    super(options.environment, options.log);
    const { environment, table, objects, membership, peers } = options;
    this.#membership = membership;
    this.#poller = new HeadPoller({
      environment,
      table,
      objects,
      document: this,
      proxyCount: () => membership.alive().length,
    });
    this.#peerRevisions = new PeerRevisions({
      environment,
      peers,
      membership,
      document: this,
    });
  }

  /** Resolves after the first read of the store, even if the read returned no document. */
  async start(): Promise<void> {
    this.subscribe(({ number }) => this.#membership.publishRevision(number));
    this.#peerRevisions.start();
    await this.#poller.start();
  }

  async stop(): Promise<void> {
    await this.#poller.stop();
    await this.#peerRevisions.stop();
  }
}
