/**
 * The rows of the metadata store's stand-in: versions, conditions, history.
 *
 * @module
 */

/** A row on the wire. */
export interface WireRow {
  readonly table: string;
  readonly part: string;
  readonly key: string;
  readonly value?: string;
  readonly ver: number;
  readonly deleted?: boolean;
}

/** A row's place. */
export interface Place {
  readonly table: string;
  readonly part?: string;
  readonly key: string;
}

/** A transaction as it is sent. */
export interface Transaction {
  readonly precondition?: readonly (Place & { readonly ver: number })[];
  readonly puts?: readonly (Place & { readonly value: string })[];
  readonly remove?: readonly Place[];
}

/** The state of the store at one moment. */
export interface Copy {
  readonly rows: ReadonlyMap<string, WireRow>;
  readonly history: ReadonlyMap<string, readonly WireRow[]>;
  readonly forgotten: number;
  readonly version: number;
}

/** All rows, and the changes of the past. */
export class Rows {
  #rows = new Map<string, WireRow>();
  /** Changes in order, by table. */
  #history = new Map<string, WireRow[]>();
  /** Raised each time the store comes back from a copy; 0 if its answers don't tell it. */
  era = 1;
  /** Version up to which the history is gone. */
  #forgotten = 0;
  #version = 0;
  /** Waiting calls, by table. */
  readonly #waiters = new Map<string, Set<() => void>>();

  get version(): number {
    return this.#version;
  }

  /** Applies a transaction; gives the rows in the way when a condition does not hold. */
  apply(transaction: Transaction): readonly WireRow[] | undefined {
    const broken = (transaction.precondition ?? []).filter((place) =>
      (this.#rows.get(keyOf(place))?.ver ?? 0) !== place.ver
    );
    if (broken.length > 0) {
      return broken.flatMap((place) => this.#rows.get(keyOf(place)) ?? []);
    }
    this.#version += 1;
    for (const put of transaction.puts ?? []) {
      this.#note({ ...put, part: put.part ?? "", ver: this.#version });
    }
    for (const place of transaction.remove ?? []) {
      if (!this.#rows.has(keyOf(place))) continue;
      const { table, key, part = "" } = place;
      this.#note({ table, part, key, ver: this.#version, deleted: true });
    }
    return undefined;
  }

  /** The rows of a part of a table from a key on. */
  read(table: string, from: string, part = ""): readonly WireRow[] {
    return [...this.#rows.values()]
      .filter((row) =>
        row.table === table && row.part === part && row.key >= from
      )
      .sort((a, b) => a.key < b.key ? -1 : 1);
  }

  /** Changes of a table after a version; undefined when they are forgotten. */
  changes(table: string, after: number): readonly WireRow[] | undefined {
    if (after < this.#forgotten || after > this.#version) return undefined;
    const history = this.#history.get(table) ?? [];
    let first = history.length;
    while (first > 0 && history[first - 1]!.ver > after) first -= 1;
    return history.slice(first);
  }

  /** Waits for the next change of a table, for up to a time in ms. */
  wait(table: string, duration: number): Promise<void> {
    const waiters = this.#waiters.get(table) ?? new Set();
    this.#waiters.set(table, waiters);
    return new Promise((resolve) => {
      const wake = () => {
        clearTimeout(timer);
        waiters.delete(wake);
        resolve();
      };
      const timer = setTimeout(wake, duration);
      waiters.add(wake);
    });
  }

  /** Drops the history. */
  forget(): void {
    this.#history.clear();
    this.#forgotten = this.#version;
  }

  /** Copies the present state. */
  copy(): Copy {
    return {
      rows: new Map(this.#rows),
      history: new Map(
        [...this.#history].map(([table, changes]) => [table, [...changes]]),
      ),
      forgotten: this.#forgotten,
      version: this.#version,
    };
  }

  /** The changes that lead from a copy to the present rows of a table. */
  differenceFrom(copy: Copy, table: string): Transaction {
    const puts = this.read(table, "")
      .filter((row) => copy.rows.get(keyOf(row))?.value !== row.value)
      .map(({ key, value }) => ({ table, key, value: value! }));
    const remove = [...copy.rows.values()]
      .filter((row) => row.table === table && !this.#rows.has(keyOf(row)))
      .map(({ key }) => ({ table, key }));
    return { puts, remove };
  }

  /** Comes back from a copy; the versions since are given out again. */
  restore(copy: Copy): void {
    this.#rows = new Map(copy.rows);
    this.#history = new Map(
      [...copy.history].map(([table, changes]) => [table, [...changes]]),
    );
    this.#forgotten = copy.forgotten;
    this.#version = copy.version;
    this.era += 1;
    for (const waiters of this.#waiters.values()) {
      for (const wake of [...waiters]) wake();
    }
  }

  #note(row: WireRow): void {
    if (row.deleted) this.#rows.delete(keyOf(row));
    else this.#rows.set(keyOf(row), row);
    const history = this.#history.get(row.table) ?? [];
    this.#history.set(row.table, history);
    history.push(row);
    for (const wake of [...this.#waiters.get(row.table) ?? []]) wake();
  }
}

function keyOf({ table, part, key }: Place): string {
  return `${table}\0${part ?? ""}\0${key}`;
}
