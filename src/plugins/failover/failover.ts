/**
 * Changes of primary: failover after a failure, and planned switchover.
 *
 * @module
 */
import type { Histogram } from "hdr-histogram-js";

/** Durations, in ms, of the phases of the failovers that this proxy carried out. */
export interface FailoverTimings {
  /** From the primary's last successful status response until the primary is suspected. */
  readonly detection: Histogram;
  /** From the suspicion until a majority of the instances has accepted the fence. */
  readonly fencing: Histogram;
  /** From the majority of fence replies until the new primary confirms its promotion. */
  readonly promotion: Histogram;
}

/** Changes the primary of a group, and holds writes while it changes. */
export interface Failover {
  readonly timings: FailoverTimings;
  /**
   * Holds new writes of a group at this proxy for at most `duration` ms. Resolves when this
   * proxy has no outstanding statement at the instance, or after a bounded wait.
   */
  holdWrites(
    database: string,
    instance: string,
    duration: number,
  ): Promise<void>;
  /** Ends a hold, so that the held writes proceed. */
  releaseWrites(database: string): void;
}

/** Notifies the other proxies of a planned switchover, on a best-effort basis. */
export interface SwitchoverAnnouncer {
  /** Asks the peers to hold new writes. Resolves when all peers that respond have drained, or after a bounded wait. */
  hold(database: string, instance: string, duration: number): Promise<void>;
  /** Tells the peers to end the hold. */
  release(database: string): Promise<void>;
}

declare module "../../kernel/kernel.ts" {
  interface Services {
    failover: Failover;
  }
}
