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
   * Holds new writes of a group at this proxy for at most `duration` ms. Resolves to true when
   * this proxy has no outstanding statement at the instance, or to false after a bounded wait.
   */
  holdWrites(
    database: string,
    instance: string,
    duration: number,
  ): Promise<boolean>;
  /** Ends a hold, so that the held writes proceed. */
  releaseWrites(database: string): void;
}

/** Notifies the other proxies of a planned switchover. */
export interface SwitchoverAnnouncer {
  /** Asks the live peers to hold new writes. Resolves to whether all of them have drained, after a bounded wait at most. */
  hold(database: string, instance: string, duration: number): Promise<boolean>;
  /** Tells the peers to end the hold. */
  release(database: string): Promise<void>;
}

declare module "../../kernel/kernel.ts" {
  interface Services {
    failover: Failover;
  }
}
