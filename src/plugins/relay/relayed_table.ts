/**
 * A table of the store that proxies pass on to each other.
 *
 * @module
 */
import * as z from "zod";
import type { PeerProcedure } from "../peers/peers.ts";
import type { RowChanges } from "./row_history.ts";

/** The changes of one table, as passed on by a relay. */
export interface TableChanges extends RowChanges {
  readonly table: string;
  /** The store's version up to which the relay knows the table, ordered across eras. */
  readonly version: number;
  /** Time in ms for which the relay's last successful call for the table had run when the question arrived; 0 if it began later. */
  readonly age: number;
  /** Time in ms since the store answered the relay again after an outage; null if there was none. */
  readonly recoveredAgo: number | null;
}

/** When the changes were asked for, and the store's clock as the relay knew it. */
export interface RelayReceipt {
  /** Monotonic ms at which this proxy asked. */
  readonly requestedAt: number;
  /** Reading of the store's clock, in ms. */
  readonly clock: number;
}

/** A table that this proxy follows, by its own calls or through a relay. */
export interface RelayedTable {
  readonly name: string;
  /** The store's version up to which the table is known; undefined before the first read. */
  readonly version: number | undefined;
  /** Monotonic ms at or before the latest call to the store whose answer is known here. */
  readonly confirmedAt: number;
  /** Monotonic ms at which the store last answered an own call; -Infinity before. */
  readonly answeredAt: number;
  /** Whether the last own call failed, and no relay has answered since. */
  readonly failing: boolean;
  /** Age of that call, in ms, above which this proxy calls the store itself. */
  readonly maxAge: number;
  /** Reading of the store's clock with the last answer, in ms. */
  readonly clock: number;
  /** The changes after a version, for a question that arrived at `askedAt` (monotonic ms). */
  changesSince(version: number | undefined, askedAt: number): TableChanges;
  /** Applies changes from a relay. */
  receive(changes: TableChanges, receipt: RelayReceipt): void;
  /** Calls the store once, without waiting for a change; resolves to whether it answered. */
  poll(): Promise<boolean>;
}

/** What a proxy knows already, by table. */
export interface RelayQuestion {
  /** Name of the proxy that asks. */
  readonly proxy: string;
  readonly versions: Readonly<Record<string, number>>;
  /** Age of the asking proxy's last confirmation of the first table, in ms. */
  readonly age: number;
}

/** A relay's answer. */
export interface RelayAnswer {
  /** Whether the store answered a call that the relay began after the question arrived. */
  readonly confirmed: boolean;
  /** Reading of the store's clock, in ms. */
  readonly clock: number;
  readonly tables: readonly TableChanges[];
}

const changesSchema = z.object({
  table: z.string(),
  version: z.number(),
  age: z.number(),
  recoveredAgo: z.number().nullable(),
  complete: z.boolean(),
  rows: z.array(z.object({
    key: z.string(),
    value: z.string().nullable(),
    version: z.number(),
  })),
});

/**
 * Asks a relay for the changes after the next answer of the store. Proxies whose
 * versions have no era use another name.
 */
export const RELAY_CHANGES: PeerProcedure<RelayQuestion, RelayAnswer> = {
  name: "relay.eraChanges",
  input: z.object({
    proxy: z.string(),
    versions: z.record(z.string(), z.number()),
    age: z.number(),
  }),
  output: z.object({
    confirmed: z.boolean(),
    clock: z.number(),
    tables: z.array(changesSchema),
  }),
};
