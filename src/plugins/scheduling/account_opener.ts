/**
 * Opens connections to one instance for accounts. A failure pauses the openings
 * of all accounts, except when the instance works for others: then it concerns
 * the account alone.
 *
 * @module
 */
import type { ResultAsync } from "neverthrow";
import { clock } from "../../kernel/clock.ts";
import { type Failure, ResultCodes } from "../../kernel/result_codes.ts";
import { MeanDuration } from "../connections/mean_duration.ts";
import { RetryDelay } from "../connections/retry_delay.ts";

/** Longest pause while the instance, or one account at it, can't be reached, in ms; as in `Opener`. */
const MAX_UNREACHABLE_DELAY_MS = 1_000;

/** Longest pause while the instance has no free connection, in ms; as in `Opener`. */
const MAX_REFUSED_DELAY_MS = 250;

/** What a failed opening says about. */
export type FailedPart = "instance" | "account";

/** Callbacks of an opener. */
export interface AccountOpenerOptions<Opened> {
  readonly open: (account: string) => ResultAsync<Opened, Failure>;
  readonly onOpened: (opened: Opened, account: string) => void;
  readonly onFailed: (
    failure: Failure,
    account: string,
    part: FailedPart,
  ) => void;
  /** Called when a pause after a failure has ended. */
  readonly onPauseEnded: () => void;
  /** Whether the instance works for accounts other than this one, which has no connection. */
  readonly worksForOthers: (account: string) => boolean;
}

/** Opens connections and pauses after failures. */
export class AccountOpener<Opened> {
  readonly #options: AccountOpenerOptions<Opened>;
  readonly #refused = new RetryDelay(MAX_REFUSED_DELAY_MS);
  readonly #unreachable = new RetryDelay(MAX_UNREACHABLE_DELAY_MS);
  readonly #byAccount = new Map<string, RetryDelay>();
  readonly #pending = new Map<string, number>();
  readonly #openTime = new MeanDuration();
  /** Accounts whose openings have failed since the last success. */
  readonly #failed = new Set<string>();

  constructor(options: AccountOpenerOptions<Opened>) {
    this.#options = options;
  }

  /** Number of attempts in progress. */
  get pending(): number {
    let sum = 0;
    for (const count of this.#pending.values()) sum += count;
    return sum;
  }

  /** Mean time to open a connection, in ms; 0 before the first success. */
  get meanTime(): number {
    return this.#openTime.mean;
  }

  /** Whether the instance could not be reached a moment ago. */
  get isUnreachable(): boolean {
    return this.#unreachable.isActive(clock.now());
  }

  /** Number of attempts in progress for an account. */
  pendingOf(account: string): number {
    return this.#pending.get(account) ?? 0;
  }

  /** Whether a connection for an account may be opened now. */
  mayOpen(account: string): boolean {
    const now = clock.now();
    return !this.#unreachable.isActive(now) && !this.#refused.isActive(now) &&
      !this.isRejected(account);
  }

  /** Whether the instance failed to open a connection for this account a moment ago, while it served others. */
  isRejected(account: string): boolean {
    return this.#byAccount.get(account)?.isActive(clock.now()) ?? false;
  }

  /** Starts an attempt; the result goes to the callbacks. */
  open(account: string): void {
    this.#count(account, 1);
    const startedAt = clock.now();
    void this.#options.open(account).match(
      (opened) => this.#succeed(opened, account, startedAt),
      (failure) => this.#fail(failure, account),
    );
  }

  #succeed(opened: Opened, account: string, startedAt: number): void {
    this.#count(account, -1);
    this.#openTime.record(clock.now() - startedAt);
    this.#failed.clear();
    this.#refused.reset();
    this.#unreachable.reset();
    this.#byAccount.delete(account);
    this.#options.onOpened(opened, account);
  }

  #fail(failure: Failure, account: string): void {
    this.#count(account, -1);
    const isRefused = failure.code === ResultCodes.UPSTREAM_REFUSED;
    this.#failed.add(account);
    const isAccountOnly = !isRefused && this.#failed.size === 1 &&
      this.#options.worksForOthers(account);
    const delay = isRefused
      ? this.#refused
      : isAccountOnly
      ? this.#accountDelay(account)
      : this.#unreachable;
    const remaining = delay.next(clock.now());
    setTimeout(this.#options.onPauseEnded, remaining + 1).unref();
    const part = isAccountOnly ? "account" : "instance";
    this.#options.onFailed(failure, account, part);
  }

  #accountDelay(account: string): RetryDelay {
    const known = this.#byAccount.get(account);
    if (known) return known;
    const delay = new RetryDelay(MAX_UNREACHABLE_DELAY_MS);
    this.#byAccount.set(account, delay);
    return delay;
  }

  #count(account: string, change: 1 | -1): void {
    const count = this.pendingOf(account) + change;
    if (count === 0) this.#pending.delete(account);
    else this.#pending.set(account, count);
  }
}
