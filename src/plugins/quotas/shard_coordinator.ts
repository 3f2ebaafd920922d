/**
 * Decides for one shard how the tokens of the parts that are delegated to this
 * host are given to hosts. It knows no network: it is given requests and returns
 * answers. Any number of hosts may coordinate a shard at the same time, since
 * each part is delegated to one of them only.
 *
 * @module
 */
import { DelegatedParts } from "./delegated_parts.ts";
import type { LimitedAccount } from "./limited_accounts.ts";
import {
  type Answer,
  type Ask,
  type Grant,
  RELEASED,
  UNCHANGED,
  type Want,
} from "./messages.ts";
import type { Handover } from "./part.ts";
import { DELEGATION_MS, RETRY_REQUEST_MS, SETTLING_MS } from "./timing.ts";
import { accrue } from "./token_bucket.ts";
import { TokenPool } from "./token_pool.ts";

/** Time after its first request within which a coordinator expects the other hosts' parts, in ms: hosts that lost another coordinator come after 1,350 ms at most. */
const START_SETTLING_MS = 2_000;

/** Fraction of the parts of live hosts from which on no more parts are expected. */
const COMPLETE_FRACTION = 0.97;

/** Time in ms after its last request for which a host's sequence number is kept; a message that comes twice comes within seconds. */
const BORROWER_KEPT_MS = 60_000;

/** Time in ms without work after which a host no longer counts as one that has work. */
const WORK_MS = 3_000;

/** Fraction of the rate of the hosts with work up to which an account needs no others' parts. */
const OWN_RATE_FRACTION = 0.5;

/** Tokens that the parts of the hosts with work must be able to hold for an account, or others' parts are needed. */
const OWN_CAPACITY_MIN = 2;

/** Time in ms after which a host may ask again for an account that is unknown here; versions of the configuration spread within a second. */
const UNKNOWN_PAUSE_MS = 200;

/** Time in ms that stands for a full part; the highest burst at the lowest rate takes longer, and is given back in part. */
const FULL_MS = 3_600_000;

const NO_GRANT = { granted: 0, extended: false };

/** What a coordinator asks about the other hosts. */
export interface Surroundings {
  /** Hosts that an account's reserved tokens belong to. */
  reserved(account: string): ReadonlySet<string>;
  /** Sum of the shares of all live hosts. */
  liveShare(): number;
  /** Asks idle hosts for their parts, since an account is short of tokens; returns whether parts are to be expected. */
  requestParts(): boolean;
}

/** A run of a host's process that has sent requests. */
interface Borrower {
  readonly sequence: number;
  readonly askedAt: number;
}

/** Coordinates one shard. Its times are those of this host's clock. */
export class ShardCoordinator {
  /** Identifies the run of this process in answers. */
  readonly #life: string;
  readonly #surroundings: Surroundings;
  readonly #parts: DelegatedParts;
  readonly #borrowers = new Map<string, Borrower>();
  /** When each host last wanted tokens. */
  readonly #workedAt = new Map<string, number>();
  /** By account id. */
  readonly #pools = new Map<string, TokenPool>();
  #settlingUntil: number;
  #askedAt: number;
  /** Host that coordinates the shard from now on, as far as hosts reach it. */
  successor: string | undefined;

