/**
 * When a primary counts as dead. Failures of ordinary traffic raise a doubt;
 * probes over new connections then decide.
 *
 * @module
 */
import type { Result } from "neverthrow";

/** Asks the primary for its status over a new connection; the failure says whether it refused or stayed silent. */
export type Probe = () => Promise<Result<void, "refused" | "silent">>;

/** Probes in a row that must fail. */
const FAILED_PROBES = 2;

/** Pause between two probes, in ms: a process that restarts in place is back later than this. */
const PROBE_PAUSE_MS = 150;

/** Doubt about one primary. */
export class PrimaryDoubt {
  readonly #probe: Probe;
  #heardAt = -Infinity;
  #running = false;
  #dead: string | undefined;

  constructor(probe: Probe) {
    this.#probe = probe;
  }

  /** Why the primary counts as dead; undefined while it does not. */
  get dead(): string | undefined {
    return this.#dead;
  }

  /** Notes an answer of the primary. */
  heard(): void {
    this.#heardAt = performance.now();
    this.#dead = undefined;
  }

  /** Forgets what was found out about an earlier primary. */
  reset(): void {
    this.#dead = undefined;
    this.#heardAt = -Infinity;
  }

  /** Notes a failure; probes until the primary answers or counts as dead. */
  async raise(): Promise<void> {
    if (this.#running || this.#dead) return;
    this.#running = true;
    const begunAt = performance.now();
    const failures: string[] = [];
    while (failures.length < FAILED_PROBES) {
      const probe = await this.#probe();
      if (probe.isOk() || this.#heardAt > begunAt) break;
      failures.push(probe.error);
      await new Promise((resolve) => setTimeout(resolve, PROBE_PAUSE_MS));
    }
    this.#running = false;
    if (failures.length < FAILED_PROBES || this.#heardAt > begunAt) return;
    this.#dead = failures.join(", ");
  }
}
