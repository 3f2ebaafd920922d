/**
 * The waiters of one rank, by start-time fair queueing (Goyal, Vin and Cheng,
 * 1996): the account with the smallest tag goes first, and its tag grows with the
 * slot time that it uses. An account that had nothing to do starts at the tag of
 * the last account that was served, so that it neither saves up time nor owes any.
 *
 * @module
 */

/** What an entry of a level says about itself. */
export interface LevelEntry {
  readonly account: string;
  /** Monotonic ms of its arrival. */
  readonly since: number;
}

interface Flow<Entry> {
  /** In order of arrival. */
  readonly waiting: Entry[];
  /** Slot time in ms at which its next statement starts. */
  tag: number;
}

/** Waiters of one rank by account. */
export class FairLevel<Entry extends LevelEntry> {
  readonly #flows = new Map<string, Flow<Entry>>();
  /** The flows with waiters. */
  readonly #active = new Set<Flow<Entry>>();
  /** Largest tag of an account that was served. */
  #virtualTime = 0;
  #size = 0;

  get size(): number {
    return this.#size;
  }

  /** Number of waiters of an account. */
  countOf(account: string): number {
    return this.#flows.get(account)?.waiting.length ?? 0;
  }

  /** Whether there is neither a waiter nor anything to remember. */
  get isEmpty(): boolean {
    return this.#flows.size === 0;
  }

  /** The first waiter of an account. */
  first(account: string): Entry | undefined {
    return this.#flows.get(account)?.waiting[0];
  }

  /** The last waiter of an account. */
  last(account: string): Entry | undefined {
    return this.#flows.get(account)?.waiting.at(-1);
  }

  /** Numbers of waiters of the accounts that have any. */
  *counts(): Iterable<readonly [account: string, count: number]> {
    for (const { waiting } of this.#active) {
      yield [waiting[0]!.account, waiting.length];
    }
  }

  /** All waiters, in no order. */
  *entries(): Iterable<Entry> {
    for (const { waiting } of this.#active) yield* waiting;
  }

  /** Adds a waiter behind the others of its account. */
  add(entry: Entry): void {
    const flow = this.#flow(entry.account);
    if (flow.waiting.length === 0) {
      flow.tag = Math.max(flow.tag, this.#virtualTime);
    }
    flow.waiting.push(entry);
    this.#active.add(flow);
    this.#size += 1;
  }

  /** Removes a waiter; returns false if it is not there. */
  remove(entry: Entry): boolean {
    const flow = this.#flows.get(entry.account);
    const index = flow?.waiting.indexOf(entry) ?? -1;
    if (!flow || index < 0) return false;
    flow.waiting.splice(index, 1);
    if (flow.waiting.length === 0) this.#active.delete(flow);
    this.#size -= 1;
    return true;
  }

  /** Removes a waiter that is served, and charges its account with slot time in ms. */
  serve(entry: Entry, slotTime: number): void {
    if (!this.remove(entry)) return;
    const flow = this.#flow(entry.account);
    this.#virtualTime = Math.max(this.#virtualTime, flow.tag);
    flow.tag += slotTime;
  }

  /** Charges an account with slot time in ms; a negative time corrects an earlier charge. */
  charge(account: string, slotTime: number): void {
    this.#flow(account).tag += slotTime;
  }

  /** The first waiter of each account in order of service. */
  heads(): readonly Entry[] {
    return [...this.#active]
      .sort((left, right) =>
        left.tag - right.tag ||
        left.waiting[0]!.since - right.waiting[0]!.since
      )
      .map(({ waiting }) => waiting[0]!);
  }

  /** Slot time in ms of the waiters that would be served before a new one of the account, at `slotTime` each; undefined stands for an account that has used little. */
  timeAhead(account: string | undefined, slotTime: number): number {
    const own = account === undefined ? undefined : this.#flows.get(account);
    const count = own?.waiting.length ?? 0;
    const start = count > 0
      ? own!.tag + count * slotTime
      : Math.max(own?.tag ?? 0, this.#virtualTime);
    let ahead = count;
    for (const { waiting, tag } of this.#active) {
      if (waiting === own?.waiting || tag > start) continue;
      const rounds = Math.floor((start - tag) / slotTime) + 1;
      ahead += Math.min(waiting.length, rounds);
    }
    return ahead * slotTime;
  }

  /** Forgets what accounts without waiters have used that no longer matters to their order. */
  prune(): void {
    if (this.#size === 0) {
      // The busy period is over: nobody had to wait for what anybody used.
      for (const { tag } of this.#flows.values()) {
        this.#virtualTime = Math.max(this.#virtualTime, tag);
      }
    }
    for (const [account, { waiting, tag }] of this.#flows) {
      const isObsolete = waiting.length === 0 && tag <= this.#virtualTime;
      if (isObsolete) this.#flows.delete(account);
    }
  }

  #flow(account: string): Flow<Entry> {
    const known = this.#flows.get(account);
    if (known) return known;
    const flow: Flow<Entry> = { waiting: [], tag: this.#virtualTime };
    this.#flows.set(account, flow);
    return flow;
  }
}
