/**
 * The link to one gossip partner: a task that probes the partner at an interval,
 * or immediately on request, and probes it through other members before
 * suspecting it.
 *
 * @module
 */
import { setTimeout as sleep } from "node:timers/promises";

/** Functions of the membership that a link calls. */
export interface LinkCallbacks {
  /** Exchanges updates with the partner; resolves with false if the partner did not answer. */
  exchange(name: string): Promise<boolean>;
  /** Whether another member can reach the partner. */
  probeIndirectly(name: string): Promise<boolean>;
  /** Number of messages received from the partner so far. */
  countMessages(name: string): number;
  /** Number of pauses and delays of this process since its start. */
  countDelays(): number;
  /** Marks the partner as suspected. */
  suspect(name: string): void;
  /** Mean delay until the next probe, in ms. */
  nextProbeDelay(name: string): number;
}

/** Consecutive failures that are put down to delays of this process before one counts. */
const MAX_EXCUSED_FAILURES = 5;

/** Probe task for one partner. */
export class PeerLink {
  readonly name: string;
  readonly #callbacks: LinkCallbacks;
  #waitAbort = new AbortController();
  #stopped = false;
  #excusedFailures = 0;
  #task: Promise<void> | undefined;

  constructor(name: string, callbacks: LinkCallbacks) {
    this.name = name;
    this.#callbacks = callbacks;
  }

  /** Starts the task; the first probe runs immediately. */
  start(): void {
    this.#task = this.#run();
  }

  /** Ends the wait for the next probe. */
  wake(): void {
    this.#waitAbort.abort();
  }

  /** Stops the task; resolves when the current probe has ended. */
  async stop(): Promise<void> {
    this.#stopped = true;
    this.wake();
    await this.#task;
  }

  async #run(): Promise<void> {
    while (!this.#stopped) {
      await this.#probe();
      await this.#wait(this.#callbacks.nextProbeDelay(this.name));
    }
  }

  /** Probes the partner; a failure counts only if no message of the partner arrived meanwhile, and if this process was not delayed during the probe, except after several of them. */
  async #probe(): Promise<void> {
    const { name } = this;
    const delaysBefore = this.#callbacks.countDelays();
    const messagesBefore = this.#callbacks.countMessages(name);
    const isHeard = () => this.#callbacks.countMessages(name) > messagesBefore;
    const hasAnswered = await this.#callbacks.exchange(name);
    if (hasAnswered || isHeard() || this.#stopped) {
      this.#excusedFailures = 0;
      return;
    }
    if (this.#isExcused(delaysBefore)) return;
    if (await this.#callbacks.probeIndirectly(name) || isHeard()) return;
    if (this.#isExcused(delaysBefore) || this.#stopped) return;
    this.#excusedFailures = 0;
    this.#callbacks.suspect(name);
  }

  /** Whether a failure is put down to delays of this process; the probe is then repeated at once. */
  #isExcused(delaysBefore: number): boolean {
    if (this.#callbacks.countDelays() === delaysBefore) return false;
    if (this.#excusedFailures >= MAX_EXCUSED_FAILURES) return false;
    this.#excusedFailures += 1;
    this.wake();
    return true;
  }

  async #wait(intervalMs: number): Promise<void> {
    const jitteredMs = intervalMs * (0.75 + Math.random() / 2);
    const { signal } = this.#waitAbort;
    await sleep(jitteredMs, undefined, { signal }).catch(() => undefined);
    if (signal.aborted) this.#waitAbort = new AbortController();
  }
}
