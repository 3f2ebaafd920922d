/**
 * The instances of all groups, as the platform lists them.
 *
 * @module
 */

/** One instance as it describes itself. */
export interface ListedInstance {
  readonly id: string;
  readonly group: string;
  readonly host: string;
  readonly port: number;
  readonly zone: string;
  /** It is about to leave and wants no new work. */
  readonly leaving: boolean;
  /** It believes that it is the primary. */
  readonly claimsPrimary: boolean;
  /** Unix ms of its start; tells two lives under the same id apart. */
  readonly startedAt: number;
}

/**
 * How long an instance whose entry lapsed is still used: entries that lapse
 * while the store is away are back this soon after its return (the platform's
 * page says about two seconds).
 */
export const LAPSE_GRACE_MS = 2_500;

interface Entry {
  readonly instance: ListedInstance;
  /** Monotonic ms since which the entry is gone from the list. */
  lapsedAt?: number;
}

/** What changed in the directory. */
export type DirectoryListener = (instance: ListedInstance) => void;

/** Keeps the last known instances; an entry that is gone stays usable for a short while. */
export class InstanceDirectory {
  readonly #entries = new Map<string, Entry>();
  readonly #listeners = new Set<DirectoryListener>();
  #loaded = false;

  /** Whether the list was read at least once. */
  get loaded(): boolean {
    return this.#loaded;
  }

  /** Takes one entry. */
  put(instance: ListedInstance): void {
    this.#entries.set(instance.id, { instance });
    for (const listener of this.#listeners) listener(instance);
  }

  /** Notes that the entry of an instance is gone. */
  remove(id: string, now = performance.now()): void {
    const entry = this.#entries.get(id);
    if (entry && entry.lapsedAt === undefined) entry.lapsedAt = now;
  }

  /** Takes a whole list: entries that it lacks are gone. */
  replaceAll(instances: readonly ListedInstance[]): void {
    const present = new Set(instances.map(({ id }) => id));
    for (const instance of instances) this.put(instance);
    for (const id of this.#entries.keys()) {
      if (!present.has(id)) this.remove(id);
    }
    this.#loaded = true;
  }

  /** Gives lapsed entries their grace anew: the store that lists them was away until now. */
  restartGracePeriods(now = performance.now()): void {
    for (const entry of this.#entries.values()) {
      if (entry.lapsedAt !== undefined) entry.lapsedAt = now;
    }
  }

  /** Forgets entries whose grace is over; gives their instances. */
  sweep(now = performance.now()): readonly ListedInstance[] {
    const gone: ListedInstance[] = [];
    for (const [id, { instance, lapsedAt }] of this.#entries) {
      if (lapsedAt === undefined) continue;
      const grace = instance.leaving ? 0 : LAPSE_GRACE_MS;
      if (now - lapsedAt < grace) continue;
      this.#entries.delete(id);
      gone.push(instance);
    }
    return gone;
  }

  get(id: string): ListedInstance | undefined {
    return this.#entries.get(id)?.instance;
  }

  /** Whether the entry stands in the list now. */
  isListed(id: string): boolean {
    const entry = this.#entries.get(id);
    return entry !== undefined && entry.lapsedAt === undefined;
  }

  /** The instances of a group. */
  group(name: string): readonly ListedInstance[] {
    return this.all().filter((instance) => instance.group === name);
  }

  all(): readonly ListedInstance[] {
    return [...this.#entries.values()].map(({ instance }) => instance);
  }

  /** Calls the listener with each entry that is put; gives a function that ends it. */
  subscribe(listener: DirectoryListener): () => void {
    this.#listeners.add(listener);
    return () => this.#listeners.delete(listener);
  }
}
