/**
 * The proxies of the environment: their liveness and the state that each one
 * publishes to its peers.
 *
 * @module
 */

/** Connections to an instance that a proxy requests. */
export interface Demand {
  readonly database: string;
  readonly instance: string;
  /** Connections in use plus queued statements, smoothed over some seconds. */
  readonly wanted: number;
}

/** The state that a proxy publishes to its peers. */
export interface ProxyState {
  readonly name: string;
  readonly zone: string;
  /** Host and port on which the proxy listens for peers. */
  readonly endpoint: string;
  /** Increases with each start: ms since the epoch, or one more than the last incarnation that peers reported. */
  readonly incarnation: number;
  /** Increases with each change of the state within an incarnation. */
  readonly version: number;
  /** Number of the revision in force; 0 for none. */
  readonly revision: number;
  readonly leaving: boolean;
  readonly demands: readonly Demand[];
}

/** Liveness of a member as seen by this proxy. */
export type Liveness = "alive" | "suspected" | "gone";

/** A proxy's state and liveness. */
export interface Member {
  readonly state: ProxyState;
  readonly liveness: Liveness;
}

/** View of the environment's proxies, including this one. */
export interface Membership {
  /** All known proxies, this one first. */
  members(): readonly Member[];
  /** States of this proxy and of the others that are neither gone nor leaving; suspected ones count as alive. */
  alive(): readonly ProxyState[];
  /** Sets the demands that this proxy publishes to its peers. */
  publishDemands(demands: readonly Demand[]): void;
  /** Publishes that this proxy is leaving; resolves after an attempted exchange with each partner. */
  publishLeaving(): Promise<void>;
  /** Calls the listener after each change of the live proxies or of a state; returns a function that unsubscribes it. */
  subscribe(listener: () => void): () => void;
}

/** Publishes the configuration revision in force to peers. */
export interface RevisionPublisher {
  /** Publishes the number of the revision in force, if it is higher than the published one. */
  publishRevision(revision: number): void;
}

declare module "../../kernel/kernel.ts" {
  interface Services {
    membership: Membership & RevisionPublisher;
  }
}
