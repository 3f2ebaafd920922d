/**
 * What a proxy knows of the database groups: primary, term, positions and ages.
 *
 * @module
 */
import type { ResultAsync } from "neverthrow";
import type { Failure } from "../../kernel/result_codes.ts";
import type { Group, Instance } from "../document/document.ts";
import type { InstanceStatus } from "../upstream/database_group.ts";
import type { Position } from "../upstream/position.ts";

/** What is known of one instance. */
export interface InstanceView {
  readonly instance: Instance;
  /** The last status; undefined before the first. */
  readonly status?: InstanceStatus;
  /** Local monotonic time in ms at which the request of the last status was sent. */
  readonly statusAt: number;
  /** Consecutive failed probes. */
  readonly failures: number;
  /** Whether new work may go there: heard of late, not leaving, not excluded as slow. */
  readonly usable: boolean;
  /** Whether the host list shows it as leaving. */
  readonly leaving: boolean;
  /** Whether it is left out of reads as slow. */
  readonly slow: boolean;
}

/** What is known of a group. */
export interface GroupView {
  readonly group: Group;
  readonly instances: readonly InstanceView[];
  /** Name of the primary of the highest term that a majority has seen. */
  readonly primary?: string;
  readonly term: number;
  /** Monotonic time in ms of the sending of the last round that confirmed the primary by a majority. */
  readonly confirmedAt: number;
  /** Difference in log position between the primary and the majority's received position. */
  readonly receiveLag: bigint;
  /** For how long, in ms, a majority has not held the primary's then position; 0 when it is caught up. */
  readonly receiveLagMs: number;
  /** Whether new writes are held for a planned change of primary. */
  readonly switching: boolean;
}

/** Watches the groups by status rounds; one round at a time for each group, shared by all that wait. */
export interface Health {
  /** The present view of a group; undefined for a database that no document names. */
  view(database: string): GroupView | undefined;
  /** Calls back on each change of primary, term, hold or usable instances of any group; gives a function that ends it. */
  subscribe(listener: (view: GroupView) => void): () => void;
  /** Resolves once a majority of the group holds the position under its term; fails at the deadline (monotonic ms) or when a higher term is seen. */
  confirm(
    database: string,
    position: Position,
    deadline: number,
  ): ResultAsync<void, Failure>;
  /** A position of the primary, confirmed by a majority in a round begun after this call. */
  freshPosition(
    database: string,
    deadline: number,
  ): ResultAsync<Position, Failure>;
  /** Resolves with the first of the instances that has applied the position; fails at the deadline. */
  applied(
    database: string,
    instances: readonly string[],
    position: Position,
    deadline: number,
  ): ResultAsync<string, Failure>;
  /** Whether an instance is known to have applied a position. */
  hasApplied(database: string, instance: string, position: Position): boolean;
  /** Upper bound, in ms, of the age of an instance's data; Infinity when nothing is known. */
  age(database: string, instance: string): number;
  /** Expected time in ms until the instance has applied the position, from its lag of late. */
  expectedWait(database: string, instance: string, position: Position): number;
  /** Resolves when the group has a confirmed primary and new writes are not held; fails at the deadline with PRIMARY_ABSENT. */
  primary(database: string, deadline: number): ResultAsync<Instance, Failure>;
  /** Reports that a connection to an instance failed or was fenced; asks for a probe at once. */
  reportFailure(database: string, instance: string): void;
  /** Reports the time to first byte of a statement on an instance, in ms, for the exclusion of slow ones. */
  reportLatency(database: string, instance: string, latency: number): void;
  /** Holds new writes of a group, for at most `duration` ms: `primary` resolves only afterwards. */
  hold(database: string, duration: number): void;
  /** Ends a hold. */
  release(database: string): void;
}

declare module "../../kernel/kernel.ts" {
  interface Services {
    health: Health;
  }
}
