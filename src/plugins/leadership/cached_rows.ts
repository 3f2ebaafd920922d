/**
 * The proxies' shared rows as last read by one proxy.
 *
 * @module
 */
import type {
  AcknowledgementRecord,
  GroupRecord,
  HostRecord,
  Versioned,
} from "./coordination.ts";

/** Cache of the shared rows by name, with listeners for possible changes. */
export class CachedRows {
  protected readonly groupRows = new Map<string, Versioned<GroupRecord>>();
  protected readonly hostRows = new Map<string, Versioned<HostRecord>>();
  /** By `GROUP/HOST`. */
  protected readonly acknowledgementRows = new Map<
    string,
    AcknowledgementRecord
  >();
  readonly #listeners = new Set<() => void>();

  group(name: string): Versioned<GroupRecord> | undefined {
    return this.groupRows.get(name);
  }

  /** The rows of all proxies, by proxy name. */
  hosts(): ReadonlyMap<string, Versioned<HostRecord>> {
    return this.hostRows;
  }

  /** A proxy's last acknowledgement of a group's row. */
  acknowledgement(
    group: string,
    host: string,
  ): AcknowledgementRecord | undefined {
    return this.acknowledgementRows.get(`${group}/${host}`);
  }

  /** Calls the listener after each answer of the store; returns a function that removes it. */
  subscribe(listener: () => void): () => void {
    this.#listeners.add(listener);
    return () => this.#listeners.delete(listener);
  }

  /** Removes all rows from the cache. */
  protected clearRows(): void {
    this.groupRows.clear();
    this.hostRows.clear();
    this.acknowledgementRows.clear();
  }

  protected notifyListeners(): void {
    for (const listener of [...this.#listeners]) listener();
  }
}
