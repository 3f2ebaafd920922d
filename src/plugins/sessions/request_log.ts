/**
 * Writes log lines about requests and updates their metrics. Lines about requests
 * served in time are sampled; all others are rate limited, at a rate far above
 * what a person can read. Omitted lines are counted.
 *
 * @module
 */
import { clock } from "../../kernel/clock.ts";
import {
  type EventFields,
  type EventLog,
  Events,
} from "../../kernel/events.ts";
import type { Failure } from "../../kernel/result_codes.ts";
import type { PreparedStatement, UpstreamLink } from "../upstream/link.ts";
import type { RequestMetrics } from "./request_metrics.ts";

/** One in this many requests that were served in time is logged. */
const SAMPLE_INTERVAL_COUNT = 50;

/** Slower answers are logged without sampling; this is the tightest latency target for the users' requests. */
const LATE_THRESHOLD_MS = 400;

/** Limit for lines about late, refused or retried requests. */
const MAX_LINES_PER_SECOND = 200;

/** Limit for lines about prepared statements: a sample, since each new connection prepares all statements anew. */
const MAX_PREPARED_LINES_PER_SECOND = 5;

/** Characters of a statement's shape that are logged; the usual ones are far shorter. */
const MAX_LOGGED_SHAPE_LENGTH = 80;

/** Counts lines against a limit per second. */
class LineBudget {
  readonly #limit: number;
  #second = 0;
  #lines = 0;

  constructor(limit: number) {
    this.#limit = limit;
  }

  /** Takes a line from the budget of the current second; false when it is used up. */
  take(): boolean {
    const second = Math.floor(clock.now() / 1_000);
    if (second !== this.#second) {
      this.#second = second;
      this.#lines = 0;
    }
    this.#lines += 1;
    return this.#lines <= this.#limit;
  }
}

/** Logs requests and updates their metrics. */
export class RequestLog {
  readonly #log: EventLog;
  readonly #metrics: RequestMetrics;
  readonly #budget = new LineBudget(MAX_LINES_PER_SECOND);
  readonly #preparedBudget = new LineBudget(MAX_PREPARED_LINES_PER_SECOND);
  #servedInTime = 0;

  constructor(log: EventLog, metrics: RequestMetrics) {
    this.#log = log;
    this.#metrics = metrics;
  }

  /** Records a request that was served; `fields` is not called if sampling omits the line. */
  served(
    request: { readonly id: string; readonly receivedAt: number },
    effect: string,
    fields: () => EventFields,
  ): void {
    const elapsed = clock.now() - request.receivedAt;
    this.#metrics.served(effect, elapsed);
    if (elapsed > LATE_THRESHOLD_MS) {
      this.#writeRateLimited(Events.REQUEST_LATE, {
        request: request.id,
        effect,
        elapsed: Math.round(elapsed),
        ...fields(),
      });
      return;
    }
    this.#servedInTime += 1;
    if (this.#servedInTime % SAMPLE_INTERVAL_COUNT !== 0) {
      this.#metrics.lineOmitted();
      return;
    }
    this.#log.write(Events.REQUEST_SERVED, {
      request: request.id,
      effect,
      elapsed: Math.round(elapsed),
      ...fields(),
    });
  }

  /** Records a request that was refused, failed, or has an unknown outcome. */
  refused(
    request: { readonly id: string; readonly receivedAt: number },
    failure: Failure,
    fields: EventFields,
  ): void {
    this.#metrics.refused(failure.code.name);
    this.#writeRateLimited(Events.STATEMENT_REFUSED, {
      request: request.id,
      code: failure.code.number,
      outcome: failure.code.outcome,
      reason: failure.message,
      elapsed: Math.round(clock.now() - request.receivedAt),
      ...fields,
    });
  }

  /** Records a failed attempt at a request, whether or not the request is retried. */
  attemptFailed(
    request: { readonly id: string },
    instance: string,
    reason: string,
    fields: EventFields,
  ): void {
    this.#metrics.attemptFailed(reason);
    this.#writeRateLimited(Events.READ_REPEATED, {
      request: request.id,
      instance,
      reason,
      ...fields,
    });
  }

  /** Records that a statement is prepared on a connection, under a name by which the instance knows it. */
  prepared(
    request: { readonly id: string },
    link: Pick<UpstreamLink, "id" | "instance">,
    name: string,
    statement: PreparedStatement,
  ): void {
    if (!this.#preparedBudget.take()) return this.#metrics.lineOmitted();
    const { effect, shape } = statement;
    this.#log.write(Events.STATEMENT_PREPARED, {
      request: request.id,
      instance: link.instance,
      connection: link.id,
      name,
      effect,
      shape: shape.slice(0, MAX_LOGGED_SHAPE_LENGTH),
      length: shape.length,
    });
  }

  #writeRateLimited(
    kind: (typeof Events)[keyof typeof Events],
    fields: EventFields,
  ) {
    if (!this.#budget.take()) return this.#metrics.lineOmitted();
    this.#log.write(kind, fields);
  }
}
