/**
 * The idle connections of one instance by account, and which of them is least
 * worth keeping.
 *
 * @module
 */
import type { ScheduledLink } from "./scheduled_link.ts";

/** What the choice of a connection to close depends on. */
export interface KeepingRule {
  /** Number of connections that an account may have while others have as many. */
  readonly fairPart: number;
  /** Number of open connections of an account. */
  readonly openOf: (account: string) => number;
  /** Number of waiters of an account. */
  readonly waitingOf: (account: string) => number;
  /** Place of an account with waiters in the order of service, 0 first. */
  readonly placeOf: (account: string) => number;
}

/** Idle connections; of an account the most recently used one is reused first. */
export class IdleConnections {
  /** In order of last use. */
  readonly #byAccount = new Map<string, ScheduledLink[]>();
  #size = 0;

  get size(): number {
    return this.#size;
  }

  /** Number of idle connections of an account. */
  countOf(account: string): number {
    return this.#byAccount.get(account)?.length ?? 0;
  }

  /** Adds a connection and watches it for unexpected data or its end. */
  push(link: ScheduledLink): void {
    const links = this.#byAccount.get(link.account) ?? [];
    links.push(link);
    this.#byAccount.set(link.account, links);
    this.#size += 1;
    link.watchIdle();
  }

  /** Removes and returns the most recently used connection of an account; destroys unusable ones on the way. */
  pop(account: string): ScheduledLink | undefined {
    for (;;) {
      const link = this.#byAccount.get(account)?.at(-1);
      if (!link) return undefined;
      this.remove(link);
      if (link.isUsable) return link;
      link.destroy();
    }
  }

  /** Removes and returns the connection of any account that was used least recently; destroys unusable ones on the way. */
  popAny(): ScheduledLink | undefined {
    for (;;) {
      const link = this.leastRecent();
      if (!link) return undefined;
      this.remove(link);
      if (link.isUsable) return link;
      link.destroy();
    }
  }

  /** Removes a connection; returns false if it was not idle. */
  remove(link: ScheduledLink): boolean {
    const links = this.#byAccount.get(link.account) ?? [];
    const index = links.indexOf(link);
    if (index < 0) return false;
    links.splice(index, 1);
    if (links.length === 0) this.#byAccount.delete(link.account);
    this.#size -= 1;
    return true;
  }

  /** The connection that was used least recently. */
  leastRecent(): ScheduledLink | undefined {
    return this.#leastRecent(() => Infinity);
  }

  /**
   * The connection that is least worth keeping: the least recently used one that none of its
   * account's waiters needs, first of the accounts with more than their part; else one of the account
   * that is served last.
   */
  leastWorthKeeping(rule: KeepingRule): ScheduledLink | undefined {
    const unneeded = (account: string) =>
      this.countOf(account) - rule.waitingOf(account);
    const link =
      this.#leastRecent((account) =>
        rule.openOf(account) > rule.fairPart ? unneeded(account) : 0
      ) ?? this.#leastRecent(unneeded);
    if (link) return link;
    let last: ScheduledLink | undefined;
    let lastPlace = -1;
    for (const [account, links] of this.#byAccount) {
      const place = rule.placeOf(account);
      // One that was opened for a waiter serves it first.
      const used = links.find(({ useCount }) => useCount > 0);
      if (!used || place <= lastPlace) continue;
      lastPlace = place;
      last = used;
    }
    return last;
  }

  /** The least recently used one of the first `countOf` connections of each account. */
  #leastRecent(
    countOf: (account: string) => number,
  ): ScheduledLink | undefined {
    let oldest: ScheduledLink | undefined;
    for (const [account, [first]] of this.#byAccount) {
      if (!first || countOf(account) <= 0) continue;
      const isOlder = !oldest || first.accountUsedAt < oldest.accountUsedAt;
      if (isOlder) oldest = first;
    }
    return oldest;
  }
}
