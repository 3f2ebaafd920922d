/**
 * Decides when a primary is considered dead. Failures of regular traffic, or
 * silence while statements wait, raise suspicion; probes over new connections
 * then decide.
 *
 * @module
 */
import type { Result } from "neverthrow";
import { clock } from "../../kernel/clock.ts";
import { sleep } from "../../utils/sleep.ts";

/**
 * Requests the primary's status over a new connection; the error says whether
 * the connection was refused or no answer came.
 */
export type Probe = () => Promise<Result<void, "refused" | "silent">>;

/**
 * Time without an answer that raises suspicion, in ms: several times the duration
 * of a statement on a healthy instance, including a crossing between regions.
 */
const SILENCE_MS = 300;

/** A connection failure within this time after an answer, in ms, raises no suspicion. */
const RECENT_ANSWER_MS = 100;

/**
 * Delay before a refused probe is repeated, in ms; a process that restarts in
 * place takes longer than this.
 */
const PROBE_RETRY_DELAY_MS = 120;

/** Failure detector for one primary. */
export class PrimaryFailureDetector {
  readonly #probe: Probe;
  #lastAnswerAt = -Infinity;
  /** Monotonic ms at which the first statement since the last answer was sent. */
  #requestedAt: number | undefined;
  #probing = false;
  #failureReason: string | undefined;

  constructor(probe: Probe) {
    this.#probe = probe;
  }

  /** Why the primary is considered dead; undefined while it is not. */
  get failureReason(): string | undefined {
    return this.#failureReason;
  }

  /** Whether the primary is considered dead or is being probed. */
  get isSuspected(): boolean {
    return this.#probing || this.#failureReason !== undefined;
  }

  /** Records that a statement is sent to the primary. */
  recordRequest(now = clock.now()): void {
    this.#requestedAt ??= now;
  }

  /** Records an answer of the primary, which clears all suspicion. */
  recordAnswer(now = clock.now()): void {
    this.#lastAnswerAt = now;
    this.#requestedAt = undefined;
    this.#failureReason = undefined;
  }

  /** Clears all state, for use after the primary has changed or a change has failed. */
  reset(): void {
    this.#failureReason = undefined;
    this.#requestedAt = undefined;
    this.#lastAnswerAt = -Infinity;
  }

  /** Raises suspicion if a statement has waited too long for an answer; called at short intervals. */
  async checkSilence(now = clock.now()): Promise<void> {
    if (this.#requestedAt === undefined) return;
    if (now - this.#requestedAt < SILENCE_MS) return;
    await this.suspect(now);
  }

  /** Probes the primary after a failure until it has answered or is considered dead. */
  async suspect(now = clock.now()): Promise<void> {
    if (this.#probing || this.#failureReason) return;
    if (now - this.#lastAnswerAt < RECENT_ANSWER_MS) return;
    this.#probing = true;
    this.#failureReason = await this.#runProbes(now);
    this.#probing = false;
  }

  async #runProbes(startedAt: number): Promise<string | undefined> {
    const first = await this.#probe();
    if (first.isOk() || this.#lastAnswerAt > startedAt) return undefined;
    if (first.error === "silent") return "no answer to a probe";
    await sleep(PROBE_RETRY_DELAY_MS);
    const second = await this.#probe();
    if (second.isOk() || this.#lastAnswerAt > startedAt) return undefined;
    return `probes: ${first.error}, ${second.error}`;
  }
}
