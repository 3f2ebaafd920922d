/**
 * The operations of one account on one host: those that wait, the tokens in
 * stock for them, and what is known about when there will be more.
 *
 * @module
 */
import {
  createFailure,
  type Failure,
  ResultCodes,
} from "../../kernel/result_codes.ts";
import type { LimitedAccount } from "./limited_accounts.ts";
import type { Want } from "./messages.ts";
import { STOCK_MS, TOKEN_LIFE_MS } from "./timing.ts";
import { RateMeter, timeToAccrue } from "./token_bucket.ts";

/** Operations of an account that may wait on a host; bounds the memory that an account over its quota takes. */
const MAX_WAITING = 1_000;

/** Time in ms over which an account's operations and admissions are averaged. */
const DEMAND_WINDOW_MS = 1_000;

/** Operations a second below which an account has no demand. */
const NEGLIGIBLE_DEMAND = 0.1;

/** Operations a second from which on tokens are kept in stock. */
const MIN_STOCK_DEMAND = 1;

/** Most tokens that are asked for in advance. */
const MAX_STOCK = 1_000;

/** Bounds of the time after which a refused operation may return, in ms. */
const MIN_RETURN_MS = 1;
const MAX_RETURN_MS = 10_000;

/** Fraction of an account's rate that a host expects to get at least when it tells operations when to return. */
const MIN_PACE_FRACTION = 0.02;

/** Decides a waiting operation: undefined if it may run. */
export type Settle = (failure: Failure | undefined) => void;

interface Waiter {
  readonly settle: Settle;
  /** Clock ms at which the operation is decided without a token. */
  readonly decideBy: number;
}

/** Tokens of one coordinator. */
interface Stock {
  readonly lender: string;
  amount: number;
  /** Clock ms at which they may no longer be used. */
  expiresAt: number;
}

/** What a coordinator has answered about an account. */
export interface Received {
  /** Names the run of the coordinator. */
  readonly lender: string;
  readonly want: Want;
  readonly granted: number;
  /** Whether the tokens that are left live on. */
  readonly extended: boolean;
  /** Clock ms at which the request was sent. */
  readonly requestedAt: number;
}

/** Counts of an account's operations. */
export interface Counts {
  granted: number;
  used: number;
  refused: number;
}

/** One account on this host. Its times are those of this host's clock. */
export class AccountQueue {
  readonly counts: Counts = { granted: 0, used: 0, refused: 0 };
  readonly #demand = new RateMeter(DEMAND_WINDOW_MS);
  readonly #admitted = new RateMeter(DEMAND_WINDOW_MS);
  #account: LimitedAccount;
  #waiters: Waiter[] = [];
  /** No decision is due before this clock ms. */
  #decideBy = Infinity;
  /** By coordinator; more than one only shortly after another one was chosen. */
  #stocks: Stock[] = [];
  /** Tokens that the coordinator counts as lent to this host. */
  #borrowed = 0;
  /** Operations, and tokens for them and for the stock, that requests under way ask for. */
  #askedOperations = 0;
  #askedTokens = 0;
  /** Clock ms until which the coordinator has no token for this host. */
  #emptyUntil = 0;
  /** Clock ms from which waiting operations may be asked for again. */
  #askAt = 0;
  /** Clock ms at which the last refused operation was told to return. */
  #returnAt = 0;

  constructor(account: LimitedAccount) {
    this.#account = account;
  }

  get account(): LimitedAccount {
    return this.#account;
  }

  /** Changes the limit; tokens of the former one are dropped. */
  set account(account: LimitedAccount) {
    const { quota } = this.#account;
    this.#account = account;
    if (
      quota?.rate === account.quota?.rate &&
      quota?.capacity === account.quota?.capacity
    ) return;
    this.#stocks = [];
    this.#emptyUntil = 0;
  }

  get waiting(): number {
    return this.#waiters.length;
  }

  get isFull(): boolean {
    return this.#waiters.length >= MAX_WAITING;
  }

  /** Counts an operation that asks. */
  recordDemand(now: number): void {
    this.#demand.add(1, now);
  }

  /** Whether the coordinator has no token for this host, and none can have come since it said so. */
  isEmpty(now: number): boolean {
    return now < this.#emptyUntil;
  }

  /** Takes a token in stock for an operation; returns whether there was one. */
  take(now: number): boolean {
    for (const stock of this.#stocks) {
      if (stock.amount < 1 || now >= stock.expiresAt) continue;
      stock.amount -= 1;
      return true;
    }
    return false;
  }

  /** Counts an admitted operation. */
  recordUse(now: number): void {
    this.counts.used += 1;
    this.#admitted.add(1, now);
  }

  /** Adds an operation that waits for a token. */
  enqueue(settle: Settle, decideBy: number): void {
    this.#waiters.push({ settle, decideBy });
    this.#decideBy = Math.min(this.#decideBy, decideBy);
  }

  /** Admits waiting operations in order, as long as `takeToken` finds tokens. */
  serve(now: number, takeToken: () => boolean): void {
    while (this.#waiters.length > 0 && takeToken()) {
      this.recordUse(now);
      this.#waiters.shift()!.settle(undefined);
    }
  }

