/**
 * The rows that the proxies share through the platform's store: who leads each
 * group, which proxies are there, and which of them have heeded a change.
 *
 * @module
 */
import type { Result } from "neverthrow";

/** The store's version of a row; 0 where there is none. */
export type RowVersion = number;

/** What the store says of the primary of a group. */
export interface GroupRecord {
  /** `steady`: the primary serves. `changing`: it is being replaced and nobody may start with it. */
  readonly phase: "steady" | "changing";
  /** Id of the instance that leads, or that is being replaced. */
  readonly primary: string;
  /** Term under which it leads; 0 while that is not known. */
  readonly term: number;
  /** Proxy that ordered the last change. */
  readonly holder: string;
  /** Life of that proxy; a later life knows nothing of the change. */
  readonly holderLife: string;
  /** A change that waits for running work and loses nothing. */
  readonly planned: boolean;
  /** Store's clock, in ms, until which the holder may go on with a change. */
  readonly expiresAt: number;
  /** Tells two writes of the same content apart, to settle a lost reply. */
  readonly operation: string;
}

/** A proxy that may use primaries. */
export interface HostRecord {
  /** Tells two lives under the same name apart. */
  readonly incarnation: string;
  /** Where other proxies ask whether it lives, `host:port`. */
  readonly address: string;
  /** Store's clock, in ms, at which others found that it does not answer; it must write its row anew. */
  readonly absentSince?: number;
}

/** A proxy's word that it uses the old primary no more. */
export interface AcknowledgementRecord {
  /** Version of the group's row that it heeds. */
  readonly version: RowVersion;
  /** Monotonic age, in ms, of the proxy's last answer from the old primary. */
  readonly heardAgo: number | null;
}

/** A row with its version. */
export interface Versioned<T> {
  readonly version: RowVersion;
  readonly value: T;
}

/** Why a write to the store failed. */
export type WriteFailure =
  /** Another write came first; nothing was done. */
  | { readonly kind: "conflict" }
  /** Nothing was done. */
  | { readonly kind: "refused"; readonly reason: string }
  /** It may have been done, or may be done yet. */
  | { readonly kind: "unsettled"; readonly reason: string };

/** What a write that was done tells. */
export interface Written {
  readonly version: RowVersion;
  /** The store's clock, in ms. */
  readonly clock: number;
}

/** The shared rows as this proxy last saw them, and the calls that change them. */
export interface Coordination {
  /** This life of this proxy. */
  readonly incarnation: string;
  group(name: string): Versioned<GroupRecord> | undefined;
  /** Proxies by name. */
  hosts(): ReadonlyMap<string, Versioned<HostRecord>>;
  acknowledgement(
    group: string,
    host: string,
  ): AcknowledgementRecord | undefined;
  /**
   * Monotonic ms at which the newest call was sent whose answer shows the rows
   * as seen here; -Infinity before the first, or when this proxy's own row is missing.
   */
  readonly confirmedAt: number;
  /** Estimate of the store's clock, in ms. */
  clock(): number;
  /** Calls the listener after each answer of the store; gives a function that ends it. */
  subscribe(listener: () => void): () => void;
  /** Replaces a group's row that still has the version. */
  putGroup(
    name: string,
    expected: RowVersion,
    record: GroupRecord,
  ): Promise<Result<Written, WriteFailure>>;
  /** Tells that this proxy heeds the version of a group's row. */
  acknowledge(
    group: string,
    record: AcknowledgementRecord,
  ): Promise<Result<Written, WriteFailure>>;
  /** Marks proxies that gave no sign as absent. */
  markAbsent(
    names: readonly string[],
  ): Promise<Result<Written, WriteFailure>>;
}

/** The call that makes an instance the primary of its group. */
export interface PromotionOrder {
  /**
   * Orders it. `mayStillSend` is asked at the last moment before the bytes
   * leave; the call is given up at `deadline` (monotonic ms).
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

/** What became of the order. */
export type PromotionReply =
  | { readonly kind: "accepted" }
  /** The instance can't be promoted. */
  | { readonly kind: "rejected"; readonly reason: string }
  /** It did not leave this process. */
  | { readonly kind: "not sent"; readonly reason: string }
  /** It may take effect. */
  | { readonly kind: "unsettled"; readonly reason: string };
