/**
 * Bounds the memory that all peers together make this process hold.
 *
 * @module
 */

/** Bytes of frames that are being received or whose calls wait for an answer; a tenth of the memory of the smallest hosts. */
const MAX_HELD_BYTES = 24 * 1024 * 1024;

/** Part of them that long frames may use, so that they can't keep out short ones. */
const MAX_LONG_BYTES = 16 * 1024 * 1024;

/** Length from which a frame is long, in bytes; most statements and all other messages are far shorter. */
const LONG_FRAME_BYTES = 16 * 1024;

/** What a frame takes beyond its bytes: objects, timers, the place in a queue. */
const FRAME_OVERHEAD_BYTES = 1_024;

/** Counts the bytes that are held for peers. */
export class HeldBytes {
  #held = 0;

  /** Bytes held now. */
  get held(): number {
    return this.#held;
  }

  /** Holds a frame of this length if there is room for it; it must be released. */
  tryHold(length: number): boolean {
    const size = length + FRAME_OVERHEAD_BYTES;
    const limit = length > LONG_FRAME_BYTES ? MAX_LONG_BYTES : MAX_HELD_BYTES;
    if (this.#held + size > limit) return false;
    this.#held += size;
    return true;
  }

  /** Releases a frame of this length. */
  release(length: number): void {
    this.#held -= length + FRAME_OVERHEAD_BYTES;
  }
}
