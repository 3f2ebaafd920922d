/**
 * The state of the database groups as this proxy observes it: primary, term, positions and ages.
 *
 * @module
 */
import type { ResultAsync } from "neverthrow";
import type { Failure } from "../../kernel/result_codes.ts";
import type { Group, Instance } from "../document/document.ts";
import type { InstanceStatus } from "../upstream/database_group.ts";
import type { Position } from "../upstream/position.ts";

/** The observed state of one instance. */
export interface InstanceView {
  readonly instance: Instance;
  /** The last status; undefined before the first. */
  readonly status?: InstanceStatus;
  /** Local monotonic time in ms at which the request for the last status was sent. */
  readonly statusAt: number;
  /** Consecutive failed probes. */
  readonly failures: number;
  /** Whether the instance may get new work: it has answered recently, is a replica or the primary, and is neither leaving nor excluded as slow. */
  readonly usable: boolean;
  /** Whether the host list shows the instance as leaving. */
  readonly leaving: boolean;
  /** Whether the instance is excluded from reads because it is slow. */
  readonly slow: boolean;
}

/** The observed state of a group. */
export interface GroupView {
  readonly group: Group;
  readonly instances: readonly InstanceView[];
  /** Name of the primary of the highest term, unless a majority has seen a higher one. */
  readonly primary?: string;
  readonly term: number;
  /** Monotonic time in ms at which the earliest of the requests that last confirmed the primary by a majority was sent. */
  readonly confirmedAt: number;
  /** Difference in log position between the primary and the position that a majority has received. */
  readonly receiveLag: bigint;
  /** Time in ms since the primary reached the first position that a majority has not received yet; 0 when the majority is caught up. */
  readonly receiveLagMs: number;
  /** Whether new writes are held for a planned change of primary. */
  readonly switching: boolean;
}

/** Watches the groups by status rounds: one round at a time for each group, shared by all waiting requests. */
export interface Health {
  /** The current view of a group; undefined for a database that is not in the document. */
  view(database: string): GroupView | undefined;
  /** Calls the listener on each change of primary, term, hold or usable instances of any group; returns a function that unsubscribes it. */
  subscribe(listener: (view: GroupView) => void): () => void;
  /** Resolves once a majority of the group holds the position under its term; fails at the deadline (monotonic time in ms) with ACKNOWLEDGE_DEADLINE, or with OUTCOME_UNKNOWN when a higher term has discarded the position. */
  confirm(
    database: string,
    position: Position,
    deadline: number,
  ): ResultAsync<void, Failure>;
  /** Resolves with a position of the primary that a majority confirmed in a round started after this call; fails at the deadline with PRIMARY_ABSENT. */
  freshPosition(
    database: string,
    deadline: number,
  ): ResultAsync<Position, Failure>;
  /** Resolves with the first of the instances that has applied the position; fails at the deadline with READ_UNAVAILABLE, or with POSITION_INVALID when a higher term has discarded the position. */
  applied(
    database: string,
    instances: readonly string[],
    position: Position,
    deadline: number,
  ): ResultAsync<string, Failure>;
  /** Whether an instance is known to have applied a position. */
  hasApplied(database: string, instance: string, position: Position): boolean;
  /** Upper bound, in ms, of the age of an instance's data; Infinity when unknown. */
  age(database: string, instance: string): number;
  /** Expected time in ms until the instance has applied the position, estimated from its recent lag; Infinity when unknown. */
  expectedWait(database: string, instance: string, position: Position): number;
  /** Resolves once the group has a confirmed primary and new writes are not held; fails at the deadline with PRIMARY_ABSENT. */
  primary(database: string, deadline: number): ResultAsync<Instance, Failure>;
  /** Reports that a connection to an instance failed or was fenced; requests an immediate probe. */
  reportFailure(database: string, instance: string): void;
  /** Reports the time to first byte of a statement on an instance, in ms; used to exclude slow instances. */
  reportLatency(database: string, instance: string, latency: number): void;
  /** Holds new writes of a group for at most `duration` ms; `primary` resolves only after the hold. */
  hold(database: string, duration: number): void;
  /** Ends the hold of a group. */
  release(database: string): void;
}

declare module "../../kernel/kernel.ts" {
  interface Services {
    health: Health;
  }
}