  constructor(
    life: string,
    accounts: readonly LimitedAccount[],
    surroundings: Surroundings,
    now: number,
  ) {
    this.#life = life;
    this.#surroundings = surroundings;
    this.#parts = new DelegatedParts((account) =>
      surroundings.reserved(account)
    );
    this.#settlingUntil = now + START_SETTLING_MS;
    this.#askedAt = now;
    this.setAccounts(accounts, now);
  }

  /** Names of the hosts whose parts are delegated. */
  members(now: number): ReadonlySet<string> {
    this.#expire(now);
    return new Set(this.#parts.hosts);
  }

  /** Clock ms of the last request. */
  get askedAt(): number {
    return this.#askedAt;
  }

  /** Replaces the accounts and their limits; tokens above a lowered limit are dropped. */
  setAccounts(accounts: readonly LimitedAccount[], now: number): void {
    this.#expire(now);
    this.#settleAll(now);
    const ids = new Set(accounts.map(({ id }) => id));
    for (const id of this.#pools.keys()) {
      if (!ids.has(id)) this.#pools.delete(id);
    }
    for (const account of accounts) {
      const pool = this.#pools.get(account.id);
      if (pool) pool.account = account;
      else this.#pools.set(account.id, new TokenPool(account, now));
    }
  }

  /** Answers a request of a host; undefined if it has sent a later one. */
  handle(host: string, ask: Ask, now: number): Answer | undefined {
    this.#expire(now);
    this.#askedAt = now;
    const { successor } = this;
    const borrower = `${host}/${ask.life}`;
    const known = this.#borrowers.get(borrower);
    // A request that comes twice or late reports tokens as used that a later one was given.
    if (known && ask.sequence <= known.sequence) return undefined;
    this.#borrowers.set(borrower, { sequence: ask.sequence, askedAt: now });
    if (ask.parts === RELEASED) {
      const handover = this.#release(host, now);
      return { life: this.#life, successor, grants: [], handover };
    }
    if (ask.parts !== UNCHANGED) this.#receivePart(host, ask, now);
    if (ask.wants.length > 0) this.#workedAt.set(host, now);
    const grants = ask.wants.flatMap((want) => {
      const grant = this.#grant(borrower, want, now);
      return grant ? [grant] : [];
    });
    return { life: this.#life, successor, grants };
  }

  /** Whether accounts with work need the parts of hosts that have none. */
  needsIdleHosts(now: number): boolean {
    this.#expire(now);
    const share = this.#workingShare(now);
    return [...this.#pools.values()].some((pool) => {
      const { quota } = pool.account;
      if (!quota || pool.lentAt < now - WORK_MS) return false;
      return pool.use(now) > quota.rate * share * OWN_RATE_FRACTION ||
        quota.capacity * share < OWN_CAPACITY_MIN;
    });
  }

  /** Names of the hosts that have wanted tokens lately. */
  working(now: number): ReadonlySet<string> {
    return new Set(
      [...this.#workedAt]
        .filter(([, workedAt]) => workedAt > now - WORK_MS)
        .map(([host]) => host),
    );
  }

  /** Forgets hosts that have not asked for long. */
  prune(now: number): void {
    for (const [borrower, { askedAt }] of this.#borrowers) {
      if (askedAt < now - BORROWER_KEPT_MS) this.#borrowers.delete(borrower);
    }
    for (const [host, workedAt] of this.#workedAt) {
      if (workedAt < now - WORK_MS) this.#workedAt.delete(host);
    }
  }

  #receivePart(host: string, ask: Ask, now: number): void {
    // A stamp of an earlier run of this process says nothing about this one's clock.
    if (ask.coordinatorLife !== this.#life || ask.sentAt > now) return;
    const expiresAt = ask.sentAt + DELEGATION_MS;
    if (expiresAt <= now) return;
    const known = this.#parts.get(host);
    const share = 1 / Math.max(1, ask.parts);
    if (known?.share !== share) this.#settleAll(now);
    this.#parts.set(host, { share, expiresAt });
    if (known) return;
    this.#settlingUntil = Math.max(this.#settlingUntil, now + SETTLING_MS);
    if (ask.handover) this.#credit(host, share, ask.handover);
  }

  /** Gives a host its part back, with its fraction of the tokens that are not lent. */
  #release(host: string, now: number): Handover {
    const part = this.#parts.get(host);
    if (!part) return { elapsed: 0, levels: [] };
    this.#settleAll(now);
    const fraction = part.share / this.#parts.share;
    const levels: [string, number][] = [];
    for (const [id, pool] of this.#pools) {
      const capacity = this.#parts.capacity(pool.account);
      const level = pool.split(fraction, capacity);
      if (level !== undefined) levels.push([id, level]);
    }
    this.#parts.set(host, undefined);
    return { elapsed: FULL_MS, levels };
  }

  /** Adds the tokens that a part has collected at its host. */
  #credit(host: string, share: number, handover: Handover): void {
    const levels = new Map(handover.levels);
    for (const pool of this.#pools.values()) {
      const { account } = pool;
      const collected = levels.get(account.id) ??
        accrue((account.quota?.rate ?? 0) * share, handover.elapsed);
      const amount = Math.min(collected, this.#parts.capacityAt(account, host));
      if (amount > 0) pool.credit(amount, this.#parts.capacity(account));
    }
  }

  #grant(borrower: string, want: Want, now: number): Grant | undefined {
    const { id } = want;
    const pool = this.#pools.get(id);
    if (!pool) {
      // This host does not know the account yet, or no longer.
      return { ...NO_GRANT, id, pause: UNKNOWN_PAUSE_MS, expected: true };
    }
    this.#settle(pool, now);
    const rate = (pool.account.quota?.rate ?? 0) * this.#parts.share;
    const lendable = this.#parts.lendable(pool.account, now);
    const isExtended = pool.report(borrower, want.unused, lendable, now);
    const granted = pool.lend(borrower, want, { rate, lendable }, now);
    const extended = isExtended || granted > 0;
    const isServed = granted >= want.waiting;
    if (isServed && extended && granted === 0) return undefined;
    if (isServed) return { id, granted, extended, pause: 0, expected: false };
    const expected = this.#expectsParts(now);
    const pause = expected ? RETRY_REQUEST_MS : pool.promise(now, rate);
    return { id, granted, extended, pause, expected };
  }

  /** Whether more parts are under way, so that an operation without a token should wait. */
  #expectsParts(now: number): boolean {
    const { liveShare, requestParts } = this.#surroundings;
    if (this.#parts.share >= liveShare() * COMPLETE_FRACTION) return false;
    if (requestParts()) {
      this.#settlingUntil = Math.max(this.#settlingUntil, now + SETTLING_MS);
    }
    return now < this.#settlingUntil;
  }

  /** Ends the delegations that have expired, each at its time. */
  #expire(now: number): void {
    for (;;) {
      const host = this.#parts.findExpired(now);
      if (host === undefined) return;
      this.#settleAll(this.#parts.get(host)!.expiresAt);
      this.#parts.set(host, undefined);
    }
  }

  /** Has to precede each change of the shares or the limits. */
  #settleAll(now: number): void {
    for (const pool of this.#pools.values()) this.#settle(pool, now);
  }

  #settle(pool: TokenPool, now: number): void {
    const { account } = pool;
    const rate = (account.quota?.rate ?? 0) * this.#parts.share;
    pool.settle(now, rate, this.#parts.capacity(account));
  }

  #workingShare(now: number): number {
    let sum = 0;
    for (const host of this.#parts.hosts) {
      const workedAt = this.#workedAt.get(host) ?? -Infinity;
      if (workedAt > now - WORK_MS) sum += this.#parts.get(host)!.share;
    }
    return sum;
  }
}
