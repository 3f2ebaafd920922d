/**
 * The rows that the proxies share through the platform's store: the primary of
 * each group, the proxies, and the proxies' acknowledgements of primary changes.
 *
 * @module
 */
import type { Result } from "neverthrow";

/** The store's version of a row, ordered across its eras (see store_era.ts); 0 if the row is not in the store. */
export type RowVersion = number;

/** The stored state of a group's primary. */
export interface GroupRecord {
  /**
   * `steady`: the primary is in service. `changing`: it is being replaced, and
   * no new work may start on it.
   */
  readonly phase: "steady" | "changing";
  /** Id of the current primary, or of the one that is being replaced. */
  readonly primary: string;
  /** Term of that primary; 0 if unknown. */
  readonly term: number;
  /** Name of the proxy that started the last change. */
  readonly holder: string;
  /** Incarnation of that proxy; after a restart it has no state of the change. */
  readonly holderLife: string;
  /** Whether the change lets running work finish and loses no data. */
  readonly planned: boolean;
  /** Time on the store's clock, in ms, after which the holder may no longer continue the change. */
  readonly expiresAt: number;
  /** Unique id of the write; distinguishes writes of equal content when a reply was lost. */
  readonly operation: string;
}

/** The stored state of a proxy that may use primaries. */
export interface HostRecord {
  /** Distinguishes restarts of the proxy under the same name. */
  readonly incarnation: string;
  /** Address of the proxy's peer procedures, `host:port`. */
  readonly address: string;
  /** Availability zone; undefined in a row of an earlier release. */
  readonly zone?: string;
  /** Endpoint of the proxy's channels, `host:port`; undefined if it has none, as in a row of an earlier release. */
  readonly channel?: string | undefined;
  /** Statements a second that the proxy can carry; undefined if it is not known. */
  readonly weight?: number | undefined;
  /**
   * Least number of hosts among which the proxy divides limits that hold for all
   * hosts together; undefined while it uses no part of them.
   */
  readonly parts?: number | undefined;
  /**
   * Time on the store's clock, in ms, at which another proxy found this one
   * unresponsive; the proxy must rewrite its row before it uses a primary
   * again. For people: the write may have taken effect later.
   */
  readonly absentSince?: number;
}

/** A proxy's acknowledgement that it has stopped using the old primary. */
export interface AcknowledgementRecord {
  /** Acknowledged version of the group's row. */
  readonly version: RowVersion;
  /**
   * Age, in ms, of the last answer that the proxy received from the old
   * primary; null if it received none.
   */
  readonly heardAgo: number | null;
}

/** A row with its version. */
export interface Versioned<T> {
  readonly version: RowVersion;
  readonly value: T;
}

/** Why a write to the store failed. */
export type WriteFailure =
  /** The row's version has changed; nothing was written. */
  | { readonly kind: "conflict" }
  /** The store rejected the write; nothing was written. */
  | { readonly kind: "refused"; readonly reason: string }
  /** The outcome is unknown: the write may have been applied, or may still be. */
  | { readonly kind: "unsettled"; readonly reason: string };

/** Result of a successful write. */
export interface Written {
  readonly version: RowVersion;
  /** The store's clock, in ms. */
  readonly clock: number;
}

/** The shared rows as last read by this proxy, and the calls that change them. */
export interface Coordination {
  /** Identifies this run of this proxy. */
  readonly incarnation: string;
  /** The store's version up to which all changes of the rows are known here. */
  readonly version: RowVersion;
  group(name: string): Versioned<GroupRecord> | undefined;
  /**
   * Whether the store came back from a copy without this group's row as it is
   * known here; `group` returns the known record with the version of the
   * store's row.
   */
  isGroupLost(name: string): boolean;
  /**
   * Time on the store's clock, in ms, at which its era was first recorded there;
   * undefined while it is not recorded, -Infinity if the store announces no eras
   * or this proxy has known all changes of the era before.
   */
  readonly eraSince: number | undefined;
  /** Proxies by name; the version is 0 of one whose row the store lost. */
  hosts(): ReadonlyMap<string, Versioned<HostRecord>>;
  /** The proxies that are not marked absent; the same list until it changes. */
  liveHosts(): readonly LiveHost[];
  /** Time in ms since this proxy first saw that another one is marked absent; undefined if it is not marked. */
  absentFor(host: string): number | undefined;
  acknowledgement(
    group: string,
    host: string,
  ): AcknowledgementRecord | undefined;
  /**
   * Monotonic ms at which the latest call was sent whose answer confirmed the rows
   * as read here; -Infinity before the first answer, or if this proxy's own row is missing.
   */
  readonly confirmedAt: number;
  /** Estimate of the store's clock, in ms. */
  clock(): number;
  /** Calls the listener after each answer of the store; returns a function that removes it. */
  subscribe(listener: () => void): () => void;
  /** Reads the latest changes from the store at once; resolves to whether it answered. */
  refresh(): Promise<boolean>;
  /** Replaces a group's row if it still has the expected version. */
  putGroup(
    name: string,
    expected: RowVersion,
    record: GroupRecord,
  ): Promise<Result<Written, WriteFailure>>;
  /** Acknowledges a version of a group's row on behalf of this proxy. */
  acknowledge(
    group: string,
    record: AcknowledgementRecord,
  ): Promise<Result<void, WriteFailure>>;
  /** Writes into this proxy's row among how many hosts it divides limits; `hosts` shows it once it is in force. */
  recordParts(parts: number): void;
  /** Marks unresponsive proxies as absent. */
  markAbsent(
    names: readonly string[],
  ): Promise<Result<void, WriteFailure>>;
  /** Removes the rows of proxies that are marked absent, unless they have been rewritten. */
  removeAbsent(
    names: readonly string[],
  ): Promise<Result<void, WriteFailure>>;
}

/** A proxy that is not marked absent. */
export interface LiveHost {
  readonly name: string;
  readonly address: string;
  readonly zone: string | undefined;
  /** As in the proxy's row. */
  readonly channel?: string | undefined;
  readonly weight?: number | undefined;
}

/** Orders the promotion of an instance to the primary of its group. */
export interface PromotionOrder {
  /**
   * Sends the order. `mayStillSend` is called immediately before the bytes are
   * sent; the call is aborted at `deadline` (monotonic ms).
   */
  promote(
    order: {
      readonly group: string;
      readonly instance: string;
      readonly holder: string;
      readonly token: number;
    },
    deadline: number,
    mayStillSend: () => boolean,
  ): Promise<PromotionReply>;
}

/** Outcome of a promotion order. */
export type PromotionReply =
  | { readonly kind: "accepted" }
  /** The instance cannot be promoted. */
  | { readonly kind: "rejected"; readonly reason: string }
  /** The order was not sent. */
  | { readonly kind: "not sent"; readonly reason: string }
  /** The outcome is unknown: the order may still take effect. */
  | { readonly kind: "unsettled"; readonly reason: string };
