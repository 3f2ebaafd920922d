/**
 * The proxies' shared rows as one proxy has last seen them.
 *
 * @module
 */
import type {
  AcknowledgementRecord,
  GroupRecord,
  HostRecord,
  Versioned,
} from "./coordination.ts";

/** Rows by name, and who is told when they may have changed. */
export class CachedRows {
  protected readonly groupRows = new Map<string, Versioned<GroupRecord>>();
  protected readonly hostRows = new Map<string, Versioned<HostRecord>>();
  /** By `GROUP/HOST`. */
  protected readonly acknowledgementRows = new Map<
    string,
    AcknowledgementRecord
  >();
  readonly #listeners = new Set<() => void>();

  /** Row of a group. */
  group(name: string): Versioned<GroupRecord> | undefined {
    return this.groupRows.get(name);
  }

  /** Rows of all proxies by name. */
  hosts(): ReadonlyMap<string, Versioned<HostRecord>> {
    return this.hostRows;
  }

  /** What a proxy has told of a group's change. */
  acknowledgement(
    group: string,
    host: string,
  ): AcknowledgementRecord | undefined {
    return this.acknowledgementRows.get(`${group}/${host}`);
  }

  /** Calls the listener after each answer of the store; gives a function that ends it. */
  subscribe(listener: () => void): () => void {
    this.#listeners.add(listener);
    return () => this.#listeners.delete(listener);
  }

  /** Forgets all rows. */
  protected clearRows(): void {
    this.groupRows.clear();
    this.hostRows.clear();
    this.acknowledgementRows.clear();
  }

  /** Calls all listeners. */
  protected notifyListeners(): void {
    for (const listener of [...this.#listeners]) listener();
  }
}
