/**
 * Memory that the values and prepared statements of all sessions take together.
 *
 * @module
 */
import { getHeapStatistics } from "node:v8";

/** Part of the process's heap that sessions may fill; the rest is for messages, rows and connections. */
const HEAP_FRACTION = 0.2;

/** Part of it that only sessions with little use, so that ordinary callers are served beside heavy ones. */
const RESERVED_FRACTION = 0.25;

/** Length up to which a session holds little, in characters: many times what a caller within the limits of the pages sets. */
const LITTLE_LENGTH = 16 * 1024;

/** Counts what sessions hold, in characters, and refuses more than a limit. */
export class HeldMemory {
  readonly #limit: number;
  #held = 0;

  constructor(limit = getHeapStatistics().heap_size_limit * HEAP_FRACTION) {
    this.#limit = limit;
  }

  /** What all sessions hold. */
  get held(): number {
    return this.#held;
  }

  /** Counts a change of what one session holds, from one length to another; returns false if that is too much. */
  tryChange(from: number, to: number): boolean {
    const held = this.#held - from + to;
    const limit = to <= LITTLE_LENGTH
      ? this.#limit
      : this.#limit * (1 - RESERVED_FRACTION);
    if (to > from && held > limit) return false;
    this.#held = held;
    return true;
  }
}

/** What the sessions of this process hold. */
export const heldByAll = new HeldMemory();
