/**
 * Opens the connections of a pool, with a jittered backoff after failures: while
 * the instance is full, statements wait; while it is unreachable, they fail fast.
 *
 * @module
 */
import type { ResultAsync } from "neverthrow";
import { clock } from "../../kernel/clock.ts";
import { type Failure, ResultCodes } from "../../kernel/result_codes.ts";
import { RetryDelay } from "./retry_delay.ts";
import { MeanDuration } from "./mean_duration.ts";

/** Callbacks of an opener. */
export interface OpenerOptions<Opened> {
  readonly open: () => ResultAsync<Opened, Failure>;
  readonly onOpened: (opened: Opened) => void;
  /** The instance refused the connection or is unreachable; `startedAt` is the start of the attempt in monotonic ms. */
  readonly onFailed: (failure: Failure, startedAt: number) => void;
  /** Called when the backoff after a failure has ended. */
  readonly onBackoffEnded: () => void;
}

/** Longest backoff while an instance is unreachable. */
const MAX_UNREACHABLE_DELAY_MS = 1_000;

/** Longest backoff while an instance has no free connection; other proxies release theirs within a second. */
const MAX_REFUSED_DELAY_MS = 250;

/** Opens connections to one instance. */
export class Opener<Opened> {
  readonly #options: OpenerOptions<Opened>;
  readonly #refused = new RetryDelay(MAX_REFUSED_DELAY_MS);
  readonly #unreachable = new RetryDelay(MAX_UNREACHABLE_DELAY_MS);
  readonly #openTime = new MeanDuration();
  #pending = 0;

  constructor(options: OpenerOptions<Opened>) {
    this.#options = options;
  }

  /** Number of attempts in progress. */
  get pending(): number {
    return this.#pending;
  }

  /** Mean time to open a connection, in ms; 0 before the first success. */
  get meanTime(): number {
    return this.#openTime.mean;
  }

  /** Whether the backoff after the instance was unreachable is active. */
  get unreachable(): boolean {
    return this.#unreachable.isActive(clock.now());
  }

  /** Whether a backoff of either kind is active. */
  get isBackingOff(): boolean {
    return this.unreachable || this.#refused.isActive(clock.now());
  }

  /** Starts an attempt; the result goes to the callbacks. */
  open(): void {
    this.#pending += 1;
    const startedAt = clock.now();
    void this.#options.open().match(
      (opened) => this.#succeed(opened, startedAt),
      (failure) => this.#fail(failure, startedAt),
    );
  }

  #succeed(opened: Opened, startedAt: number): void {
    this.#pending -= 1;
    this.#openTime.record(clock.now() - startedAt);
    this.#refused.reset();
    this.#unreachable.reset();
    this.#options.onOpened(opened);
  }

  #fail(failure: Failure, startedAt: number): void {
    this.#pending -= 1;
    const refused = failure.code === ResultCodes.UPSTREAM_REFUSED;
    const delay = refused ? this.#refused : this.#unreachable;
    const remaining = delay.next(clock.now());
    setTimeout(this.#options.onBackoffEnded, remaining + 1).unref();
    this.#options.onFailed(failure, startedAt);
  }
}
