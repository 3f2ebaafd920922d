/**
 * One host's part of the limits of a shard's accounts: it either fills buckets on
 * this host or is delegated to one coordinator, never both.
 *
 * @module
 */
import type { LimitedAccount } from "./limited_accounts.ts";
import { DELEGATION_MS, TOKEN_LIFE_MS } from "./timing.ts";
import { accrue, TokenBucket } from "./token_bucket.ts";

/** The tokens of a part that change hands: those that it has collected at its host, or its fraction of those at a coordinator. */
export interface Handover {
  /** Time in ms for which the part has filled the accounts that are not listed. */
  readonly elapsed: number;
  /** Tokens of the accounts that were used, by the account's id. */
  readonly levels: readonly (readonly [id: string, level: number])[];
}

/** A delegation that a request carries. */
export interface Delegation {
  /** Undefined for the renewal of a delegation that has not ended. */
  readonly handover: Handover | undefined;
  /** Takes the delegation back, unless a later request carries one; only if the coordinator has certainly not received the request. */
  undo(): void;
}

/** Most tokens of an account that one host's part holds; `reserved` gives it a whole one at least. */
export function partCapacity(
  { quota }: LimitedAccount,
  share: number,
  reserved: boolean,
): number {
  const capacity = (quota?.capacity ?? 0) * share;
  return reserved && quota && share > 0 ? Math.max(1, capacity) : capacity;
}

/** The part of this host in one shard. Its times are those of this host's clock. */
export class Part {
  /** Whether one of the tokens that are reserved for hosts on their own belongs to this host. */
  readonly #isReserved: (account: string) => boolean;
  #share = 0;
  /** Whether the part has not been used yet. */
  #isNew = true;
  /** Time since which the part fills buckets here. */
  #since = 0;
  /** Time from which tokens may be taken here: after a release, those that the coordinator has lent may be in use until then. */
  #usableAt = 0;
  /** The coordinator that may use the part now, and the last one that could. */
  #holder: string | undefined;
  #lastHolder: string | undefined;
  #heldUntil = 0;
  #delegations = 0;
  /** Buckets of the accounts that were used here since the part came back. */
  #buckets = new Map<string, TokenBucket>();

  constructor(isReserved: (account: string) => boolean) {
    this.#isReserved = isReserved;
  }

  get share(): number {
    return this.#share;
  }

  /**
   * Changes the share of the limits; tokens that are there don't grow by it.
   * Before its first use the part fills from `unfilledSince` on.
   */
  setShare(
    share: number,
    accounts: readonly LimitedAccount[],
    now: number,
    unfilledSince = now,
  ): void {
    const former = this.#share;
    if (share === former) return;
    this.#takeBack(now);
    for (const account of accounts) {
      const bucket = this.#buckets.get(account.id);
      if (bucket) this.#refill(account, bucket, now);
    }
    this.#share = share;
    if (former === 0 || share === 0) {
      const since = this.#isNew ? Math.min(unfilledSince, now) : now;
      this.#since = Math.max(since, this.#heldUntil, this.#usableAt);
      this.#isNew &&= share === 0;
      this.#buckets.clear();
    } else if (share > former && now > this.#since) {
      this.#since = now - (now - this.#since) * former / share;
    }
  }

