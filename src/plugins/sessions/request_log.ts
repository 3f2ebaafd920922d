/**
 * One log line for each decision that touches a request, and the counters and
 * latencies of requests. Lines of the ordinary are sampled, those of failures
 * are bounded by a rate far above what a person reads; what is left out is counted.
 *
 * @module
 */
import {
  type EventFields,
  type EventLog,
  Events,
} from "../../kernel/events.ts";
import type { Failure } from "../../kernel/result_codes.ts";
import type { RequestMetrics } from "./request_metrics.ts";

/** One of this many ordinary requests is logged. */
const SAMPLE_INTERVAL_COUNT = 50;

/** An answer that took longer than this, in ms, is always logged: the tightest aim of the users' requests. */
const LATE_THRESHOLD_MS = 400;

/** Lines about failed or repeated requests in a second. */
const MAX_LINES_PER_SECOND = 200;

/** Logs and counts requests. */
export class RequestLog {
  readonly #log: EventLog;
  readonly #metrics: RequestMetrics;
  #servedInTime = 0;
  #currentSecond = 0;
  #linesThisSecond = 0;

  constructor(log: EventLog, metrics: RequestMetrics) {
    this.#log = log;
    this.#metrics = metrics;
  }

  /** A request that was served. */
  served(
    request: { readonly id: string; readonly receivedAt: number },
    effect: string,
    fields: () => EventFields,
  ): void {
    const elapsed = performance.now() - request.receivedAt;
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

  /** A request that was refused, failed, or whose outcome is unknown. */
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
      elapsed: Math.round(performance.now() - request.receivedAt),
      ...fields,
    });
  }

  /** An attempt that did not serve a request, which is tried again or given up. */
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

  #writeRateLimited(
    kind: (typeof Events)[keyof typeof Events],
    fields: EventFields,
  ) {
    const second = Math.floor(performance.now() / 1_000);
    if (second !== this.#currentSecond) {
      this.#currentSecond = second;
      this.#linesThisSecond = 0;
    }
    this.#linesThisSecond += 1;
    if (this.#linesThisSecond > MAX_LINES_PER_SECOND) {
      this.#metrics.lineOmitted();
      return;
    }
    this.#log.write(kind, fields);
  }
}
