/**
 * Decides early whether a statement may wait for a connection to an instance.
 *
 * @module
 */
import { err, type Result } from "neverthrow";
import {
  createFailure,
  type Failure,
  type ResultCode,
  ResultCodes,
} from "../../kernel/result_codes.ts";
import type { ConnectionRequest, Priority } from "./connections.ts";
import { MeanDuration } from "./mean_duration.ts";
import type { WaitingQueue } from "./waiting_queue.ts";

/** Longest expected wait with which a statement is let into the queue. */
const EXPECTED_WAIT_MAX_MS: Readonly<Record<Priority, number>> = {
  high: 1_500,
  normal: 1_000,
  low: 500,
};

/** Longest stay in the queue, whatever the deadline: a class that is starved is told so. */
const MAX_QUEUE_TIME_MS: Readonly<Record<Priority, number>> = {
  high: 3_000,
  normal: 2_000,
  low: 1_000,
};

/** Part of the useful time that a statement may wait: the rest is for a service that is slower than the mean, and for a caller that comes back after a refusal. */
const USEFUL_WAIT_FRACTION = 0.3;

/** Wait, in ms, that is still granted to a statement whose useful time is over: a queue as short as that is no overload. */
const USEFUL_WAIT_LEAST_MS = 100;

const SHED_REPORT_INTERVAL_MS = 1_000;

/** Told of refusals: the code of the latest, and how many there were since the last report. */
export type ShedReport = (code: ResultCode, count: number) => void;

/** Admission to the queue of one instance. */
export class Admission {
  /** Most statements that may wait. */
  queueLength: number;
  readonly #instance: string;
  readonly #report: ShedReport;
  readonly #serviceTime = new MeanDuration();
  #shed = 0;
  #reportedAt = -Infinity;

  constructor(instance: string, queueLength: number, report: ShedReport) {
    this.#instance = instance;
    this.queueLength = queueLength;
    this.#report = report;
  }

  /** Notes for how long a connection was lent, in ms. */
  noteService(duration: number): void {
    this.#serviceTime.note(duration);
  }

  /**
   * Why the statement may not wait; undefined when it may. When the queue is
   * full, a statement of a lower class makes room and is refused in its place.
   */
  checkAdmission<T>(
    request: ConnectionRequest,
    queue: WaitingQueue<Result<T, Failure>>,
    connections: number,
  ): Failure | undefined {
    const left = request.deadline - performance.now();
    if (left <= 0) return this.deadlineFailure();
    const wait = Math.max(
      queue.age(request.priority),
      this.expectedWait(queue.ahead(request.priority), connections),
    );
    const bound = Math.min(left, this.#longestWait(request));
    if (wait > bound) {
      return this.#failure(
        ResultCodes.QUEUE_FULL,
        `the expected wait for a connection to ${this.#instance} is ${
          Math.round(wait)
        } ms; retry in ${Math.ceil(wait - bound)} ms`,
      );
    }
    if (queue.size < this.queueLength) return undefined;
    const failure = this.#failure(
      ResultCodes.QUEUE_FULL,
      `the queue for connections to ${this.#instance} is full`,
    );
    const displaced = queue.evictLowerPriority(request.priority);
    if (!displaced) return failure;
    displaced(err(failure));
    return undefined;
  }

  /** Monotonic ms until which the statement may stay in the queue. */
  queueDeadline({ priority, deadline }: ConnectionRequest): number {
    return Math.min(deadline, performance.now() + MAX_QUEUE_TIME_MS[priority]);
  }

  /** The failure of a statement that has waited to its deadline. */
  deadlineFailure(): Failure {
    return this.#failure(
      ResultCodes.QUEUE_DEADLINE,
      `no connection to ${this.#instance} within the deadline`,
    );
  }

  /** Longest wait, in ms, with which a statement is worth its place in the queue. */
  #longestWait({ priority, usefulUntil }: ConnectionRequest): number {
    if (usefulUntil === undefined) return EXPECTED_WAIT_MAX_MS[priority];
    const left = USEFUL_WAIT_FRACTION * (usefulUntil - performance.now());
    const wait = left - this.#serviceTime.mean;
    return Math.max(USEFUL_WAIT_LEAST_MS, wait);
  }

  /** Wait, in ms, behind so many others for one of so many connections. */
  expectedWait(ahead: number, connections: number): number {
    return this.#serviceTime.mean * ahead / Math.max(1, connections);
  }

  #failure(code: ResultCode, message: string): Failure {
    this.#shed += 1;
    const now = performance.now();
    if (now - this.#reportedAt > SHED_REPORT_INTERVAL_MS) {
      this.#report(code, this.#shed);
      this.#reportedAt = now;
      this.#shed = 0;
    }
    return createFailure(code, message);
  }
}
