/**
 * Logs the first of consecutive failures of a platform service, and its recovery.
 *
 * @module
 */
import { clock } from "./clock.ts";
import { type EventKind, type EventLog, Events } from "./events.ts";

/** Keeps a service that stays unavailable from flooding the log. */
export class OutageLog {
  readonly #log: EventLog;
  readonly #failure: EventKind;
  readonly #service: string;
  #failures = 0;
  #downSince = 0;

  constructor(log: EventLog, failure: EventKind, service: string) {
    this.#log = log;
    this.#failure = failure;
    this.#service = service;
  }

  /** Records a failure; logs only the first of consecutive ones. */
  recordFailure(error: unknown): void {
    this.#failures += 1;
    if (this.#failures > 1) return;
    this.#downSince = clock.now();
    this.#log.write(this.#failure, { error: describeError(error) });
  }

  /** Records a success; logs the recovery if failures preceded it. */
  recordSuccess(): void {
    if (this.#failures === 0) return;
    this.#log.write(Events.PLATFORM_RECOVERED, {
      service: this.#service,
      failures: this.#failures,
      downMs: Math.round(clock.now() - this.#downSince),
    });
    this.#failures = 0;
  }
}

/** Formats an error as one line of name, system error code (if any) and message. */
export function describeError(error: unknown): string {
  if (!(error instanceof Error)) return String(error);
  const code = (error as NodeJS.ErrnoException).code;
  return [error.name, code, error.message].filter(Boolean).join(": ");
}
