/**
 * Ends all sessions of a proxy that stops, in phases: callers that still arrive
 * are served, sessions end between two operations, transactions get their time,
 * and nothing that was received is left without an answer.
 *
 * @module
 */
import { clock } from "../../kernel/clock.ts";
import {
  createFailure,
  type Failure,
  ResultCodes,
} from "../../kernel/result_codes.ts";
import { sleep } from "../../utils/sleep.ts";

/** Time for the load balancer to notice that this host is not ready, in ms: two failed probes a second apart, plus a margin. */
const BALANCER_NOTICE_MS = 2_500;

/** Delay before idle sessions are closed, in ms, since new callers still arrive at first. */
const IDLE_CLOSE_DELAY_MS = 1_200;

/** A session without a statement for this long, in ms, is taken to be between two operations of its caller. */
const SESSION_IDLE_MS = 250;

/** Fraction of the stop timeout after which sessions end with the answer to an operation, if the load balancer needs longer than that. */
const OPERATION_TIME_FRACTION = 0.45;

/** Fraction of the stop timeout for which idle transactions are kept; the users' requirements grant them the first half. */
const TRANSACTION_TIME_FRACTION = 0.5;

/** Fraction of the stop timeout after which no further statement is begun, so that those in progress can end. */
const STATEMENT_TIME_FRACTION = 0.6;

/** Interval between checks of the remaining sessions, in ms. */
const DRAIN_POLL_MS = 50;

/** Which statements a session still accepts: all, those up to the end of an operation, or none outside its transaction. */
export type SessionPhase = "open" | "ending" | "refusing";

/** A session as its drain sees it. */
export interface DrainableSession {
  /** Whether a statement is running. */
  readonly isBusy: boolean;
  /** Time in ms since the last answer. */
  readonly quietTime: number;
  /** Whether a transaction is open or failed. */
  readonly inTransaction: boolean;
  /** Whether nothing that the caller has sent waits to be read. */
  readonly inputEmpty: boolean;
  enter(phase: SessionPhase): void;
  /** Rolls back an open transaction. */
  endTransaction(): void;
  /** Closes the connection of a session that is not running a statement. */
  close(): void;
  /** Answers all that the caller has sent as not done or unknown, and closes the connection. */
  abandon(): void;
}

/** A connected caller. */
export interface ConnectedCaller {
  /** Undefined until the caller's startup was accepted. */
  readonly session?: DrainableSession;
  /** Turns the caller away. */
  reject(failure: Failure): void;
}

/** The callers to drain and the time for it. */
export interface SessionDrainOptions {
  /** Callers that are connected at the time of the call. */
  readonly callers: () => readonly ConnectedCaller[];
  /** Time from the signal to stop until the process is killed, in ms. */
  readonly stopTimeout: number;
}

/** What a drain did, in sessions. */
export interface DrainReport {
  /** Closed while their callers had nothing outstanding and were idle. */
  readonly closed: number;
  /** Still connected at the deadline. */
  readonly abandoned: number;
}

/** The drain of all sessions, from its creation on. */
export class SessionDrain {
  readonly #options: SessionDrainOptions;
  readonly #startedAt = clock.now();
  #closed = 0;

  constructor(options: SessionDrainOptions) {
    this.#options = options;
  }

  /** Whether new callers are turned away. */
  get isRefusing(): boolean {
    return this.#phase(clock.now()) === "refusing";
  }

  /** Resolves once no caller is left and the load balancer sends no more; at the deadline, in monotonic ms, the remaining sessions are abandoned. */
  async run(deadline: number): Promise<DrainReport> {
    const remaining = deadline - clock.now();
    await sleep(Math.min(IDLE_CLOSE_DELAY_MS, remaining));
    for (;;) {
      const now = clock.now();
      const callers = this.#options.callers();
      const isLeft = callers.length === 0 && this.#phase(now) !== "open";
      if (isLeft || now >= deadline) {
        const abandoned = this.#abandonRemaining();
        return { closed: this.#closed, abandoned };
      }
      for (const { session } of callers) {
        if (session) this.#advance(session, now);
      }
      await sleep(Math.min(DRAIN_POLL_MS, deadline - now));
    }
  }

  #phase(now: number): SessionPhase {
    const { stopTimeout } = this.#options;
    const elapsed = now - this.#startedAt;
    if (elapsed >= STATEMENT_TIME_FRACTION * stopTimeout) return "refusing";
    const operationTime = Math.min(
      BALANCER_NOTICE_MS,
      OPERATION_TIME_FRACTION * stopTimeout,
    );
    return elapsed >= operationTime ? "ending" : "open";
  }

  #advance(session: DrainableSession, now: number): void {
    session.enter(this.#phase(now));
    if (session.isBusy || !session.inputEmpty) return;
    if (session.inTransaction) {
      // The connection stays open, so that the caller's COMMIT gets a definite answer.
      if (this.#isTransactionTimeOver(now)) session.endTransaction();
      return;
    }
    if (session.quietTime < SESSION_IDLE_MS) return;
    this.#closed += 1;
    session.close();
  }

  #isTransactionTimeOver(now: number): boolean {
    const { stopTimeout } = this.#options;
    return now - this.#startedAt >= TRANSACTION_TIME_FRACTION * stopTimeout;
  }

  #abandonRemaining(): number {
    const callers = this.#options.callers();
    for (const { session, reject } of callers) {
      if (session) session.abandon();
      else reject(stoppingFailure());
    }
    return callers.length;
  }
}

/** Failure for what a stopping proxy no longer begins. */
export function stoppingFailure(): Failure {
  return createFailure(
    ResultCodes.SHUTTING_DOWN,
    "this proxy is stopping; connect again",
  );
}
