/**
 * The task of one gossip partner: probes it at an interval, or at once when
 * there is news, and asks others about it before it is suspected.
 *
 * @module
 */
import { setTimeout as sleep } from "node:timers/promises";

/** What a link needs of the membership. */
export interface LinkDuties {
  /** Swaps news with the partner; false when it did not answer. */
  exchange(name: string): Promise<boolean>;
  /** Whether another member reaches the partner. */
  reachedByOthers(name: string): Promise<boolean>;
  /** Number of pauses of this process so far. */
  pauses(): number;
  suspect(name: string): void;
  /** Time until the next probe, in ms. */
  interval(name: string): number;
}

/** Task of one partner. */
export class PeerLink {
  readonly name: string;
  readonly #duties: LinkDuties;
  #wake = new AbortController();
  #stopped = false;
  #task: Promise<void> | undefined;

  constructor(name: string, duties: LinkDuties) {
    this.name = name;
    this.#duties = duties;
  }

  /** Begins the task; the first probe comes at once. */
  start(): void {
    this.#task = this.#run();
  }

  /** Probes without waiting for the interval to end. */
  wake(): void {
    this.#wake.abort();
  }

  /** Ends the task. */
  async stop(): Promise<void> {
    this.#stopped = true;
    this.wake();
    await this.#task;
  }

  async #run(): Promise<void> {
    while (!this.#stopped) {
      await this.#probe();
      await this.#wait(this.#duties.interval(this.name));
    }
  }

  /** A failed probe counts only when this process ran all the while. */
  async #probe(): Promise<void> {
    const { name } = this;
    const pauses = this.#duties.pauses();
    if (await this.#duties.exchange(name)) return;
    if (this.#duties.pauses() !== pauses) return this.wake();
    if (this.#stopped) return;
    if (await this.#duties.reachedByOthers(name)) return;
    if (this.#duties.pauses() !== pauses) return this.wake();
    if (this.#stopped) return;
    this.#duties.suspect(name);
  }

  async #wait(interval: number): Promise<void> {
    const jittered = interval * (0.75 + Math.random() / 2);
    const { signal } = this.#wake;
    await sleep(jittered, undefined, { signal }).catch(() => undefined);
    if (signal.aborted) this.#wake = new AbortController();
  }
}
