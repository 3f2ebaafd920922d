/**
 * The configuration in force: which database name leads to which group, and how.
 *
 * @module
 */
import type { Priority } from "../connections/connections.ts";

/** What reads of a route must show. */
export type Consistency =
  /** All that was acknowledged before; every statement goes to the primary. */
  | "primary"
  /** Data of a bounded age. */
  | "bounded"
  /** Data of a bounded age and the session's own writes. */
  | "session";

/** One database name that callers connect to. */
export interface Route {
  readonly database: string;
  readonly group: string;
  readonly consistency: Consistency;
  /** Greatest age of the data that a read may show, in ms; 0 on primary routes. */
  readonly maxAge: number;
  /** Longest time for one statement, in ms. */
  readonly statementTimeout: number;
  /** Time in which a whole operation is of full worth to its caller, in ms. */
  readonly targetLatency: number;
  readonly priority: Priority;
}

/** A database group that routes lead to. */
export interface GroupSettings {
  readonly name: string;
  /** Connections that an instance grants to all proxies together. */
  readonly connectionsPerInstance: number;
}

/** One version of the configuration. */
export interface RouteTable {
  readonly version: number;
  readonly routes: ReadonlyMap<string, Route>;
  readonly groups: ReadonlyMap<string, GroupSettings>;
  /** A transaction that rests for this long, in ms, may be ended. */
  readonly transactionIdleTimeout: number;
  /** Time for a caller to send its first message, in ms. */
  readonly startupTimeout: number;
}

/** The newest version that this process has seen; it never goes back. */
export class ActiveRoutes {
  readonly #listeners = new Set<(table: RouteTable) => void>();
  #table: RouteTable | undefined;

  get table(): RouteTable | undefined {
    return this.#table;
  }

  /** Puts a version in force when it is newer; tells whether it was. */
  updateIfNewer(table: RouteTable): boolean {
    if (this.#table && table.version <= this.#table.version) return false;
    this.#table = table;
    for (const listener of this.#listeners) listener(table);
    return true;
  }

  /** Calls the listener with each version that comes into force; gives a function that ends it. */
  subscribe(listener: (table: RouteTable) => void): () => void {
    this.#listeners.add(listener);
    return () => this.#listeners.delete(listener);
  }

  route(database: string): Route | undefined {
    return this.#table?.routes.get(database);
  }
}
