/**
 * Directory of the instances of all groups, as listed by the platform.
 *
 * @module
 */
import { clock } from "../../kernel/clock.ts";

/** An instance, as described by its own entry in the list. */
export interface ListedInstance {
  readonly id: string;
  readonly group: string;
  readonly host: string;
  readonly port: number;
  readonly zone: string;
  /** Whether it is about to leave and accepts no new work. */
  readonly leaving: boolean;
  /** Whether it reports itself as the primary. */
  readonly claimsPrimary: boolean;
  /** Unix ms of its start; distinguishes restarts under the same id. */
  readonly startedAt: number;
  /** Statements that it works on at once, as it reports; a hint that may be wrong. */
  readonly capacity?: number;
}

/**
 * How long an instance is still used after its entry has lapsed, in ms. Entries
 * that lapse while the store is unavailable reappear within this time after its
 * recovery (about two seconds according to the platform's documentation).
 */
export const LAPSE_GRACE_MS = 2_500;

interface Entry {
  readonly instance: ListedInstance;
  /** Monotonic ms at which the entry disappeared from the list. */
  lapsedAt?: number;
}

/** Receives each instance that is added or updated. */
export type DirectoryListener = (instance: ListedInstance) => void;

/** The last known instances; a lapsed entry stays usable for a grace period. */
export class InstanceDirectory {
  readonly #entries = new Map<string, Entry>();
  readonly #listeners = new Set<DirectoryListener>();
  #loaded = false;

  /** Whether the list has been read at least once. */
  get loaded(): boolean {
    return this.#loaded;
  }

  /** Adds or updates one entry. */
  put(instance: ListedInstance): void {
    this.#entries.set(instance.id, { instance });
    for (const listener of this.#listeners) listener(instance);
  }

  /** Marks the entry of an instance as lapsed; its grace period starts. */
  remove(id: string, now = clock.now()): void {
    const entry = this.#entries.get(id);
    if (entry && entry.lapsedAt === undefined) entry.lapsedAt = now;
  }

  /** Applies a complete list; entries that are not in it lapse. */
  replaceAll(instances: readonly ListedInstance[]): void {
    const listed = new Set(instances.map(({ id }) => id));
    for (const instance of instances) this.put(instance);
    for (const id of this.#entries.keys()) {
      if (!listed.has(id)) this.remove(id);
    }
    this.#loaded = true;
  }

  /** Restarts the grace period of all lapsed entries, after the store that lists them was unavailable. */
  restartGracePeriods(now = clock.now()): void {
    for (const entry of this.#entries.values()) {
      if (entry.lapsedAt !== undefined) entry.lapsedAt = now;
    }
  }

  /** Removes entries whose grace period has expired and returns their instances. */
  sweep(now = clock.now()): readonly ListedInstance[] {
    const expired: ListedInstance[] = [];
    for (const [id, { instance, lapsedAt }] of this.#entries) {
      if (lapsedAt === undefined) continue;
      const grace = instance.leaving ? 0 : LAPSE_GRACE_MS;
      if (now - lapsedAt < grace) continue;
      this.#entries.delete(id);
      expired.push(instance);
    }
    return expired;
  }

  get(id: string): ListedInstance | undefined {
    return this.#entries.get(id)?.instance;
  }

  /** Whether the instance is in the current list, that is, its entry has not lapsed. */
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

  /** Calls the listener with each added or updated entry; returns a function that removes it. */
  subscribe(listener: DirectoryListener): () => void {
    this.#listeners.add(listener);
    return () => this.#listeners.delete(listener);
  }
}
