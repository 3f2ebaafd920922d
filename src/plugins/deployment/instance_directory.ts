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
  /** Number of times that it had reported since its start; undefined if it doesn't count them. */
  readonly reports?: number;
}

/**
 * How long an instance is still used after its entry has lapsed, in ms. Entries
 * that lapse while the store is unavailable reappear within this time after its
 * recovery (about two seconds according to the platform's documentation).
 */
export const LAPSE_GRACE_MS = 2_500;

/**
 * How long an entry may be missing after the list came back from an older copy,
 * in ms: two seconds until the instance has reported again, and the longest time
 * until this proxy reads that.
 */
const RETURN_AFTER_COPY_MS = 6_000;

/** How long an instance that has left is remembered, in ms; a list comes back from a copy that is seconds old. */
const FORMER_RETENTION_MS = 60_000;

/** Longest time until this proxy reads that an instance is leaving, in ms: a pause between two reads, and the interval of a relay. */
const LEAVING_NOTICE_MS = 2_700;

/** Time before an instance's last moment at which nothing more is sent to it, in ms; covers what is in transit. */
const LAST_SEND_MARGIN_MS = 300;

interface Entry {
  readonly instance: ListedInstance;
  /** Monotonic ms at which this run of the instance was first seen to be leaving. */
  readonly leavingSince?: number;
  /** Monotonic ms at which the entry disappeared from the list. */
  lapsedAt?: number;
}

/** Receives each instance that is added or updated. */
export type DirectoryListener = (instance: ListedInstance) => void;

/** The last known instances; a lapsed entry stays usable for a grace period. */
export class InstanceDirectory {
  readonly #entries = new Map<string, Entry>();
  /** Instances that have left, with the monotonic ms at which their entries were removed here. */
  readonly #former = new Map<
    string,
    { readonly instance: ListedInstance; readonly removedAt: number }
  >();
  /** Monotonic ms until which missing entries of instances that are not leaving may come back. */
  #returnsUntil = -Infinity;
  readonly #listeners = new Set<DirectoryListener>();
  #loaded = false;
  /** Time in ms for which an instance that is leaving accepts work. */
  drainTimeout = Infinity;

  /** Whether the list has been read at least once. */
  get loaded(): boolean {
    return this.#loaded;
  }

  /** Adds or updates one entry. */
  put(instance: ListedInstance, now = clock.now()): void {
    const { id, startedAt, leaving } = instance;
    const known = this.#entries.get(id);
    const isSameRun = known?.instance.startedAt === startedAt;
    const since = isSameRun ? known?.leavingSince : undefined;
    this.#entries.set(
      id,
      leaving ? { instance, leavingSince: since ?? now } : { instance },
    );
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

  /**
   * Applies a complete list that came back from an older copy. Entries that are
   * missing may come back, and one of before an instance's last known report
   * changes nothing; returns those.
   */
  replaceAllFromCopy(
    instances: readonly ListedInstance[],
    now = clock.now(),
  ): readonly ListedInstance[] {
    this.#returnsUntil = now + RETURN_AFTER_COPY_MS;
    const outdated = instances.filter((instance) => this.#isOutdated(instance));
    const current = instances.flatMap((instance) =>
      outdated.includes(instance) ? this.get(instance.id) ?? [] : [instance]
    );
    this.replaceAll(current);
    return outdated;
  }

  /** Whether a later report of the same run of the instance is known. */
  #isOutdated({ id, startedAt, reports }: ListedInstance): boolean {
    const known = this.get(id) ?? this.#former.get(id)?.instance;
    return known !== undefined && known.startedAt === startedAt &&
      reports !== undefined && known.reports !== undefined &&
      reports < known.reports;
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
    for (const [id, { removedAt }] of this.#former) {
      if (now - removedAt > FORMER_RETENTION_MS) this.#former.delete(id);
    }
    for (const [id, { instance, lapsedAt }] of this.#entries) {
      if (lapsedAt === undefined) continue;
      const until = instance.leaving
        ? lapsedAt
        : Math.max(lapsedAt + LAPSE_GRACE_MS, this.#returnsUntil);
      if (now < until) continue;
      this.#entries.delete(id);
      this.#former.set(id, { instance, removedAt: now });
      expired.push(instance);
    }
    return expired;
  }

  get(id: string): ListedInstance | undefined {
    return this.#entries.get(id)?.instance;
  }

  /** Whether the time for which an instance that is leaving accepts work may be over. */
  isDrained(id: string, now = clock.now()): boolean {
    const since = this.#entries.get(id)?.leavingSince;
    return since !== undefined &&
      now - since >
        this.drainTimeout - LEAVING_NOTICE_MS - LAST_SEND_MARGIN_MS;
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
