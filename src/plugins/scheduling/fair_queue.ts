/**
 * The bounded queue of the work that waits for one instance: by rank, within a
 * rank by the slot time that accounts use, and in order of arrival within an
 * account.
 *
 * @module
 */
import { clock } from "../../kernel/clock.ts";
import { FairLevel, type LevelEntry } from "./fair_level.ts";

/** Time after which a waiter may go before the ranks above its own, in ms; given by the work plan. */
const STARVED_AFTER_MS = 1_000;

/** One of so many grants goes to a waiter that has waited that long; given by the work plan. */
const STARVED_GRANT_INTERVAL = 8;

/** What waits, and how long it may. */
export interface QueueRequest {
  readonly account: string;
  /** 0 is served first. */
  readonly rank: number;
  /** Monotonic ms. */
  readonly deadline: number;
}

/** A request in the queue. */
export interface Waiter<T> extends QueueRequest, LevelEntry {
  /** Monotonic ms since which it is the next for which a connection is opened, while others that have one go first; set by the owner. */
  passedOverAt?: number;
  /** Ends the wait of a waiter that has left the queue. */
  settle(outcome: T): void;
  /** Creates the outcome at the deadline. */
  expired(): T;
}

/** Queue of waiters by rank and account. */
export class FairQueue<T> {
  readonly #length: number;
  readonly #levels = new Map<number, FairLevel<Waiter<T>>>();
  #grantsSinceStarved = 0;

  /** `length` is the largest number of waiters. */
  constructor(length: number) {
    this.#length = length;
  }