  /** Time until which a coordinator may use the part, or its tokens may be in use. */
  get lockedUntil(): number {
    return Math.max(this.#usableAt, this.#heldUntil);
  }

  /** Locks a new part until the delegations of the one that it replaces have ended. */
  lock(until: number): void {
    this.#since = Math.max(this.#since, until);
    this.#usableAt = Math.max(this.#usableAt, until);
  }

  /** Tokens of an account that are here and may be used. */
  level(account: LimitedAccount, now: number): number {
    this.#takeBack(now);
    if (this.#holder || now < this.#usableAt || this.#share === 0) return 0;
    const bucket = this.#buckets.get(account.id);
    if (bucket) return this.#refill(account, bucket, now);
    const rate = (account.quota?.rate ?? 0) * this.#share;
    return Math.min(
      this.#capacity(account),
      accrue(rate, Math.max(0, now - this.#since)),
    );
  }

  /** Takes a token for an operation; returns whether there was one. */
  take(account: LimitedAccount, now: number): boolean {
    const level = this.level(account, now);
    if (level < 1) return false;
    const bucket = this.#buckets.get(account.id);
    if (bucket) bucket.remove(1);
    else this.#buckets.set(account.id, new TokenBucket(level - 1, now));
    return true;
  }

  /** Whether the part is delegated to the coordinator and the delegation has not ended. */
  isHeldBy(coordinator: string, now: number): boolean {
    this.#takeBack(now);
    return this.#holder === coordinator;
  }

  /**
   * Whether the part may be delegated to a coordinator: it is here, or that
   * coordinator had it last and so knows of the tokens that may be in use.
   */
  mayDelegate(coordinator: string, now: number): boolean {
    this.#takeBack(now);
    if (this.#share === 0) return false;
    if (this.#holder) return this.#holder === coordinator;
    return now >= this.#usableAt || this.#lastHolder === coordinator;
  }

  /** Delegates the part with a request that is sent now; `mayDelegate` was true. */
  delegate(
    coordinator: string,
    accounts: readonly LimitedAccount[],
    now: number,
  ): Delegation {
    const heldUntil = this.#heldUntil;
    const number = this.#delegations += 1;
    this.#heldUntil = now + DELEGATION_MS;
    if (this.#holder) {
      const undo = () => {
        if (this.#delegations === number) this.#heldUntil = heldUntil;
      };
      return { handover: undefined, undo };
    }
    const levels = this.#levels(accounts, now);
    const buckets = this.#buckets;
    const since = this.#since;
    const share = this.#share;
    const lastHolder = this.#lastHolder;
    this.#holder = coordinator;
    this.#lastHolder = coordinator;
    this.#buckets = new Map();
    const undo = () => {
      if (this.#delegations !== number || this.#share !== share) return;
      this.#holder = undefined;
      this.#lastHolder = lastHolder;
      this.#heldUntil = heldUntil;
      this.#since = since;
      this.#buckets = buckets;
    };
    const elapsed = Math.max(0, now - since);
    return { handover: { elapsed, levels }, undo };
  }

  /** Number of requests that carried the part. */
  get delegations(): number {
    return this.#delegations;
  }

  /**
   * Records that the coordinator has stopped to use the part, and what it gave
   * back; unless more requests than `delegations` have carried it, since the
   * coordinator may have it again.
   */
  release(
    coordinator: string,
    handover: Handover,
    delegations: number,
    now: number,
  ): void {
    this.#takeBack(now);
    if (this.#holder !== coordinator) return;
    if (this.#delegations !== delegations) return;
    this.#heldUntil = now;
    this.#takeBack(now);
    this.#usableAt = now + TOKEN_LIFE_MS;
    this.#since = this.#usableAt - handover.elapsed;
    for (const [id, level] of handover.levels) {
      this.#buckets.set(id, new TokenBucket(level, this.#usableAt));
    }
  }

  /** Nobody fills the part from the end of the delegation on, so it fills buckets here from then on. */
  #takeBack(now: number): void {
    if (!this.#holder || now < this.#heldUntil) return;
    this.#holder = undefined;
    this.#since = this.#heldUntil;
  }

  #levels(accounts: readonly LimitedAccount[], now: number) {
    return accounts.flatMap((account) => {
      const bucket = this.#buckets.get(account.id);
      if (!bucket) return [];
      return [[account.id, this.#refill(account, bucket, now)] as const];
    });
  }

  #refill(account: LimitedAccount, bucket: TokenBucket, now: number): number {
    const rate = (account.quota?.rate ?? 0) * this.#share;
    return bucket.refill(now, rate, this.#capacity(account));
  }

  #capacity(account: LimitedAccount): number {
    const capacity = partCapacity(account, this.#share, false);
    if (capacity >= 1 || !this.#isReserved(account.name)) return capacity;
    return partCapacity(account, this.#share, true);
  }
}
