/**
 * Changes of primary: after a failure, and planned.
 *
 * @module
 */
import type { Histogram } from "hdr-histogram-js";

/** Durations of the parts of a failover that this proxy ordered, in ms. */
export interface FailoverTimings {
  /** From the last status request that the primary answered to the suspicion. */
  readonly detection: Histogram;
  /** From the suspicion to a majority of fence replies. */
  readonly fencing: Histogram;
  /** From there to the answer of the new primary. */
  readonly promotion: Histogram;
}

/** Orders promotions. */
export interface Failover {
  readonly timings: FailoverTimings;
  /**
   * Holds new writes of a group at this proxy for at most `duration` ms, and resolves when no
   * statement of this proxy runs at the instance any more, or after a bounded wait.
   */
  holdWrites(
    database: string,
    instance: string,
    duration: number,
  ): Promise<void>;
  /** Ends a hold. */
  releaseWrites(database: string): void;
}

/** Tells the other proxies of a planned change of primary, by best effort. */
export interface SwitchoverAnnouncer {
  /** Asks the peers to hold new writes; resolves when those that answer are drained, or at a bound. */
  hold(database: string, instance: string, duration: number): Promise<void>;
  /** Tells the peers that the hold is over. */
  release(database: string): Promise<void>;
}

declare module "../../kernel/kernel.ts" {
  interface Services {
    failover: Failover;
  }
}
