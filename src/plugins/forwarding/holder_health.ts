/**
 * Which holders this proxy passes over, because they failed it a moment ago.
 *
 * @module
 */
import { clock } from "../../kernel/clock.ts";

/** Pause before a holder that failed once gets work again, in ms; doubled after each further failure up to the maximum. */
const FAILURE_PAUSE_MS = 1_000;
const MAX_FAILURE_PAUSE_MS = 8_000;

/** Pause before a host that said that it does not hold an instance is asked for it again, in ms: the time in which the hosts' views become the same. */
const REFUSAL_PAUSE_MS = 250;

/** Number of refusals that are remembered: all instances at their two holders, many times over. */
const MAX_REFUSALS = 1_000;

interface Failure {
  readonly count: number;
  /** Monotonic ms until which the holder is passed over. */
  readonly until: number;
  /** Whether a trial is in progress. */
  isTried: boolean;
}

/** Connects to a holder; resolves to whether its process answered. */
export type HolderTrial = (endpoint: string) => Promise<boolean>;

/** Called when a holder begins to be passed over, with the reason and the pause in ms, and when it is used again. */
export interface HolderHealthEvents {
  onPassedOver(endpoint: string, reason: string, pause: number): void;
  onUsedAgain(endpoint: string): void;
}

/** The holders' failures as this proxy has seen them, by the endpoint of their channels. */
export class HolderHealth {
  readonly #tryHolder: HolderTrial;
  readonly #events: HolderHealthEvents;
  readonly #failures = new Map<string, Failure>();
  /** Monotonic ms until which an endpoint is not asked for an instance. */
  readonly #refusals = new Map<string, number>();

  /** `tryHolder` is called once the pause after a failure is over, so that no work is risked to find out. */
  constructor(tryHolder: HolderTrial, events: HolderHealthEvents) {
    this.#tryHolder = tryHolder;
    this.#events = events;
  }

  /** Whether work for an instance may be sent to a holder now; starts a trial when it is due. */
  isUsable(endpoint: string, instance: string, now = clock.now()): boolean {
    const refusedUntil = this.#refusals.get(keyOf(endpoint, instance));
    if (refusedUntil !== undefined && now < refusedUntil) return false;
    const failure = this.#failures.get(endpoint);
    if (!failure) return true;
    if (now >= failure.until && !failure.isTried) {
      failure.isTried = true;
      void this.#try(endpoint);
    }
    return false;
  }

  /** Records that a holder could not be reached, or was lost with work on it; ignored while it is passed over. */
  recordFailure(endpoint: string, reason: string, now = clock.now()): void {
    const before = this.#failures.get(endpoint);
    if (before && !before.isTried && now < before.until) return;
    const count = (before?.count ?? 0) + 1;
    const pause = Math.min(
      MAX_FAILURE_PAUSE_MS,
      FAILURE_PAUSE_MS * 2 ** (count - 1),
    );
    this.#failures.set(endpoint, { count, until: now + pause, isTried: false });
    this.#events.onPassedOver(endpoint, reason, pause);
  }

  /** Records that a host said that it does not hold an instance. */
  recordRefusal(endpoint: string, instance: string, now = clock.now()): void {
    if (this.#refusals.size >= MAX_REFUSALS) this.#refusals.clear();
    this.#refusals.set(keyOf(endpoint, instance), now + REFUSAL_PAUSE_MS);
  }

  async #try(endpoint: string): Promise<void> {
    if (!await this.#tryHolder(endpoint)) {
      return this.recordFailure(endpoint, "the trial failed");
    }
    this.#failures.delete(endpoint);
    this.#events.onUsedAgain(endpoint);
  }
}

function keyOf(endpoint: string, instance: string): string {
  return `${endpoint} ${instance}`;
}
