/**
 * What metrics and the status show of a scheduled instance.
 *
 * @module
 */

/** Work of one account at an instance, as this proxy sees it. */
export interface AccountUse {
  /** Name of the account; empty for work without one, `OTHER_ACCOUNTS` for the sum of those that are not listed. */
  readonly account: string;
  /** Requests that wait. */
  readonly waiting: number;
  /** Open connections. */
  readonly open: number;
  /** Statements answered since the start. */
  readonly served: number;
  /** Connections opened since the start. */
  readonly opened: number;
  /** Idle connections that were closed since the start to make room for another account. */
  readonly closed: number;
}

/** Scheduling of one instance. */
export interface ScheduleUse {
  /** Statements that may be in flight. */
  readonly pace: number;
  /** Why the pace last changed at once, and how long ago in ms. */
  readonly paceReason: string;
  readonly paceAge: number;
  readonly inFlight: number;
  /** The accounts with most statements served, and those with most waiting; their number is bounded. */
  readonly accounts: readonly AccountUse[];
}

/** Stands for all accounts that are not listed by name; not a valid name of an account. */
export const OTHER_ACCOUNTS = "(other)";

/** Numbers of accounts that are listed by name, those with most requests waiting and those with most statements served. With six groups of three instances that makes 360 lines for a metric. */
const LISTED_WAITING = 5;
const LISTED_SERVED = 15;

/** Number of accounts whose counts are kept; further ones are counted together. */
const COUNTED_ACCOUNTS = 1_000;

const NO_USE: AccountUse = {
  account: OTHER_ACCOUNTS,
  waiting: 0,
  open: 0,
  served: 0,
  opened: 0,
  closed: 0,
};

interface Counts {
  served: number;
  opened: number;
  closed: number;
}

/** Counts by account since the start. */
export class AccountCounts {
  readonly #counts = new Map<string, Counts>();

  /** Adds one to a count of an account. */
  add(account: string, count: keyof Counts): void {
    this.#of(account)[count] += 1;
  }

  /** The accounts with most statements served or waiting, and the sum of the others. */
  list(
    waiting: ReadonlyMap<string, number>,
    open: ReadonlyMap<string, number>,
  ): readonly AccountUse[] {
    const names = new Set([
      ...this.#counts.keys(),
      ...waiting.keys(),
      ...open.keys(),
    ]);
    const uses = [...names].map((account): AccountUse => ({
      account,
      waiting: waiting.get(account) ?? 0,
      open: open.get(account) ?? 0,
      ...this.#counts.get(account) ?? { served: 0, opened: 0, closed: 0 },
    })).sort((left, right) => right.waiting - left.waiting);
    const listed = [
      ...uses.splice(0, LISTED_WAITING),
      ...uses.sort((left, right) => right.served - left.served)
        .splice(0, LISTED_SERVED),
    ].sort((left, right) => right.served - left.served);
    return uses.length === 0 ? listed : [...listed, uses.reduce(sum, NO_USE)];
  }

  #of(account: string): Counts {
    const known = this.#counts.get(account);
    if (known) return known;
    const isFull = this.#counts.size >= COUNTED_ACCOUNTS;
    if (isFull && account !== OTHER_ACCOUNTS) return this.#of(OTHER_ACCOUNTS);
    const counts = { served: 0, opened: 0, closed: 0 };
    this.#counts.set(account, counts);
    return counts;
  }
}

function sum(one: AccountUse, other: AccountUse): AccountUse {
  return {
    ...NO_USE,
    waiting: one.waiting + other.waiting,
    open: one.open + other.open,
    served: one.served + other.served,
    opened: one.opened + other.opened,
    closed: one.closed + other.closed,
  };
}
