/**
 * What the load tool and its caller processes tell each other.
 *
 * @module
 */

/** Where callers connect. */
export interface Target {
  readonly host: string;
  readonly port: number;
}

/** How callers log in. */
export interface CallerAccount {
  readonly user: string;
  readonly password: string;
  readonly database: string;
}

/** A statement that callers repeat; `$1` is a key of its own for each run. */
export interface StatementKind {
  readonly name: string;
  readonly text: string;
  /** Part of the load, in relation to the other kinds. */
  readonly weight: number;
  /** Whether `$1` is given. */
  readonly keyed: boolean;
}

/** Callers that send without pause, or at a rate that does not heed the answers. */
export interface StatementLoad {
  readonly workload: "statements";
  readonly kinds: readonly StatementKind[];
  /** Statements a second of all callers together; without pause when left out. */
  readonly ratePerSecond?: number;
}

/** Callers with a session each, whose reads are checked against its writes. */
export interface SessionLoad {
  readonly workload: "sessions";
  readonly maxAgeMs: number;
  /** Pause before each read that does not directly follow a write. */
  readonly pauseMs: number;
}

/** Callers that connect and stay idle. */
export interface IdleLoad {
  readonly workload: "idle";
}

/** A load of the callers of one process. */
export type Load = StatementLoad | SessionLoad | IdleLoad;

/** What a caller process is told. */
export interface CallerOrder {
  readonly account: CallerAccount;
  readonly targets: readonly Target[];
  readonly callers: number;
  readonly firstIndex: number;
  readonly load: Load;
  /** Time of the first statement, in ms since the epoch. */
  readonly startAt: number;
  readonly durationMs: number;
}

/** What happened to one kind of statement. */
export interface KindReport {
  readonly done: number;
  /** Refusals and errors by SQLSTATE and, where given, result code. */
  readonly errors: Readonly<Record<string, number>>;
  /** Errors that are neither "not run" nor "outcome unknown" in words of the proxy. */
  readonly unexplained: number;
  /** Latency of answers, in microseconds, as a compressed hdr histogram. */
  readonly latency: string;
  /** Latency of refusals and errors, likewise. */
  readonly errorLatency: string;
  /** Answers for each interval since the start. */
  readonly doneByInterval: readonly number[];
  /** Errors for each interval since the start. */
  readonly errorsByInterval: readonly number[];
}

/** What a caller process reports at its end. */
export interface CallerReport {
  readonly kinds: Readonly<Record<string, KindReport>>;
  readonly readYourWritesViolations: number;
  readonly ageViolations: number;
}

/** Length of the intervals of a report. */
export const INTERVAL_MS = 100;
