/**
 * The rows of a followed table and the order of their changes, so that another
 * proxy can be told what changed after the version that it knows.
 *
 * @module
 */

/** A row as it is relayed. */
export interface RelayedRow {
  readonly key: string;
  /** Content in base64; null when the row was deleted. */
  readonly value: string | null;
  /** The store's version of the row. */
  readonly version: number;
}

/** The difference between two versions of a table. */
export interface RowChanges {
  /** Whether `rows` are all rows of the table, so that others are gone. */
  readonly complete: boolean;
  readonly rows: readonly RelayedRow[];
}

/** Number of deleted rows that are remembered; a proxy that missed older deletions gets all rows. */
const MAX_DELETED_ROWS = 1_000;

/** Current rows of one table and its latest deletions, by version. */
export class RowHistory {
  /** Rows and deletions by key; in insertion order, which is the order of versions. */
  readonly #rows = new Map<string, RelayedRow>();
  #deletedCount = 0;
  /** Version up to which deletions are no longer known; undefined before the first complete read. */
  #forgottenVersion: number | undefined;

  /** Records a changed or deleted row; returns false if a newer version of it is known. */
  put(row: RelayedRow): boolean {
    const before = this.#rows.get(row.key);
    if (before && before.version > row.version) return false;
    if (before?.value === null) this.#deletedCount -= 1;
    this.#rows.delete(row.key);
    this.#rows.set(row.key, row);
    if (row.value !== null) return true;
    this.#deletedCount += 1;
    if (this.#deletedCount > MAX_DELETED_ROWS) this.#forgetOldestDeletion();
    return true;
  }

  /** Replaces all rows by a complete read of a version. */
  replaceAll(rows: readonly RelayedRow[], version: number): void {
    this.#rows.clear();
    this.#deletedCount = 0;
    this.#forgottenVersion = version;
    const byVersion = [...rows].sort((a, b) => a.version - b.version);
    for (const row of byVersion) this.#rows.set(row.key, row);
  }

  /** The changes after a version; all rows if deletions after it may be missing, or if it is undefined. */
  since(version: number | undefined): RowChanges {
    const complete = version === undefined ||
      this.#forgottenVersion === undefined ||
      version < this.#forgottenVersion;
    const rows = [...this.#rows.values()].filter((row) =>
      complete ? row.value !== null : row.version > version
    );
    return { complete, rows };
  }

  #forgetOldestDeletion(): void {
    for (const [key, row] of this.#rows) {
      if (row.value !== null) continue;
      this.#rows.delete(key);
      this.#deletedCount -= 1;
      this.#forgottenVersion = Math.max(
        this.#forgottenVersion ?? 0,
        row.version,
      );
      return;
    }
  }
}
