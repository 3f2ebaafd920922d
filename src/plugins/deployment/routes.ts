/**
 * The active configuration: how each database name is routed to a group.
 *
 * @module
 */
import type { AccountDirectory } from "../accounts/accounts.ts";
import type { Priority } from "../connections/connections.ts";

/** Consistency guarantee for the reads of a route. */
export type Consistency =
  /** Reads include every commit acknowledged before; every statement goes to the primary. */
  | "primary"
  /** Reads have a maximum data age. */
  | "bounded"
  /** Reads have a maximum data age and include the session's own writes. */
  | "session";

/** Settings of one database name that callers connect to. */
export interface Route {
  readonly database: string;
  readonly group: string;
  readonly consistency: Consistency;
  /** Maximum age of the data that a read may return, in ms; 0 on primary routes. */
  readonly maxAge: number;
  /** Timeout of one statement, in ms. */
  readonly statementTimeout: number;
  /** Time within which a whole operation has its full value for the caller, in ms. */
  readonly targetLatency: number;
  readonly priority: Priority;
  /** Order among the routes of an instance whose work is scheduled; 0 is served first. */
  readonly rank: number;
  /** Whether callers need no key. */
  readonly isPublic: boolean;
}

/** A database group that is the target of routes. */
export interface GroupSettings {
  readonly name: string;
  /** Connections that an instance accepts from all proxies together. */
  readonly connectionsPerInstance: number;
  /** Replicas that have received a commit before it is acknowledged; undefined if the configuration doesn't say. */
  readonly synchronousReplicas?: number;
}

/** An entry of the configuration that is not used. */
export interface UnusedEntry {
  readonly entry: "route" | "group";
  readonly name: string;
  readonly reason:
    /** Its kind is not one that this version knows. */
    | "unknown kind"
    /** A later entry of the same name takes its place. */
    | "listed again";
}

/** One version of the configuration. */
export interface RouteTable {
  readonly version: number;
  readonly routes: ReadonlyMap<string, Route>;
  readonly groups: ReadonlyMap<string, GroupSettings>;
  /** Undefined if the configuration knows no accounts, so that callers need no key. */
  readonly accounts?: AccountDirectory;
  /** Entries that the parser left out. */
  readonly unused?: readonly UnusedEntry[];
  /** Idle time after which a transaction may be terminated, in ms. */
  readonly transactionIdleTimeout: number;
  /** Timeout for a caller's first message, in ms. */
  readonly startupTimeout: number;
}

/** The newest configuration version that this process has received; it is never replaced by an older one. */
export class ActiveRoutes {
  readonly #listeners = new Set<(table: RouteTable) => void>();
  #table: RouteTable | undefined;

  get table(): RouteTable | undefined {
    return this.#table;
  }

  /** Activates a version if it is newer; returns whether it was. */
  updateIfNewer(table: RouteTable): boolean {
    if (this.#table && table.version <= this.#table.version) return false;
    this.#table = table;
    for (const listener of this.#listeners) listener(table);
    return true;
  }

  /** Calls the listener with each version that becomes active; returns a function that removes it. */
  subscribe(listener: (table: RouteTable) => void): () => void {
    this.#listeners.add(listener);
    return () => this.#listeners.delete(listener);
  }
}
