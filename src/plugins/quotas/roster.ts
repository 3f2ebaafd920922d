/**
 * The hosts among which the limits are divided, as one host knows them from the
 * rows of the store.
 *
 * Every host that uses a part counts at least all hosts that use one, so the
 * parts never add up to more than the limits. For this a host stops to use its
 * part before others may remove its row, goes on counting a host for a while
 * after its row has gone, and uses its part for the first time only when the
 * others count it (see census.ts).
 *
 * @module
 */
import type { Coordination } from "../leadership/coordination.ts";
import { orderNames } from "./rendezvous.ts";
import {
  DELEGATION_MS,
  DEPARTED_MS,
  JOIN_SETTLING_MS,
  PART_LEASE_MS,
  RECORD_RETRY_MS,
  SHRUNK_MS,
} from "./timing.ts";

/**
 * Tokens that exist beyond the quota, one at most for each of so many hosts, so
 * that parts of less than a token can admit something. Of the 20 operations that
 * may run beyond a limit, 4 are left for rounding.
 */
const RESERVED_TOKENS = 16;

/** Fraction of the recorded number of hosts below which the number is recorded anew: the rest of the limits is not worth a write. */
const SHRUNK_FRACTION = 0.8;

/** The rows of hosts. */
export type HostRows = Pick<
  Coordination,
  | "incarnation"
  | "version"
  | "confirmedAt"
  | "hosts"
  | "liveHosts"
  | "recordParts"
>;

/** A host that can be called. */
export interface Candidate {
  readonly name: string;
  /** Host and port of its channels. */
  readonly endpoint: string;
}

/** Number and order of the hosts, and whether this one may use its part. */
export class Roster {
  readonly #proxy: string;
  readonly #endpoint: string;
  readonly #rows: HostRows;
  #live: unknown;
  #names: ReadonlySet<string> = new Set();
  /** Hosts whose rows have gone, with the clock ms until which they count. */
  readonly #departed = new Map<string, number>();
  #candidates: readonly Candidate[] = [];
  readonly #orders = new Map<string, readonly Candidate[]>();
  readonly #reserved = new Map<string, ReadonlySet<string>>();
  #confirmedAt = -Infinity;
  /** Whether this host's row is known here. */
  #isPresent = false;
  /** Number of hosts that this host's row says it counts. */
  #recorded: number | undefined;
  /** Clock ms at which that number was last written. */
  #recordedAt = -Infinity;
  /** Clock ms since which this host counts far fewer than its row says. */
  #shrunkSince: number | undefined;
  #joinedAt = Infinity;
  readonly #startedAt: number;
  /** Whether an earlier run of this host had joined. */
  #isInherited = false;
  /** Number of parts that another host counts, until the clock ms behind it. */
  #told = { parts: 0, until: 0 };
  #isLeaving = false;

  constructor(proxy: string, endpoint: string, rows: HostRows, now: number) {
    this.#proxy = proxy;
    this.#endpoint = endpoint;
    this.#rows = rows;
    this.#startedAt = now;
  }