  /** Refuses the waiting operations that have to be decided now; returns their number. */
  expire(now: number, share: number): number {
    if (now < this.#decideBy) return 0;
    const due = this.#waiters.filter(({ decideBy }) => decideBy <= now);
    this.#waiters = this.#waiters.filter(({ decideBy }) => decideBy > now);
    this.#decideBy = Math.min(
      Infinity,
      ...this.#waiters.map(({ decideBy }) => decideBy),
    );
    for (const { settle } of due) settle(this.refuse(now, share));
    return due.length;
  }

  /** Refuses all waiting operations; returns their number. */
  refuseAll(now: number, share: number): number {
    const waiters = this.#waiters;
    this.#waiters = [];
    this.#decideBy = Infinity;
    for (const { settle } of waiters) settle(this.refuse(now, share));
    return waiters.length;
  }

  /** Clock ms before which no decision is due; Infinity if none waits. */
  get decideBy(): number {
    return this.#waiters.length > 0 ? this.#decideBy : Infinity;
  }

  /** Creates the failure of a refused operation. Operations are told to return one by one, at the pace at which this host gets tokens. */
  refuse(now: number, share: number): Failure {
    this.counts.refused += 1;
    const { name, quota } = this.#account;
    const pace = Math.max(
      this.#admitted.rate(now),
      (quota?.rate ?? 0) * Math.max(share, MIN_PACE_FRACTION),
    );
    const from = Math.max(now, this.#emptyUntil, this.#returnAt);
    this.#returnAt = Math.min(
      from + timeToAccrue(1, pace),
      now + MAX_RETURN_MS,
    );
    const wait = Math.max(MIN_RETURN_MS, Math.ceil(this.#returnAt - now));
    return createFailure(
      ResultCodes.QUOTA_EXCEEDED,
      `the quota of the account ${name} is used up; retry in ${wait} ms`,
    );
  }

  /** What to ask the coordinator for; undefined if nothing. */
  want(lender: string, now: number): Want | undefined {
    const stock = this.#stockOf(lender, now);
    // What is under way may be here when the request arrives.
    const unused = (stock?.amount ?? 0) + this.#askedTokens;
    const waiting = now >= this.#askAt ? this.#unasked : 0;
    const missing = this.isEmpty(now)
      ? 0
      : Math.max(0, this.#expected(now) - unused);
    const nothing = unused === 0 && this.#borrowed === 0;
    if (nothing && waiting === 0 && missing === 0) return undefined;
    this.#askedOperations += waiting;
    this.#askedTokens += waiting + missing;
    return { id: this.#account.id, unused, waiting, stock: missing };
  }

  /** Records that a request has ended, with or without an answer. */
  endRequest({ waiting, stock }: Want): void {
    this.#askedOperations -= waiting;
    this.#askedTokens -= waiting + stock;
  }

  /** Clock ms from which operations are to be asked for that no request under way asks for; Infinity if there are none. */
  get askAt(): number {
    return this.#unasked > 0 ? this.#askAt : Infinity;
  }

  get #unasked(): number {
    return Math.max(0, this.#waiters.length - this.#askedOperations);
  }

  /** Whether tokens should be kept in stock, or those of the coordinator are to be reported. */
  needsRefresh(now: number): boolean {
    return this.#borrowed > 0 || this.#expected(now) > 0;
  }

  /** Whether the account had no operation for a while and holds nothing. */
  isIdle(now: number): boolean {
    return this.#waiters.length === 0 &&
      this.#demand.rate(now) < NEGLIGIBLE_DEMAND &&
      this.#stocks.every(({ expiresAt }) => expiresAt <= now);
  }

  /** Takes the tokens that a coordinator has given for a request; what was reported in it lives on as well. */
  receive(
    { lender, want, granted, extended, requestedAt }: Received,
    now: number,
  ): void {
    const expiresAt = requestedAt + TOKEN_LIFE_MS;
    this.#borrowed = want.unused + granted;
    // Tokens that come late are no longer counted as lent.
    if (!extended || now >= expiresAt) return;
    this.counts.granted += granted;
    const stock = this.#stockOf(lender, now);
    if (stock) {
      stock.amount += granted;
      stock.expiresAt = Math.max(stock.expiresAt, expiresAt);
      return;
    }
    this.#stocks = this.#stocks.filter((other) => now < other.expiresAt);
    this.#stocks.push({ lender, amount: granted, expiresAt });
  }

  /** Records that the coordinator expects tokens from other hosts. */
  awaitTokens(pause: number, now: number): void {
    this.#askAt = now + pause;
  }

  /** Records that the coordinator has no more tokens for a time. */
  runEmpty(pause: number, now: number): void {
    this.#emptyUntil = now + pause;
  }

  #stockOf(lender: string, now: number): Stock | undefined {
    return this.#stocks.find((stock) =>
      stock.lender === lender && now < stock.expiresAt
    );
  }

  /** Operations that are expected before the next but one request. */
  #expected(now: number): number {
    const rate = this.#demand.rate(now);
    if (rate < MIN_STOCK_DEMAND) return 0;
    return Math.min(MAX_STOCK, Math.ceil(rate * STOCK_MS / 1_000));
  }

  /** Forgets what a coordinator said that has been lost. */
  forgetCoordinator(): void {
    this.#borrowed = 0;
    this.#emptyUntil = 0;
    this.#askAt = 0;
  }
}
