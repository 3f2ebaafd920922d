/**
 * Status requests to one instance, one at a time.
 *
 * @module
 */
import type { Instance } from "../document/document.ts";
import type {
  DatabaseGroup,
  InstanceStatus,
} from "../upstream/database_group.ts";
import type { InstanceObservation } from "./quorum.ts";

/** Longest wait for a status, the opening of the connection included. */
const PROBE_TIMEOUT_MS = 150;
/** The same while the instance was never heard, or is known to be silent. */
const EXTENDED_TIMEOUT_MS = 500;
/** Failures in a row from which an instance is known to be silent. */
const UNRESPONSIVE_FAILURE_COUNT = 3;
/** Pause between requests to an instance that fails, at first and after many failures. */
const RETRY_DELAY_MS = 25;
const LONG_RETRY_DELAY_MS = 200;
/** Failures in a row from which the longer pause holds. */
const LONG_RETRY_FAILURE_COUNT = 20;

/** What the probe needs. */
export interface InstanceProbeOptions {
  readonly database: string;
  readonly instance: Instance;
  readonly control: DatabaseGroup;
  /** Called after each answer or failure. */
  readonly onSettled: (probe: InstanceProbe) => void;
}

/** Asks an instance for its status and keeps the last answer. */
export class InstanceProbe implements InstanceObservation {
  readonly instance: Instance;
  status: InstanceStatus | undefined;
  sentAt = -Infinity;
  roundNumber = 0;
  /** Monotonic ms of the arrival of the last status. */
  answeredAt = -Infinity;
  /** Monotonic ms of the arrival of the status before it. */
  previousAnsweredAt = -Infinity;
  /** Failed requests in a row since the last answer or the last pause of this process. */
  failures = 0;
  /** Monotonic ms of the sending of the first of them. */
  failingSince = Infinity;
  outstanding = false;
  readonly #options: InstanceProbeOptions;
  #lastSentAt = -Infinity;
  #resetCount = 0;
  #closed = false;

  constructor(options: InstanceProbeOptions) {
    this.#options = options;
    this.instance = options.instance;
  }

  /** Sends a request with the given number unless one is outstanding or the instance failed a moment ago; whether it did. */
  send(roundNumber: number): boolean {
    if (this.outstanding || this.#closed) return false;
    const now = performance.now();
    if (now - this.#lastSentAt < this.#retryDelay()) return false;
    this.outstanding = true;
    this.#lastSentAt = now;
    void this.#request(roundNumber, now);
    return true;
  }

  /** Starts the count of failures anew: a pause of this process says nothing about the instance. */
  resetFailures(): void {
    this.#resetCount += 1;
    this.failures = 0;
    this.failingSince = Infinity;
  }

  /** Ignores what is still to come. */
  close(): void {
    this.#closed = true;
  }

  #retryDelay(): number {
    if (this.failures === 0) return 0;
    return this.failures < LONG_RETRY_FAILURE_COUNT
      ? RETRY_DELAY_MS
      : LONG_RETRY_DELAY_MS;
  }

  #timeout(): number {
    const extended = !this.status ||
      this.failures >= UNRESPONSIVE_FAILURE_COUNT;
    return extended ? EXTENDED_TIMEOUT_MS : PROBE_TIMEOUT_MS;
  }

  async #request(roundNumber: number, sentAt: number): Promise<void> {
    const { database, instance, control, onSettled } = this.#options;
    const resetCount = this.#resetCount;
    const result = await control.status(
      database,
      instance,
      this.#timeout(),
    );
    this.outstanding = false;
    if (this.#closed) return;
    if (result.isOk()) this.#recordStatus(result.value, roundNumber, sentAt);
    else if (resetCount === this.#resetCount) this.#recordFailure(sentAt);
    onSettled(this);
  }

  #recordStatus(
    status: InstanceStatus,
    roundNumber: number,
    sentAt: number,
  ): void {
    this.status = status;
    this.roundNumber = roundNumber;
    this.sentAt = sentAt;
    this.previousAnsweredAt = this.answeredAt;
    this.answeredAt = performance.now();
    this.failures = 0;
    this.failingSince = Infinity;
  }

  #recordFailure(sentAt: number): void {
    this.failures += 1;
    if (this.failures === 1) this.failingSince = sentAt;
  }
}
