/**
 * The proxies' shared rows as last read by one proxy.
 *
 * @module
 */
import { clock } from "../../kernel/clock.ts";
import { eraOf } from "./store_era.ts";
import type {
  AcknowledgementRecord,
  GroupRecord,
  HostRecord,
  LiveHost,
  RowVersion,
  Versioned,
} from "./coordination.ts";

/** Cache of the shared rows by name, with listeners for possible changes. */
export class CachedRows {
  protected readonly groupRows = new Map<string, Versioned<GroupRecord>>();
  protected readonly hostRows = new Map<string, Versioned<HostRecord>>();
  /** Acknowledgements of the latest version of each group's row, by group and host. */
  readonly #acknowledgements = new Map<
    string,
    Map<string, AcknowledgementRecord>
  >();
  /** What was known of groups before the store came back from a copy. */
  readonly #formerGroups = new Map<string, GroupRecord>();
  /** Version of the first complete read of the era. */
  #eraReadAt: RowVersion = 0;
  readonly #listeners = new Set<() => void>();
  /** The marks of absent proxies and the monotonic ms at which each was first seen. */
  readonly #absences = new Map<
    string,
    { readonly since: number; readonly seenAt: number }
  >();

  #liveHosts: readonly LiveHost[] | undefined;

  group(name: string): Versioned<GroupRecord> | undefined {
    const row = this.groupRows.get(name);
    const former = this.#formerGroups.get(name);
    if (!former || !isLater(former, row?.value)) return row;
    return { version: row?.version ?? 0, value: former };
  }

  isGroupLost(name: string): boolean {
    const former = this.#formerGroups.get(name);
    return former !== undefined &&
      isLater(former, this.groupRows.get(name)?.value);
  }

  /** Names of the groups whose rows are lost. */
  protected lostGroups(): readonly string[] {
    return [...this.#formerGroups.keys()].filter((name) =>
      this.isGroupLost(name)
    );
  }

  /** The rows of all proxies, by proxy name. */
  hosts(): ReadonlyMap<string, Versioned<HostRecord>> {
    return this.hostRows;
  }

  /** The proxies that are not marked absent; the same list until it changes. */
  liveHosts(): readonly LiveHost[] {
    this.#liveHosts ??= [...this.hostRows].flatMap(([name, { value }]) => {
      const { address, zone, channel, weight, absentSince } = value;
      return absentSince === undefined
        ? [{ name, address, zone, channel, weight }]
        : [];
    });
    return this.#liveHosts;
  }

  /**
   * Time in ms since the mark of an absent proxy was first seen here. Whatever
   * lets that proxy use a primary was asked for before then.
   */
  absentFor(host: string, now = clock.now()): number | undefined {
    const since = this.hostRows.get(host)?.value.absentSince;
    if (since === undefined) {
      this.#absences.delete(host);
      return undefined;
    }
    const known = this.#absences.get(host);
    if (known?.since === since) return now - known.seenAt;
    this.#absences.set(host, { since, seenAt: now });
    return 0;
  }

  /** A proxy's last acknowledgement of a group's row. */
  acknowledgement(
    group: string,
    host: string,
  ): AcknowledgementRecord | undefined {
    return this.#acknowledgements.get(group)?.get(host);
  }

  /** Calls the listener after each answer of the store; returns a function that removes it. */
  subscribe(listener: () => void): () => void {
    this.#listeners.add(listener);
    return () => this.#listeners.delete(listener);
  }

  /**
   * Prepares for the rows of a complete read of a version: removes all rows that
   * may be missing from it. Newer rows stay, since a row must never go back to an
   * earlier version: a proxy that has released a primary would use it again.
   */
  protected dropRowsUpTo(version: RowVersion): void {
    this.#liveHosts = undefined;
    if (eraOf(version) > eraOf(this.#eraReadAt)) this.#keepFormerRows(version);
    for (const rows of [this.groupRows, this.hostRows]) {
      for (const [name, row] of rows) {
        if (row.version > 0 && row.version <= version) rows.delete(name);
      }
    }
  }

  /**
   * Keeps what the store may have lost: the proxies until their rows are written
   * again or removed, and the groups while the rows of the copy are older.
   */
  #keepFormerRows(version: RowVersion): void {
    for (const name of this.groupRows.keys()) {
      const { version: known, value } = this.group(name)!;
      if (eraOf(known) < eraOf(version)) this.#formerGroups.set(name, value);
    }
    for (const [name, { version: known, value }] of this.hostRows) {
      if (eraOf(known) === eraOf(version)) continue;
      this.hostRows.set(name, { version: 0, value });
    }
    this.#eraReadAt = version;
  }

  /** Records an acknowledgement unless the proxy has acknowledged a later version; an earlier version's are dropped. */
  protected putAcknowledgement(
    group: string,
    host: string,
    record: AcknowledgementRecord,
  ): void {
    const known = this.#acknowledgements.get(group) ?? new Map();
    for (const [name, { version }] of known) {
      if (version < record.version) known.delete(name);
      if (version > record.version) return;
    }
    known.set(host, record);
    this.#acknowledgements.set(group, known);
  }

  /** Caches a row unless a newer version of it is known; returns whether it was cached. */
  protected putRow<T>(
    rows: Map<string, Versioned<T>>,
    name: string,
    row: Versioned<T>,
  ): boolean {
    if ((rows.get(name)?.version ?? 0) >= row.version) return false;
    rows.set(name, row);
    this.#liveHosts = undefined;
    return true;
  }

  /** Caches a group's row; one that was written after the era's first read takes the place of what was known before. */
  protected putGroupRow(name: string, row: Versioned<GroupRecord>): boolean {
    if (!this.putRow(this.groupRows, name, row)) return false;
    if (row.version > this.#eraReadAt) this.#formerGroups.delete(name);
    return true;
  }

  /** Removes a row from the cache. */
  protected removeRow<T>(rows: Map<string, Versioned<T>>, name: string): void {
    rows.delete(name);
    this.#liveHosts = undefined;
  }

  protected notifyListeners(): void {
    for (const listener of [...this.#listeners]) listener();
  }
}

/** Whether a former record tells of a later state than the row of a copy. */
function isLater(former: GroupRecord, present: GroupRecord | undefined) {
  if (!present) return true;
  if (former.operation === present.operation) return false;
  if (former.term !== present.term) return former.term > present.term;
  return former.phase === "changing" && present.phase === "steady" &&
    former.primary === present.primary;
}
