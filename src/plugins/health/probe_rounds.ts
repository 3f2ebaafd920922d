/**
 * Status rounds of one group. One round is in progress at a time; it ends once a majority
 * has answered, so that a dead or distant instance does not delay the next round.
 *
 * @module
 */
import { clock } from "../../kernel/clock.ts";
import type { InstanceProbe } from "./instance_probe.ts";
import { majorityOf } from "./quorum.ts";

/** Delay after a round while requests wait. */
const MIN_ROUND_INTERVAL_MS = 1;
/** Delay after a round while no request waits. */
export const IDLE_INTERVAL_MS = 200;
/** Delay after a round while the primary is unconfirmed. */
const UNCONFIRMED_INTERVAL_MS = 25;

/** How soon the next round should start. */
export type Urgency = "immediate" | "unconfirmed" | "idle";

const INTERVALS_MS: Readonly<Record<Urgency, number>> = {
  "immediate": MIN_ROUND_INTERVAL_MS,
  "unconfirmed": UNCONFIRMED_INTERVAL_MS,
  "idle": IDLE_INTERVAL_MS,
};

/** Options of `ProbeRounds`. */
export interface ProbeRoundsOptions {
  readonly probes: () => readonly InstanceProbe[];
  readonly urgency: () => Urgency;
}

/** Sends status requests to all instances of a group in rounds. */
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

  /** Number of the last round; requests with a higher number are sent after this call. */
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

  /** Starts the next round as soon as the current one has ended. */
  request(): void {
    this.#requested = true;
    this.#wake();
  }

  /** Records that a probe was answered or failed. */
  handleSettled(probe: InstanceProbe): void {
    if (probe.roundNumber === this.#roundNumber) this.#answerCount += 1;
    this.#notifyProgress();
  }

  /** Stops sending rounds. */
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
    const startedAt = clock.now();
    while (!this.#stopped) {
      const urgency = this.#requested ? "immediate" : this.#options.urgency();
      const remaining = startedAt + INTERVALS_MS[urgency] - clock.now();
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
