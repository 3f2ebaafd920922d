/**
 * Status rounds of one group. One round is outstanding at a time; it ends with a
 * majority of answers, so that a dead or distant instance does not hold up the next.
 *
 * @module
 */
import type { InstanceProbe } from "./instance_probe.ts";
import { majorityOf } from "./quorum.ts";

/** Shortest pause between rounds while someone waits. */
const ROUND_FLOOR_MS = 1;
/** Distance of rounds while nobody waits. */
const IDLE_INTERVAL_MS = 200;
/** Distance of rounds while the primary is in doubt. */
const DOUBT_INTERVAL_MS = 25;

/** How soon the next round is wanted. */
export type Urgency = "waited for" | "in doubt" | "idle";

const INTERVALS_MS: Readonly<Record<Urgency, number>> = {
  "waited for": ROUND_FLOOR_MS,
  "in doubt": DOUBT_INTERVAL_MS,
  "idle": IDLE_INTERVAL_MS,
};

/** What the rounds need of their group. */
export interface RoundsOptions {
  readonly probes: () => readonly InstanceProbe[];
  readonly urgency: () => Urgency;
}

/** The task that sends the rounds. */
export class Rounds {
  readonly #options: RoundsOptions;
  #order = 0;
  #stopped = false;
  #requested = false;
  #news: () => void = () => {};
  #wake: () => void = () => {};
  #awaited: ReadonlySet<InstanceProbe> = new Set();
  #answers = 0;

  constructor(options: RoundsOptions) {
    this.#options = options;
  }

  /** Number of the last round; a request with a higher number was sent after this moment. */
  get order(): number {
    return this.#order;
  }

  /** Sends rounds until `stop`. */
  async run(): Promise<void> {
    while (!this.#stopped) {
      this.#begin();
      await this.#end();
      await this.#pause();
    }
  }

  /** Asks for the next round at once. */
  request(): void {
    this.#requested = true;
    this.#wake();
  }

  /** Takes note of an answer or failure. */
  settled(probe: InstanceProbe): void {
    if (probe.order === this.#order) this.#answers += 1;
    this.#news();
  }

  /** Ends the task. */
  stop(): void {
    this.#stopped = true;
    this.#news();
    this.#wake();
  }

  #begin(): void {
    this.#requested = false;
    this.#order += 1;
    this.#answers = 0;
    const sent = this.#options.probes().filter((probe) =>
      probe.send(this.#order)
    );
    this.#awaited = new Set(sent);
  }

  async #end(): Promise<void> {
    while (!this.#stopped && !this.#isOver()) {
      await new Promise<void>((resolve) => this.#news = resolve);
    }
  }

  #isOver(): boolean {
    const count = this.#options.probes().length;
    if (this.#answers >= majorityOf(count)) return true;
    return ![...this.#awaited].some((probe) => probe.outstanding);
  }

  async #pause(): Promise<void> {
    const begun = performance.now();
    while (!this.#stopped) {
      const urgency = this.#requested ? "waited for" : this.#options.urgency();
      const left = begun + INTERVALS_MS[urgency] - performance.now();
      if (left <= 0) return;
      await this.#sleep(left);
    }
  }

  #sleep(ms: number): Promise<void> {
    return new Promise((resolve) => {
      const timer = setTimeout(resolve, ms);
      this.#wake = () => {
        clearTimeout(timer);
        resolve();
      };
    });
  }
}
