/**
 * Tracks how long each member has been suspected. A newer state received from a
 * third member doesn't restart the timeout; a message from the suspected member
 * itself clears the suspicion.
 *
 * @module
 */
import { clock } from "../../kernel/clock.ts";

/** Time for which a member is suspected before it counts as gone. */
const SUSPICION_TIMEOUT_MS = 700;
/** A suspicion that recurs within this time continues the previous one. */
const RECURRENCE_WINDOW_MS = 1_500;

interface Suspicion {
  since: number;
  lastSuspectedAt: number;
}

/** Suspicions by member name. */
export class Suspicions {
  readonly #suspicions = new Map<string, Suspicion>();

  /** Records that a member is currently suspected. */
  record(name: string): void {
    const now = clock.now();
    const previous = this.#suspicions.get(name);
    const recurring = previous &&
      now - previous.lastSuspectedAt < RECURRENCE_WINDOW_MS;
    this.#suspicions.set(name, {
      since: recurring ? previous.since : now,
      lastSuspectedAt: now,
    });
  }

  /** Whether a member is or recently was suspected and has not sent a message since. */
  has(name: string): boolean {
    return this.#suspicions.has(name);
  }

  /** Number of members that are or recently were suspected. */
  get size(): number {
    return this.#suspicions.size;
  }

  /** Whether a member has been suspected for the suspicion timeout, multiplied by `timeoutMultiplier`, and so counts as gone. */
  hasTimedOut(name: string, timeoutMultiplier: number): boolean {
    const suspicion = this.#suspicions.get(name);
    return suspicion !== undefined &&
      clock.now() - suspicion.since >=
        SUSPICION_TIMEOUT_MS * timeoutMultiplier;
  }

  /** Clears the suspicion of a member. */
  clear(name: string): void {
    this.#suspicions.delete(name);
  }

  /** Restarts all suspicion timeouts, after a pause of this process. */
  restartTimeouts(): void {
    const now = clock.now();
    for (const suspicion of this.#suspicions.values()) suspicion.since = now;
  }

  /** Removes suspicions that did not recur within the window. */
  removeStale(): void {
    const cutoff = clock.now() - RECURRENCE_WINDOW_MS;
    for (const [name, suspicion] of this.#suspicions) {
      if (suspicion.lastSuspectedAt < cutoff) this.#suspicions.delete(name);
    }
  }
}
