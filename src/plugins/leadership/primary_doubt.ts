/**
 * When a primary counts as dead. Failures of ordinary traffic, or silence while
 * statements wait, raise a doubt; a probe over a new connection then decides.
 *
 * @module
 */
import type { Result } from "neverthrow";
import { sleep } from "../../utils/sleep.ts";

/** Asks the primary for its status over a new connection; the failure says whether it refused or stayed silent. */
export type Probe = () => Promise<Result<void, "refused" | "silent">>;

/**
 * Silence that raises a doubt, in ms: several times what a statement takes at
 * an instance that works, a crossing between regions included.
 */
const SILENCE_MS = 300;

/** An answer this young, in ms, makes a failure of one connection no reason for doubt. */
const HEARD_WITHIN_MS = 100;

/** Pause before a refused probe is repeated, in ms: a process that restarts in place is back later than this. */
const PROBE_PAUSE_MS = 120;

/** Doubt about one primary. */
export class PrimaryDoubt {
  readonly #probe: Probe;
  #heardAt = -Infinity;
  /** Monotonic ms of the first statement sent since the last answer. */
  #askedAt: number | undefined;
  #running = false;
  #dead: string | undefined;

  constructor(probe: Probe) {
    this.#probe = probe;
  }

  /** Why the primary counts as dead; undefined while it does not. */
  get dead(): string | undefined {
    return this.#dead;
  }

  /** Whether it counts as dead, or is being probed after silence. */
  get pressing(): boolean {
    return this.#running || this.#dead !== undefined;
  }

  /** Notes that a statement is sent to the primary. */
  asked(now = performance.now()): void {
    this.#askedAt ??= now;
  }

  /** Notes an answer of the primary. */
  heard(now = performance.now()): void {
    this.#heardAt = now;
    this.#askedAt = undefined;
    this.#dead = undefined;
  }

  /** Forgets what was found out about an earlier primary. */
  reset(): void {
    this.#dead = undefined;
    this.#askedAt = undefined;
    this.#heardAt = -Infinity;
  }

  /** Looks for silence; called at short intervals. */
  async look(now = performance.now()): Promise<void> {
    if (this.#askedAt === undefined) return;
    if (now - this.#askedAt < SILENCE_MS) return;
    await this.raise(now);
  }

  /** Notes a failure; probes until the primary has answered or counts as dead. */
  async raise(now = performance.now()): Promise<void> {
    if (this.#running || this.#dead) return;
    if (now - this.#heardAt < HEARD_WITHIN_MS) return;
    this.#running = true;
    this.#dead = await this.#findOut(now);
    this.#running = false;
  }

  async #findOut(begunAt: number): Promise<string | undefined> {
    const first = await this.#probe();
    if (first.isOk() || this.#heardAt > begunAt) return undefined;
    if (first.error === "silent") return "no answer to a probe";
    await sleep(PROBE_PAUSE_MS);
    const second = await this.#probe();
    if (second.isOk() || this.#heardAt > begunAt) return undefined;
    return `probes: ${first.error}, ${second.error}`;
  }
}
