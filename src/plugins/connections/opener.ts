/**
 * Opens the connections of a pool, with a jittered pause after failures: a full
 * instance is a signal to wait, one that can't be reached makes statements fail fast.
 *
 * @module
 */
import type { ResultAsync } from "neverthrow";
import { type Failure, ResultCodes } from "../../kernel/result_codes.ts";
import { RetryDelay } from "./retry_delay.ts";
import { MeanDuration } from "./mean_duration.ts";

/** What an opener needs and whom it tells. */
export interface OpenerOptions<Opened> {
  readonly open: () => ResultAsync<Opened, Failure>;
  readonly onOpened: (opened: Opened) => void;
  /** The instance refused or can't be reached; `begun` is the monotonic ms of the attempt. */
  readonly onFailed: (failure: Failure, begun: number) => void;
  /** The pause after a failure has ended. */
  readonly onPauseEnded: () => void;
}

/** Longest pause after an instance could not be reached, in ms. */
const UNREACHABLE_PAUSE_MS = 1_000;

/** Longest pause after an instance had no connection to spare, in ms: others give theirs back within a second. */
const REFUSED_PAUSE_MS = 250;

/** Opener of one instance. */
export class Opener<Opened> {
  readonly #options: OpenerOptions<Opened>;
  readonly #refused = new RetryDelay(REFUSED_PAUSE_MS);
  readonly #unreachable = new RetryDelay(UNREACHABLE_PAUSE_MS);
  readonly #time = new MeanDuration();
  #pending = 0;

  constructor(options: OpenerOptions<Opened>) {
    this.#options = options;
  }

  /** Attempts under way. */
  get pending(): number {
    return this.#pending;
  }

  /** Mean time of an opening, in ms; 0 until the first. */
  get meanTime(): number {
    return this.#time.mean;
  }

  /** Whether the instance could not be reached a moment ago. */
  get unreachable(): boolean {
    return this.#unreachable.waiting(performance.now());
  }

  /** Whether the pause after a failure of either kind lasts. */
  get paused(): boolean {
    return this.unreachable || this.#refused.waiting(performance.now());
  }

  /** Begins an attempt. */
  open(): void {
    this.#pending += 1;
    const begun = performance.now();
    void this.#options.open().match(
      (opened) => this.#succeed(opened, begun),
      (failure) => this.#fail(failure, begun),
    );
  }

  #succeed(opened: Opened, begun: number): void {
    this.#pending -= 1;
    this.#time.note(performance.now() - begun);
    this.#refused.reset();
    this.#unreachable.reset();
    this.#options.onOpened(opened);
  }

  #fail(failure: Failure, begun: number): void {
    this.#pending -= 1;
    const refused = failure.code === ResultCodes.UPSTREAM_REFUSED;
    const delay = refused ? this.#refused : this.#unreachable;
    const pause = delay.next(performance.now());
    setTimeout(this.#options.onPauseEnded, pause + 1).unref();
    this.#options.onFailed(failure, begun);
  }
}
