/**
 * The proxies' shared rows as last read by one proxy.
 *
 * @module
 */
import { clock } from "../../kernel/clock.ts";
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
  readonly #listeners = new Set<() => void>();
  /** The marks of absent proxies and the monotonic ms at which each was first seen. */
  readonly #absences = new Map<
    string,
    { readonly since: number; readonly seenAt: number }
  >();

  #liveHosts: readonly LiveHost[] | undefined;

  group(name: string): Versioned<GroupRecord> | undefined {
    return this.groupRows.get(name);
  }

  /** The rows of all proxies, by proxy name. */
  hosts(): ReadonlyMap<string, Versioned<HostRecord>> {
    return this.hostRows;
  }

  /** The proxies that are not marked absent; the same list until it changes. */
  liveHosts(): readonly LiveHost[] {
    this.#liveHosts ??= [...this.hostRows].flatMap(([name, { value }]) => {
      const { address, zone, channels, absentSince } = value;
      if (absentSince !== undefined) return [];
      return [{ name, address, zone, channels }];
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
    for (const rows of [this.groupRows, this.hostRows]) {
      for (const [name, row] of rows) {
        if (row.version <= version) rows.delete(name);
      }
    }
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

  /** Removes a row from the cache. */
  protected removeRow<T>(rows: Map<string, Versioned<T>>, name: string): void {
    rows.delete(name);
    this.#liveHosts = undefined;
  }

  protected notifyListeners(): void {
    for (const listener of [...this.#listeners]) listener();
  }
}
