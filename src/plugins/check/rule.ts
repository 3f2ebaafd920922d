/**
 * What the rules look at: the accounts or one environment of a document, or a
 * route table. What one of them doesn't know is left out, and rules that need it
 * find nothing.
 *
 * @module
 */
import type { AccountFinding, RateLimit } from "../accounts/accounts.ts";
import type { UnusedEntry } from "../deployment/routes.ts";
import type { Observation, Place } from "./finding.ts";

/** Finds what is wrong with one aspect of a subject. */
export type Rule = (subject: Subject) => readonly Observation[];

/** A limit with its place; durations are in ms. */
export interface Limit {
  /** Name as the configuration has it, such as `queue.deadline`. */
  readonly name: string;
  readonly place: Place;
  readonly value: number;
}

/** A client account. */
export interface CheckedAccount {
  readonly name: string;
  readonly place: Place;
  readonly limit?: RateLimit;
  readonly limitPlace: Place;
  /** Databases that it lists and that some environments lack. */
  readonly absent: readonly AbsentDatabase[];
}

/** A database that an account lists. */
export interface AbsentDatabase {
  readonly name: string;
  readonly place: Place;
  /** The first environments that lack it. */
  readonly environments: readonly string[];
  /** Number of the environments that lack it. */
  readonly count: number;
}

/** A kind of read, chosen by the tables that a statement uses or by its name. */
export interface CheckedKind {
  readonly name: string;
  readonly place: Place;
  readonly tables: readonly string[];
}

/** A database that callers open. */
export interface CheckedRoute {
  readonly database: string;
  readonly group: string;
  readonly place: Place;
  /** Time within which a statement ends. */
  readonly deadline: Limit;
  /** Time within which an operation has its full value. */
  readonly targetLatency?: Limit;
  /** Time that a read waits for a replica before it goes to the primary. */
  readonly catchUpWait?: Limit;
  /** Time that a write waits for a majority. */
  readonly acknowledgeDeadline?: Limit;
  /** Time for which answers to request ids are kept. */
  readonly keep?: Limit;
  /** Ages of data that reads accept; empty if none runs on a replica. */
  readonly ages: readonly Limit[];
  /** Ages that are stated and that no read uses, with the reason. */
  readonly unusedAges: readonly {
    readonly limit: Limit;
    readonly reason: string;
  }[];
  /** Kinds of reads in the order in which they are tried. */
  readonly kinds: readonly CheckedKind[];
}

/** An instance of a group. */
export interface CheckedInstance {
  readonly name: string;
  readonly place: Place;
  readonly address: string;
}

/** A database group. */
export interface CheckedGroup {
  readonly name: string;
  readonly place: Place;
  /** Whether any caller can get to it. */
  readonly isReached: boolean;
  /** Connections that an instance accepts from all proxies together. */
  readonly connections: Limit;
  /** Statements that the group's instances and the queues before them hold at once; undefined if not known. */
  readonly capacity?: number;
  /** Sum of the bursts of the accounts that may use it; undefined if accounts are not tied to groups. */
  readonly bursts?: number;
  readonly instances: readonly CheckedInstance[];
}

/** How a proxy without connections of its own serves a group. */
export type Sharing =
  /** Each proxy that serves a group needs this many connections to each instance. */
  | { readonly kind: "own"; readonly connectionsPerProxy: number }
  /** It sends its work to a proxy that has connections. */
  | { readonly kind: "forwarded" };

/** What is checked. */
export interface Subject {
  /** Name of the environment; undefined for a route table. */
  readonly environment?: string;
  /** Number of proxies; undefined if it is not known. */
  readonly hosts?: number;
  readonly sharing: Sharing;
  /** Age in ms that the data of a replica may always have. */
  readonly lag: number;
  readonly accounts: readonly CheckedAccount[];
  /** Accounts that are not used as they stand. */
  readonly accountFindings: readonly AccountFinding[];
  readonly routes: readonly CheckedRoute[];
  readonly groups: readonly CheckedGroup[];
  /** Zones that hold neither a proxy nor an instance. */
  readonly emptyZones: readonly {
    readonly name: string;
    readonly place: Place;
  }[];
  /** Time-outs that hold for all routes. */
  readonly timeouts: readonly Limit[];
  /** Entries that the parser leaves out. */
  readonly unused: readonly UnusedEntry[];
}

/** Names the environment of a subject in a sentence. */
export function inEnvironment({ environment }: Subject): string {
  return environment === undefined ? "" : ` in ${environment}`;
}
