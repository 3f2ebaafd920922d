/**
 * Finds out that a peer no longer answers while calls wait for it.
 *
 * @module
 */
import { clock } from "../../kernel/clock.ts";

/** Time without a byte from the peer after which it is pinged, in ms; longer than most statements take. */
const SILENCE_MS = 250;

/** Time for the answer to a ping, in ms: a round trip between regions, and a peer that is busy. */
const PING_TIMEOUT_MS = 300;

/** Rate at which a peer receives at least, in bytes per ms; half of the slowest link (7 Mbit/s). */
const MIN_RECEIVE_RATE = 400;

/** What a check needs to know of the connection. */
export interface LivenessOptions {
  /** Whether an answer is expected. */
  readonly isExpecting: () => boolean;
  /** Monotonic ms at which bytes last arrived. */
  readonly receivedAt: () => number;
  /** Bytes that were written since then, which the peer may still be receiving. */
  readonly unconfirmedBytes: () => number;
  readonly ping: () => void;
  /** The peer has not answered a ping. */
  readonly onDead: () => void;
}

/** Checks one connection while answers are expected. */
export class LivenessCheck {
  readonly #options: LivenessOptions;
  #timer: NodeJS.Timeout | undefined;
  /** Monotonic ms at which the first of the expected answers began to be expected. */
  #since = 0;
  #pingedAt: number | undefined;

  constructor(options: LivenessOptions) {
    this.#options = options;
  }

  /** Starts the check if it is not running; it ends by itself when no answer is expected. */
  start(): void {
    if (this.#timer) return;
    this.#since = clock.now();
    this.#pingedAt = undefined;
    this.#arm(SILENCE_MS);
  }

  stop(): void {
    clearTimeout(this.#timer);
    this.#timer = undefined;
  }

  #arm(delay: number): void {
    // Bytes that arrived while this process stood still are read before the immediate runs.
    const timer = setTimeout(() =>
      setImmediate(() => {
        if (this.#timer === timer) this.#check();
      }), delay);
    this.#timer = timer;
  }

  #check(): void {
    const { isExpecting, receivedAt, ping, onDead } = this.#options;
    if (!isExpecting()) return this.stop();
    const now = clock.now();
    const aliveAt = Math.max(receivedAt(), this.#since);
    if (this.#pingedAt === undefined || aliveAt > this.#pingedAt) {
      this.#pingedAt = undefined;
      const remaining = aliveAt + SILENCE_MS - now;
      if (remaining > 0) return this.#arm(remaining);
      this.#pingedAt = now;
      ping();
    }
    const remaining = this.#pingedAt + this.#pingTimeout() - now;
    if (remaining > 0) return this.#arm(remaining);
    this.stop();
    onDead();
  }

  #pingTimeout(): number {
    const { unconfirmedBytes } = this.#options;
    return PING_TIMEOUT_MS + unconfirmedBytes() / MIN_RECEIVE_RATE;
  }
}