  get size(): number {
    let size = 0;
    for (const level of this.#levels.values()) size += level.size;
    return size;
  }

  /** Whether work of a rank waits. */
  hasRank(rank: number): boolean {
    return (this.#levels.get(rank)?.size ?? 0) > 0;
  }

  /** Number of waiters of an account. */
  countOf(account: string): number {
    let count = 0;
    for (const level of this.#levels.values()) count += level.countOf(account);
    return count;
  }

  /** Numbers of waiters of the accounts that have any. */
  countByAccount(): ReadonlyMap<string, number> {
    const counts = new Map<string, number>();
    for (const level of this.#levels.values()) {
      for (const [account, count] of level.counts()) {
        counts.set(account, (counts.get(account) ?? 0) + count);
      }
    }
    return counts;
  }

  /** Waits until settled; at the deadline resolves with the result of `expired`. */
  wait(
    { account, rank, deadline }: QueueRequest,
    expired: () => T,
  ): Promise<T> {
    const since = clock.now();
    return new Promise((resolve) => {
      const settle = (outcome: T) => {
        clearTimeout(timer);
        resolve(outcome);
      };
      const waiter = { account, rank, deadline, since, settle, expired };
      const timer = setTimeout(() => this.#expire(waiter), deadline - since);
      this.#level(rank).add(waiter);
    });
  }

  /** Removes a waiter without serving it; returns false if it has left. */
  remove(waiter: Waiter<T>): boolean {
    return this.#levels.get(waiter.rank)?.remove(waiter) ?? false;
  }

  /** The first waiter of each account and rank, in the order in which they are to be served. */
  order(now = clock.now()): readonly Waiter<T>[] {
    const heads = [...this.#levels]
      .sort(([left], [right]) => left - right)
      .flatMap(([, level]) => level.heads());
    // Timers are late after a pause of the process or a suspension of the host.
    const overdue = heads.filter(({ deadline }) => deadline <= now);
    if (overdue.length > 0) {
      for (const waiter of overdue) this.#expire(waiter);
      return this.order(now);
    }
    const starved = this.#dueStarved(heads, now);
    if (!starved) return heads;
    return [starved, ...heads.filter((head) => head !== starved)];
  }

  /** Removes a waiter that is served, and charges its account with the slot time in ms that it is expected to use. */
  serve(waiter: Waiter<T>, slotTime: number, now = clock.now()): void {
    const wasStarved = isStarved(waiter, this.#bestRank(), now);
    this.#grantsSinceStarved = wasStarved ? 0 : this.#grantsSinceStarved + 1;
    this.#level(waiter.rank).serve(waiter, slotTime);
  }

  /** Charges an account with slot time in ms; a negative time corrects an earlier charge. */
  charge(account: string, rank: number, slotTime: number): void {
    this.#level(rank).charge(account, slotTime);
  }

  /** Slot time in ms of the waiters that would be served before a new one, of an account that has used little if it is undefined; `slotTimeOf` returns that of one statement of a rank. */
  timeAhead(
    account: string | undefined,
    rank: number,
    slotTimeOf: (rank: number) => number,
  ): number {
    let time = 0;
    for (const [other, level] of this.#levels) {
      if (other > rank) continue;
      const slotTime = slotTimeOf(other);
      time += other < rank
        ? level.size * slotTime
        : level.timeAhead(account, slotTime);
    }
    return time;
  }

  /** Time in ms for which the first waiter of an account and rank has waited; 0 if there is none. */
  waitOf(account: string, rank: number, now = clock.now()): number {
    const first = this.#levels.get(rank)?.first(account);
    return first ? now - first.since : 0;
  }

  /**
   * Makes room for a new waiter if the queue is full: removes the last waiter of the account that has
   * most waiting in the highest rank number. Returns it, or "refuse" if that would be the new one.
   */
  makeRoom(account: string, rank: number): Waiter<T> | "refuse" | undefined {
    if (this.size < this.#length) return undefined;
    const lowest = Math.max(rank, ...this.#waitingRanks());
    const level = this.#levels.get(lowest);
    let most = lowest === rank ? account : undefined;
    let count = most === undefined ? 0 : (level?.countOf(account) ?? 0) + 1;
    for (const [other, waiting] of level?.counts() ?? []) {
      if (waiting <= count) continue;
      most = other;
      count = waiting;
    }
    if (lowest === rank && most === account) return "refuse";
    const last = level!.last(most!)!;
    this.remove(last);
    return last;
  }

  /** Removes and returns all waiters, or those of one account. */
  clear(account?: string): readonly Waiter<T>[] {
    const waiters = this.#waiters().filter((waiter) =>
      account === undefined || waiter.account === account
    );
    for (const waiter of waiters) this.remove(waiter);
    return waiters;
  }

  /** Forgets what no longer matters to the order; to be called at intervals. */
  prune(): void {
    for (const [rank, level] of this.#levels) {
      level.prune();
      if (level.isEmpty) this.#levels.delete(rank);
    }
  }

  #expire(waiter: Waiter<T>): void {
    if (this.remove(waiter)) waiter.settle(waiter.expired());
  }

  #dueStarved(
    heads: readonly Waiter<T>[],
    now: number,
  ): Waiter<T> | undefined {
    if (this.#grantsSinceStarved < STARVED_GRANT_INTERVAL - 1) return undefined;
    const starved = heads.filter((head) =>
      isStarved(head, heads[0]!.rank, now)
    );
    const since = Math.min(...starved.map((waiter) => waiter.since));
    const rank = starved.find((waiter) => waiter.since === since)?.rank;
    return starved.find((waiter) => waiter.rank === rank);
  }

  #bestRank(): number {
    return Math.min(...this.#waitingRanks());
  }

  #waitingRanks(): readonly number[] {
    return [...this.#levels]
      .filter(([, level]) => level.size > 0)
      .map(([rank]) => rank);
  }

  /** All waiters, as they were at the call. */
  #waiters(): readonly Waiter<T>[] {
    return [...this.#levels.values()].flatMap((level) => [...level.entries()]);
  }

  #level(rank: number): FairLevel<Waiter<T>> {
    const known = this.#levels.get(rank);
    if (known) return known;
    const level = new FairLevel<Waiter<T>>();
    this.#levels.set(rank, level);
    return level;
  }
}

function isStarved(
  { rank, since }: Pick<Waiter<unknown>, "rank" | "since">,
  bestRank: number,
  now: number,
): boolean {
  return rank > bestRank && now - since >= STARVED_AFTER_MS;
}
