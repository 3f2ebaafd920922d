/**
 * Since when each member has been suspected. A newer state that a third member
 * passes on doesn't start the count anew, word from the member itself ends it.
 *
 * @module
 */

/** How long a member stays suspected before it counts as gone. */
const SUSPICION_MS = 700;
/** A suspicion that comes back within this time is the same one. */
const SAME_SUSPICION_MS = 1_500;

interface Suspicion {
  since: number;
  lastAt: number;
}

/** Counts the time of suspicions. */
export class Suspicions {
  readonly #suspicions = new Map<string, Suspicion>();

  /** Notes that a member is suspected at this moment. */
  note(name: string): void {
    const now = performance.now();
    const known = this.#suspicions.get(name);
    const same = known && now - known.lastAt < SAME_SUSPICION_MS;
    this.#suspicions.set(name, {
      since: same ? known.since : now,
      lastAt: now,
    });
  }

  /** Whether a member was suspected a short while ago and has not been heard since. */
  has(name: string): boolean {
    return this.#suspicions.has(name);
  }

  /** Number of members that are suspected or were a short while ago. */
  get size(): number {
    return this.#suspicions.size;
  }

  /** Whether a member has been suspected for so long that it counts as gone; `patience` multiplies the time. */
  expired(name: string, patience: number): boolean {
    const known = this.#suspicions.get(name);
    return known !== undefined &&
      performance.now() - known.since >= SUSPICION_MS * patience;
  }

  /** Ends the suspicion of a member that was heard. */
  end(name: string): void {
    this.#suspicions.delete(name);
  }

  /** Starts all counts anew, after a pause of this process. */
  restart(): void {
    const now = performance.now();
    for (const suspicion of this.#suspicions.values()) suspicion.since = now;
  }

  /** Drops suspicions that did not come back. */
  expire(): void {
    const oldest = performance.now() - SAME_SUSPICION_MS;
    for (const [name, suspicion] of this.#suspicions) {
      if (suspicion.lastAt < oldest) this.#suspicions.delete(name);
    }
  }
}
