/**
 * Sends status requests to one instance, one at a time.
 *
 * @module
 */
import { clock } from "../../kernel/clock.ts";
import type { Instance } from "../document/document.ts";
import type {
  DatabaseGroup,
  InstanceStatus,
} from "../upstream/database_group.ts";
import type { InstanceObservation } from "./quorum.ts";

/** Timeout of a status request, including the time to open the connection. */
const PROBE_TIMEOUT_MS = 150;
/** Timeout for an instance that has not answered yet or is unresponsive. */
const EXTENDED_TIMEOUT_MS = 500;
/** Consecutive failures after which an instance counts as unresponsive. */
const UNRESPONSIVE_FAILURE_COUNT = 3;
/** Minimum interval between requests to a failing instance, at first and after many failures. */
const RETRY_DELAY_MS = 25;
const LONG_RETRY_DELAY_MS = 200;
/** Consecutive failures after which the longer delay applies. */
const LONG_RETRY_FAILURE_COUNT = 20;

/** Options of `InstanceProbe`. */
export interface InstanceProbeOptions {
  readonly database: string;
  readonly instance: Instance;
  readonly control: DatabaseGroup;
  /** Called after each answer or failure. */
  readonly onSettled: (probe: InstanceProbe) => void;
}

/** Requests the status of an instance and keeps the last answer. */
export class InstanceProbe implements InstanceObservation {
  readonly instance: Instance;
  status: InstanceStatus | undefined;
  sentAt = -Infinity;
  roundNumber = 0;
  /** Monotonic time in ms at which the last status arrived. */
  answeredAt = -Infinity;
  /** Monotonic time in ms at which the status before it arrived. */
  previousAnsweredAt = -Infinity;
  /** Consecutive failed requests since the last answer or the last pause of this process. */
  failures = 0;
  /** Monotonic time in ms at which the first of them was sent. */
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

  /** Sends a request unless one is outstanding or the retry delay has not passed; returns whether it was sent. */
  send(roundNumber: number): boolean {
    if (this.outstanding || this.#closed) return false;
    const now = clock.now();
    if (now - this.#lastSentAt < this.#retryDelay()) return false;
    this.outstanding = true;
    this.#lastSentAt = now;
    void this.#request(roundNumber, now);
    return true;
  }

  /** Resets the failure count after a pause of this process, since failures during it don't indicate a fault of the instance. */
  resetFailures(): void {
    this.#resetCount += 1;
    this.failures = 0;
    this.failingSince = Infinity;
  }

  /** Stops sending requests and ignores the outstanding one. */
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
    this.answeredAt = clock.now();
    this.failures = 0;
    this.failingSince = Infinity;
  }

  #recordFailure(sentAt: number): void {
    this.failures += 1;
    if (this.failures === 1) this.failingSince = sentAt;
  }
}