  /** Reads the rows again; returns whether the hosts have changed. */
  refresh(now: number): boolean {
    const rows = this.#rows;
    this.#observeOwnRow();
    this.#recordParts(now);
    const live = rows.liveHosts();
    const hosts = rows.hosts();
    if (live === this.#live && hosts.size === this.#names.size) return false;
    this.#live = live;
    for (const name of this.#names) {
      if (!hosts.has(name)) this.#departed.set(name, now + DEPARTED_MS);
    }
    for (const name of hosts.keys()) this.#departed.delete(name);
    this.#names = new Set(hosts.keys());
    this.#candidates = live.flatMap(({ name, channel }) => {
      const endpoint = name === this.#proxy ? this.#endpoint : channel;
      return endpoint ? [{ name, endpoint }] : [];
    });
    this.#orders.clear();
    this.#reserved.clear();
    return true;
  }

  /** Number of hosts among which the limits are divided. */
  size(now: number): number {
    for (const [name, until] of this.#departed) {
      if (until <= now) this.#departed.delete(name);
    }
    const told = now < this.#told.until ? this.#told.parts : 0;
    return Math.max(1, told, this.#names.size + this.#departed.size);
  }

  /** Fraction of the limits that this host may use or delegate now. */
  share(now: number): number {
    if (this.#isLeaving || !this.hasJoined(now)) return 0;
    if (now >= this.#confirmedAt + PART_LEASE_MS) return 0;
    return 1 / Math.max(this.size(now), this.#recorded!);
  }

  /** Whether the other hosts count this one and its row says how many it counts, so that it has a part. */
  hasJoined(now: number): boolean {
    return this.#recorded !== undefined && now >= this.#joinedAt;
  }

  /**
   * Clock ms from which nobody else fills this host's part; undefined if that is
   * not before its first use. The part of a host that restarts is as large as
   * before, so only what its earlier run delegated has to end.
   */
  get unfilledSince(): number | undefined {
    return this.#isInherited ? this.#startedAt + DELEGATION_MS : undefined;
  }

  /** Whether the hosts must still be asked whether they count this one. */
  get mustJoin(): boolean {
    return this.#isPresent && this.#joinedAt === Infinity;
  }

  /** Records that all hosts that use parts count this one. */
  confirmJoin(parts: number, now: number): void {
    this.#joinedAt = now + JOIN_SETTLING_MS;
    this.#told = { parts, until: this.#joinedAt + DEPARTED_MS };
    this.#recordParts(now);
  }

  /** Stops to use this host's part for good, before its row is removed. */
  leave(): void {
    this.#isLeaving = true;
  }

  /** The live hosts that can be called. */
  get candidates(): readonly Candidate[] {
    return this.#candidates;
  }

  /** Sum of the shares of the live hosts. */
  liveShare(now: number): number {
    return this.#candidates.length / this.size(now);
  }

  /** The live hosts in the order in which they coordinate what the key names. */
  order(key: string): readonly Candidate[] {
    const known = this.#orders.get(key);
    if (known) return known;
    const byName = new Map(this.#candidates.map((item) => [item.name, item]));
    const order = orderNames(key, byName.keys())
      .map((name) => byName.get(name)!);
    this.#orders.set(key, order);
    return order;
  }

  /** The hosts that an account's reserved tokens belong to. */
  reserved(account: string): ReadonlySet<string> {
    const known = this.#reserved.get(account);
    if (known) return known;
    const names = [...this.#names, ...this.#departed.keys()];
    const reserved = new Set(
      orderNames(account, names).slice(0, RESERVED_TOKENS),
    );
    this.#reserved.set(account, reserved);
    return reserved;
  }

  /** Whether one of an account's reserved tokens belongs to this host. */
  isReserved(account: string): boolean {
    return this.reserved(account).has(this.#proxy);
  }

  #observeOwnRow(): void {
    const rows = this.#rows;
    const own = rows.hosts().get(this.#proxy)?.value;
    this.#isPresent = own?.incarnation === rows.incarnation;
    if (!this.#isPresent) {
      // Removed by others, or replaced by a later run: the part belongs to nobody, or to that run.
      this.#recorded = undefined;
      this.#isInherited = false;
      this.#joinedAt = Infinity;
      this.#confirmedAt = -Infinity;
      return;
    }
    this.#recorded = own!.parts;
    // An earlier run of this host had joined, and what it delegated ends like that of a new host.
    const isInherited = this.#recorded !== undefined &&
      this.#joinedAt === Infinity;
    if (isInherited) {
      this.#isInherited = true;
      this.#joinedAt = this.#startedAt + JOIN_SETTLING_MS;
    }
    this.#confirmedAt = Math.max(this.#confirmedAt, rows.confirmedAt);
  }

  /** Lets this host's row say how many hosts it counts, before it uses its part for the first time, and again when it counts far fewer for a while. */
  #recordParts(now: number): void {
    if (!this.#isPresent || this.#joinedAt === Infinity) return;
    const parts = this.size(now);
    const recorded = this.#recorded;
    const isShrunk = recorded !== undefined &&
      parts < SHRUNK_FRACTION * recorded;
    this.#shrunkSince = isShrunk ? this.#shrunkSince ?? now : undefined;
    const isDue = recorded === undefined ||
      (this.#shrunkSince !== undefined && now - this.#shrunkSince > SHRUNK_MS);
    if (!isDue || now - this.#recordedAt < RECORD_RETRY_MS) return;
    this.#recordedAt = now;
    this.#rows.recordParts(parts);
  }
}
