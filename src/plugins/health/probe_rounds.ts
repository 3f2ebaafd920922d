/**
 * Status rounds of one group. One round is outstanding at a time; it ends with a
 * majority of answers, so that a dead or distant instance does not hold up the next.
 *
 * @module
 */
import type { InstanceProbe } from "./instance_probe.ts";
import { majorityOf } from "./quorum.ts";

/** Shortest pause between rounds while someone waits. */
const MIN_ROUND_INTERVAL_MS = 1;
/** Distance of rounds while nobody waits. */
const IDLE_INTERVAL_MS = 200;
/** Distance of rounds while the primary is in doubt. */
const UNCONFIRMED_INTERVAL_MS = 25;

/** How soon the next round is wanted. */
export type Urgency = "immediate" | "unconfirmed" | "idle";

const INTERVALS_MS: Readonly<Record<Urgency, number>> = {
  "immediate": MIN_ROUND_INTERVAL_MS,
  "unconfirmed": UNCONFIRMED_INTERVAL_MS,
  "idle": IDLE_INTERVAL_MS,
};

/** What the rounds need of their group. */
export interface ProbeRoundsOptions {
  readonly probes: () => readonly InstanceProbe[];
  readonly urgency: () => Urgency;
}

/** The task that sends the rounds. */
export class ProbeRounds {
  readonly #options: ProbeRoundsOptions;
  #roundNumber = 0;
  #stopped = false;
  #requested = false;
  #notifyProgress: () => void = () => {};
  #wake: () => void = () => {};
  #sentProbes: ReadonlySet<InstanceProbe> = new Set();
  #answerCount = 0;

  constructor(options: ProbeRoundsOptions) {
    this.#options = options;
  }

  /** Number of the last round; a request with a higher number was sent after this moment. */
  get roundNumber(): number {
    return this.#roundNumber;
  }

  /** Sends rounds until `stop`. */
  async run(): Promise<void> {
    while (!this.#stopped) {
      this.#startRound();
      await this.#waitForRoundEnd();
      await this.#waitForNextRound();
    }
  }

  /** Asks for the next round at once. */
  request(): void {
    this.#requested = true;
    this.#wake();
  }

  /** Takes note of an answer or failure. */
  handleSettled(probe: InstanceProbe): void {
    if (probe.roundNumber === this.#roundNumber) this.#answerCount += 1;
    this.#notifyProgress();
  }

  /** Ends the task. */
  stop(): void {
    this.#stopped = true;
    this.#notifyProgress();
    this.#wake();
  }

  #startRound(): void {
    this.#requested = false;
    this.#roundNumber += 1;
    this.#answerCount = 0;
    const sent = this.#options.probes().filter((probe) =>
      probe.send(this.#roundNumber)
    );
    this.#sentProbes = new Set(sent);
  }

  async #waitForRoundEnd(): Promise<void> {
    while (!this.#stopped && !this.#isRoundComplete()) {
      await new Promise<void>((resolve) => this.#notifyProgress = resolve);
    }
  }

  #isRoundComplete(): boolean {
    const count = this.#options.probes().length;
    if (this.#answerCount >= majorityOf(count)) return true;
    return ![...this.#sentProbes].some((probe) => probe.outstanding);
  }

  async #waitForNextRound(): Promise<void> {
    const startedAt = performance.now();
    while (!this.#stopped) {
      const urgency = this.#requested ? "immediate" : this.#options.urgency();
      const remaining = startedAt + INTERVALS_MS[urgency] - performance.now();
      if (remaining <= 0) return;
      await this.#sleep(remaining);
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
