/**
 * Which proxies of the environment are alive, and what each says of itself.
 *
 * @module
 */

/** A share of an instance's connections that a proxy asks for. */
export interface Demand {
  readonly database: string;
  readonly instance: string;
  /** Connections in use plus statements that wait, smoothed over some seconds. */
  readonly wanted: number;
}

/** What a proxy says of itself to its peers. */
export interface ProxyState {
  readonly name: string;
  readonly zone: string;
  /** Host and port for peers. */
  readonly endpoint: string;
  /** Grows with each start; ms since the epoch, or one more than the last heard. */
  readonly incarnation: number;
  /** Grows with each change of the state within an incarnation. */
  readonly version: number;
  /** Revision in force; 0 for none. */
  readonly revision: number;
  readonly leaving: boolean;
  readonly demands: readonly Demand[];
}

/** Liveness of a peer as this proxy sees it. */
export type Liveness = "alive" | "suspected" | "gone";

/** A peer and its liveness. */
export interface Member {
  readonly state: ProxyState;
  readonly liveness: Liveness;
}

/** The view of the environment's proxies, this one included. */
export interface Membership {
  /** All known proxies, this one first. */
  members(): readonly Member[];
  /** Proxies that count as alive, this one included. */
  alive(): readonly ProxyState[];
  /** Sets what this proxy says of its demand. */
  publishDemands(demands: readonly Demand[]): void;
  /** Says to all that this proxy leaves. */
  publishLeaving(): Promise<void>;
  /** Calls back on each change of the set of live proxies or of a state; gives a function that ends it. */
  subscribe(listener: () => void): () => void;
}

/** Takes what the configuration has in force, for the peers to hear. */
export interface RevisionPublisher {
  /** Sets the revision that this proxy says it has in force. */
  publishRevision(revision: number): void;
}

declare module "../../kernel/kernel.ts" {
  interface Services {
    membership: Membership & RevisionPublisher;
  }
}
