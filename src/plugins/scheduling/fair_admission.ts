/**
 * Admission control of a scheduled instance: who may wait, who is told at once
 * that it would be served too late, and how long a waiter stays.
 *
 * @module
 */
import { clock } from "../../kernel/clock.ts";
import {
  createFailure,
  type Failure,
  type ResultCode,
  ResultCodes,
} from "../../kernel/result_codes.ts";

/** Fraction of the remaining useful time that a request may be expected to wait; given by the work plan. */
const USEFUL_WAIT_FRACTION = 0.3;

/** Expected wait that is always accepted, in ms: a queue this short is no overload; given by the work plan. */
const ACCEPTED_WAIT_MS = 100;

/** Useful time of a request that states none, in ms; the usual target latency of the sites. */
const DEFAULT_USEFUL_TIME_MS = 1_000;

/**
 * Least time for which a waiter may stay after its useful time or its arrival, in ms: longer than the
 * second after which a starved rank is served, and short enough for its caller to try again.
 */
const MIN_STAY_MS = 1_500;

/** Longest time after which a caller is told to retry, in ms; a disturbed instance may have recovered by then. */
const MAX_RETRY_MS = 3_000;

/** Interval between two log lines about refused requests, in ms. */
const REPORT_INTERVAL_MS = 1_000;

/** What admission knows of a request. */
export interface AdmissionRequest {
  readonly account: string;
  readonly rank: number;
  /** Monotonic ms until which the request may wait. */
  readonly deadline: number;
  /** Monotonic ms after which the result is less useful. */
  readonly usefulUntil?: number;
}

/** Requests that were refused since the last report; account and rank are those of the latest. */
export interface ShedLoad {
  readonly code: number;
  readonly count: number;
  readonly account: string;
  readonly rank: number;
}

/** Decides on arrival whether a request may wait. */
export class FairAdmission {
  readonly #instance: string;
  readonly #report: (shed: ShedLoad) => void;
  #shedCount = 0;
  #reportedAt = -Infinity;

  /** `report` is called at most once a second. */
  constructor(instance: string, report: (shed: ShedLoad) => void) {
    this.#instance = instance;
    this.#report = report;
  }

  /** Returns the failure of a request that would be served too late; `wait` is its expected wait and `slotTime` the time it takes, in ms. */
  check(
    request: AdmissionRequest,
    wait: number,
    slotTime: number,
  ): Failure | undefined {
    const limit = longestWait(request, slotTime);
    if (wait <= limit) return undefined;
    return this.refuse(
      request,
      `the expected wait for a connection to ${this.#instance} is ${
        Math.round(wait)
      } ms`,
      wait - limit,
    );
  }

  /** The failure of a request that has no place in the queue; `wait` is the time in ms after which a retry may have one. */
  full(request: AdmissionRequest, wait: number): Failure {
    return this.refuse(
      request,
      `the queue for connections to ${this.#instance} is full`,
      wait,
    );
  }

  /** The failure of a request that is refused at once, with the time in ms after which to retry. */
  refuse(
    request: AdmissionRequest,
    reason: string,
    retryAfter: number,
  ): Failure {
    const message = withRetry(reason, retryAfter);
    return this.#failure(ResultCodes.QUEUE_FULL, message, request);
  }

  /** The failure of a waiter whose time has passed; `wait` is the time in ms after which a retry may succeed. */
  expire(request: AdmissionRequest, wait: number): Failure {
    return this.#failure(
      ResultCodes.QUEUE_DEADLINE,
      withRetry(
        `no connection to ${this.#instance} within the deadline`,
        wait,
      ),
      request,
    );
  }

  #failure(
    code: ResultCode,
    message: string,
    { account, rank }: AdmissionRequest,
  ): Failure {
    this.#shedCount += 1;
    const now = clock.now();
    if (now - this.#reportedAt >= REPORT_INTERVAL_MS) {
      const count = this.#shedCount;
      this.#report({ code: code.number, count, account, rank });
      this.#reportedAt = now;
      this.#shedCount = 0;
    }
    return createFailure(code, message);
  }
}

/** Monotonic ms until which a request may stay in the queue: to its deadline, but not long after it has become useless. */
export function stayUntil(
  { deadline, usefulUntil = -Infinity }: Pick<
    AdmissionRequest,
    "deadline" | "usefulUntil"
  >,
  now = clock.now(),
): number {
  return Math.min(deadline, Math.max(usefulUntil, now + MIN_STAY_MS));
}

/** Longest expected wait in ms with which serving a request, which takes `slotTime` ms, is still useful. */
export function longestWait(
  { deadline, usefulUntil }: Pick<AdmissionRequest, "deadline" | "usefulUntil">,
  slotTime: number,
): number {
  const now = clock.now();
  const useful = (usefulUntil ?? now + DEFAULT_USEFUL_TIME_MS) - now;
  const wait = Math.max(
    ACCEPTED_WAIT_MS,
    USEFUL_WAIT_FRACTION * useful - slotTime,
  );
  return Math.min(deadline - now, wait);
}

function withRetry(reason: string, retryAfter: number): string {
  const delay = Math.ceil(Math.min(MAX_RETRY_MS, Math.max(1, retryAfter)));
  return `${reason}; retry in ${delay} ms`;
}
