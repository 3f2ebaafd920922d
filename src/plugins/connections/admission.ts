/**
 * Admission control: decides on arrival whether a statement may queue for a
 * connection to an instance.
 *
 * @module
 */
import { err, type Result } from "neverthrow";
import { clock } from "../../kernel/clock.ts";
import {
  createFailure,
  type Failure,
  type ResultCode,
  ResultCodes,
} from "../../kernel/result_codes.ts";
import type { ConnectionRequest, Priority } from "./connections.ts";
import { MeanDuration } from "./mean_duration.ts";
import type { WaitingQueue } from "./waiting_queue.ts";

/** Longest expected wait with which a statement is admitted to the queue, by priority. */
const MAX_EXPECTED_WAIT_MS: Readonly<Record<Priority, number>> = {
  high: 1_500,
  normal: 1_000,
  low: 500,
};

/** Longest time in the queue regardless of the deadline, so that starved statements of a priority fail early. */
const MAX_QUEUE_TIME_MS: Readonly<Record<Priority, number>> = {
  high: 3_000,
  normal: 2_000,
  low: 1_000,
};

/** Fraction of the remaining useful time that a statement may wait; the rest allows for slower than average execution and for a caller that retries after a rejection. */
const USEFUL_WAIT_FRACTION = 0.3;

/** Expected wait that is accepted even when the useful time is over: a queue this short is no overload. */
const MIN_USEFUL_WAIT_MS = 100;

const SHED_REPORT_INTERVAL_MS = 1_000;

/** Callback for rejections: the code of the latest one and their number since the last report. */
export type ShedReport = (code: ResultCode, count: number) => void;

/** Admission control for the queue of one instance. */
export class Admission {
  /** Maximum number of queued statements. */
  queueLength: number;
  readonly #instance: string;
  readonly #report: ShedReport;
  readonly #serviceTime = new MeanDuration();
  #shedCount = 0;
  #reportedAt = -Infinity;

  constructor(instance: string, queueLength: number, report: ShedReport) {
    this.#instance = instance;
    this.queueLength = queueLength;
    this.#report = report;
  }

  /** Records for how long, in ms, a connection was in use. */
  recordServiceTime(duration: number): void {
    this.#serviceTime.record(duration);
  }

  /**
   * Returns the failure if the statement may not queue, undefined if it may.
   * When the queue is full, a statement of lower priority is evicted and rejected
   * in its place.
   */
  checkAdmission<T>(
    request: ConnectionRequest,
    queue: WaitingQueue<Result<T, Failure>>,
    connections: number,
  ): Failure | undefined {
    const remaining = request.deadline - clock.now();
    if (remaining <= 0) return this.deadlineFailure();
    const wait = Math.max(
      queue.headWaitTime(request.priority),
      this.expectedWait(queue.countAhead(request.priority), connections),
    );
    const maxWait = Math.min(remaining, this.#maxUsefulWait(request));
    if (wait > maxWait) {
      return this.#failure(
        ResultCodes.QUEUE_FULL,
        `the expected wait for a connection to ${this.#instance} is ${
          Math.round(wait)
        } ms; retry in ${Math.ceil(wait - maxWait)} ms`,
      );
    }
    if (queue.size < this.queueLength) return undefined;
    const failure = this.#failure(
      ResultCodes.QUEUE_FULL,
      `the queue for connections to ${this.#instance} is full`,
    );
    const evicted = queue.evictLowerPriority(request.priority);
    if (!evicted) return failure;
    evicted(err(failure));
    return undefined;
  }

  /** Monotonic ms until which the statement may stay in the queue; at most its deadline. */
  queueDeadline({ priority, deadline }: ConnectionRequest): number {
    return Math.min(deadline, clock.now() + MAX_QUEUE_TIME_MS[priority]);
  }

  /** Creates the failure of a statement whose deadline passed in the queue, and counts it as shed. */
  deadlineFailure(): Failure {
    return this.#failure(
      ResultCodes.QUEUE_DEADLINE,
      `no connection to ${this.#instance} within the deadline`,
    );
  }

  /** Longest expected wait, in ms, with which running the statement is still useful. */
  #maxUsefulWait({ priority, usefulUntil }: ConnectionRequest): number {
    if (usefulUntil === undefined) return MAX_EXPECTED_WAIT_MS[priority];
    const left = USEFUL_WAIT_FRACTION * (usefulUntil - clock.now());
    const wait = left - this.#serviceTime.mean;
    return Math.max(MIN_USEFUL_WAIT_MS, wait);
  }

  /** Expected wait, in ms, behind `ahead` statements for one of `connections` connections. */
  expectedWait(ahead: number, connections: number): number {
    return this.#serviceTime.mean * ahead / Math.max(1, connections);
  }

  #failure(code: ResultCode, message: string): Failure {
    this.#shedCount += 1;
    const now = clock.now();
    if (now - this.#reportedAt > SHED_REPORT_INTERVAL_MS) {
      this.#report(code, this.#shedCount);
      this.#reportedAt = now;
      this.#shedCount = 0;
    }
    return createFailure(code, message);
  }
}
