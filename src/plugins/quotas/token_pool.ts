/**
 * The tokens of one account at a coordinator.
 *
 * @module
 */
import { type LimitedAccount, STOCK_ALLOWANCE_MS } from "./limited_accounts.ts";
import { TOKEN_LIFE_MS } from "./timing.ts";
import {
  accrue,
  RateMeter,
  timeToAccrue,
  TokenBucket,
} from "./token_bucket.ts";

/** Time over which the use of an account is averaged, in ms; a recurring shortage shows in it. */
const USE_WINDOW_MS = 2_000;

/** Bounds of the time after which a host may ask again for an account without tokens, in ms. */
const MIN_PAUSE_MS = 20;
const MAX_PAUSE_MS = 2_000;

/** Tokens that a host was given and may not have used yet. */
interface Loan {
  readonly amount: number;
  readonly expiresAt: number;
}

/** What a host asks for. */
export interface Need {
  /** Operations that wait. */
  readonly waiting: number;
  /** Tokens for operations that are expected before the next request. */
  readonly stock: number;
}

/** The parts behind the tokens. */
export interface Backing {
  /** Tokens that they give in a second. */
  readonly rate: number;
  /** Most tokens that may be lent, those that are lent already included. */
  readonly lendable: number;
}

/**
 * Tokens of an account that the delegated parts give. Tokens here and tokens lent
 * to hosts never exceed the capacity together, so that a pause of the demand
 * doesn't let more tokens exist than the quota allows.
 */
export class TokenPool {
  account: LimitedAccount;
  readonly #bucket: TokenBucket;
  /** By borrower, in the order of expiry. */
  readonly #loans = new Map<string, Loan>();
  readonly #use = new RateMeter(USE_WINDOW_MS);
  #lent = 0;
  #lentAt = -Infinity;
  /** Time until which the tokens to come are promised to hosts that found none. */
  #promisedUntil = 0;

  constructor(account: LimitedAccount, now: number) {
    this.account = account;
    this.#bucket = new TokenBucket(0, now);
  }

  /** Tokens that can be lent. */
  get level(): number {
    return this.#bucket.level;
  }

  /** Tokens lent per second, over the last seconds. */
  use(now: number): number {
    return this.#use.rate(now);
  }

  /** Clock ms at which a token was lent last. */
  get lentAt(): number {
    return this.#lentAt;
  }

  /** Adds what the rate has given since the last call, and ends loans that have expired meanwhile. */
  settle(now: number, rate: number, capacity: number): void {
    for (const [borrower, { amount, expiresAt }] of this.#loans) {
      if (expiresAt > now) break;
      // Until then the loan left less room for new tokens.
      this.#fill(expiresAt, rate, capacity);
      this.#loans.delete(borrower);
      this.#lent -= amount;
    }
    if (this.#loans.size === 0) this.#lent = 0;
    this.#fill(now, rate, capacity);
  }

  /** Adds tokens that a part has collected at its host. */
  credit(amount: number, capacity: number): void {
    const room = Math.max(0, capacity - this.#lent - this.#bucket.level);
    this.#bucket.add(Math.min(amount, room));
  }

  /** Removes a fraction of the tokens, for a part that goes; undefined if the pool is full, so that its fraction is as well. */
  split(fraction: number, capacity: number): number | undefined {
    const { level } = this.#bucket;
    this.#bucket.remove(level * fraction);
    return level < capacity ? level * fraction : undefined;
  }

  /**
   * Records how many of its tokens a host has left; it has used the others. Those
   * left live on if they may be lent now; returns whether they do.
   */
  report(
    borrower: string,
    unused: number,
    lendable: number,
    now: number,
  ): boolean {
    const loan = this.#loans.get(borrower);
    if (!loan) return unused === 0;
    const amount = Math.min(loan.amount, unused);
    this.#lent += amount - loan.amount;
    if (amount > 0 && this.#lent > lendable) {
      // Replaced in its place in the order of expiry.
      this.#loans.set(borrower, { amount, expiresAt: loan.expiresAt });
      return false;
    }
    this.#setLoan(borrower, amount, now);
    return true;
  }

  /** Lends tokens, first for operations that wait; returns their number. */
  lend(
    borrower: string,
    { waiting, stock }: Need,
    { rate, lendable }: Backing,
    now: number,
  ): number {
    const free = Math.max(0, lendable - this.#lent);
    const level = Math.floor(Math.min(this.#bucket.level, free));
    const urgent = Math.min(waiting, level);
    const spare = this.#promisedUntil > now ? 0 : Math.floor(
      accrue(rate, STOCK_ALLOWANCE_MS) - this.#lent - urgent,
    );
    const granted = urgent +
      Math.max(0, Math.min(stock, spare, level - urgent));
    if (granted === 0) return 0;
    this.#bucket.remove(granted);
    const held = this.#loans.get(borrower)?.amount ?? 0;
    this.#lent += granted;
    this.#setLoan(borrower, held + granted, now);
    this.#use.add(granted, now);
    this.#lentAt = now;
    return granted;
  }

  /** Time in ms after which a host that found no token may ask again: when those that asked before it have been served. */
  promise(now: number, rate: number): number {
    const next = timeToAccrue(1 - this.#bucket.level, rate);
    const from = Math.max(now + next, this.#promisedUntil);
    this.#promisedUntil = Math.min(
      from + timeToAccrue(1, rate),
      now + MAX_PAUSE_MS,
    );
    return Math.min(Math.max(from - now, MIN_PAUSE_MS), MAX_PAUSE_MS);
  }

  #fill(now: number, rate: number, capacity: number): void {
    this.#bucket.refill(now, rate, Math.max(0, capacity - this.#lent));
  }

  #setLoan(borrower: string, amount: number, now: number): void {
    this.#loans.delete(borrower);
    if (amount === 0) return;
    this.#loans.set(borrower, { amount, expiresAt: now + TOKEN_LIFE_MS });
  }
}
