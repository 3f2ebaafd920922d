/**
 * Logs the first failure of a row and the recovery from it.
 *
 * @module
 */
import { type EventKind, type EventLog, Events } from "./events.ts";

/** Keeps a service that stays down from flooding the log. */
export class OutageLog {
  readonly #log: EventLog;
  readonly #failure: EventKind;
  readonly #service: string;
  #failures = 0;
  #since = 0;

  constructor(log: EventLog, failure: EventKind, service: string) {
    this.#log = log;
    this.#failure = failure;
    this.#service = service;
  }

  /** Notes a failure; writes an event when it is the first of a row. */
  failed(error: unknown): void {
    this.#failures += 1;
    if (this.#failures > 1) return;
    this.#since = performance.now();
    this.#log.write(this.#failure, { error: describeError(error) });
  }

  /** Notes a success; writes an event when it ends a row of failures. */
  succeeded(): void {
    if (this.#failures === 0) return;
    this.#log.write(Events.PLATFORM_RECOVERED, {
      service: this.#service,
      failures: this.#failures,
      downMs: Math.round(performance.now() - this.#since),
    });
    this.#failures = 0;
  }
}

/** A short text for an error, with the code of the system where there is one. */
export function describeError(error: unknown): string {
  if (!(error instanceof Error)) return String(error);
  const code = (error as NodeJS.ErrnoException).code;
  return [error.name, code, error.message].filter(Boolean).join(": ");
}
