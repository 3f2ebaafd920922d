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
const PATIENT_TIMEOUT_MS = 500;
/** Failures in a row from which an instance is known to be silent. */
const SILENT_FAILURES = 3;
/** Pause between requests to an instance that fails, at first and after many failures. */
const FAILING_PAUSE_MS = 25;
const DEAD_PAUSE_MS = 200;
/** Failures in a row from which the longer pause holds. */
const DEAD_FAILURES = 20;

/** What the probe needs. */
export interface InstanceProbeOptions {
  readonly database: string;
  readonly instance: Instance;
  readonly control: DatabaseGroup;
  /** Called after each answer or failure. */
  readonly settled: (probe: InstanceProbe) => void;
}

/** Asks an instance for its status and keeps the last answer. */
export class InstanceProbe implements InstanceObservation {
  readonly instance: Instance;
  status: InstanceStatus | undefined;
  sentAt = -Infinity;
  order = 0;
  /** Monotonic ms of the arrival of the last status. */
  answeredAt = -Infinity;
  /** Monotonic ms of the arrival of the status before it. */
  answeredBefore = -Infinity;
  /** Failed requests in a row since the last answer or the last pause of this process. */
  failures = 0;
  /** Monotonic ms of the sending of the first of them. */
  failingSince = Infinity;
  outstanding = false;
  readonly #options: InstanceProbeOptions;
  #lastSentAt = -Infinity;
  #pauses = 0;
  #closed = false;

  constructor(options: InstanceProbeOptions) {
    this.#options = options;
    this.instance = options.instance;
  }

  /** Sends a request with the given number unless one is outstanding or the instance failed a moment ago; whether it did. */
  send(order: number): boolean {
    if (this.outstanding || this.#closed) return false;
    const now = performance.now();
    if (now - this.#lastSentAt < this.#pause()) return false;
    this.outstanding = true;
    this.#lastSentAt = now;
    void this.#request(order, now);
    return true;
  }

  /** Starts the count of failures anew: a pause of this process says nothing about the instance. */
  forgive(): void {
    this.#pauses += 1;
    this.failures = 0;
    this.failingSince = Infinity;
  }

  /** Ignores what is still to come. */
  close(): void {
    this.#closed = true;
  }

  #pause(): number {
    if (this.failures === 0) return 0;
    return this.failures < DEAD_FAILURES ? FAILING_PAUSE_MS : DEAD_PAUSE_MS;
  }

  #timeout(): number {
    const patient = !this.status || this.failures >= SILENT_FAILURES;
    return patient ? PATIENT_TIMEOUT_MS : PROBE_TIMEOUT_MS;
  }

  async #request(order: number, sentAt: number): Promise<void> {
    const { database, instance, control, settled } = this.#options;
    const pauses = this.#pauses;
    const result = await control.status(
      database,
      instance,
      this.#timeout(),
    );
    this.outstanding = false;
    if (this.#closed) return;
    if (result.isOk()) this.#take(result.value, order, sentAt);
    else if (pauses === this.#pauses) this.#fail(sentAt);
    settled(this);
  }

  #take(status: InstanceStatus, order: number, sentAt: number): void {
    this.status = status;
    this.order = order;
    this.sentAt = sentAt;
    this.answeredBefore = this.answeredAt;
    this.answeredAt = performance.now();
    this.failures = 0;
    this.failingSince = Infinity;
  }

  #fail(sentAt: number): void {
    this.failures += 1;
    if (this.failures === 1) this.failingSince = sentAt;
  }
}
