/**
 * What the parts of a connection's task share: the socket with backpressure, the
 * sleep in place of pg_sleep, and whether the connection has ended.
 *
 * @module
 */
import { once } from "node:events";
import type { Socket } from "node:net";
import { setTimeout as sleep } from "node:timers/promises";
import { createError, SqlFailure } from "./wire.ts";

const CHUNK_BYTES = 256 * 1024;

/** The caller's end of a connection. */
export class CallerChannel {
  readonly socket: Socket;
  #sleep: AbortController | undefined;
  #ended = false;

  constructor(socket: Socket) {
    this.socket = socket;
  }

  get ended(): boolean {
    return this.#ended;
  }

  /** Writes in chunks and waits while the caller does not read. */
  async write(bytes: Buffer): Promise<void> {
    for (let start = 0; start < bytes.length; start += CHUNK_BYTES) {
      this.check();
      const more = this.socket.write(
        bytes.subarray(start, start + CHUNK_BYTES),
      );
      if (!more) await this.#drained();
    }
  }

  /** Sleeps; gives false when a cancel request ended it. */
  async sleep(time: number): Promise<boolean> {
    this.#sleep = new AbortController();
    try {
      await sleep(time, undefined, { signal: this.#sleep.signal });
      return true;
    } catch {
      return false;
    } finally {
      this.#sleep = undefined;
      this.check();
    }
  }

  /** Ends a sleep. */
  cancelSleep(): void {
    this.#sleep?.abort();
  }

  /** Throws when the connection has ended. */
  check(): void {
    if (!this.#ended && !this.socket.destroyed) return;
    throw new SqlFailure("08006", "the connection has ended");
  }

  /** Sends a fatal error, when there is one, and closes. */
  end(failure?: SqlFailure): void {
    if (this.#ended) return;
    this.#ended = true;
    this.cancelSleep();
    if (failure) this.socket.write(createError(failure, "FATAL"));
    this.socket.destroySoon();
  }

  async #drained(): Promise<void> {
    const stop = new AbortController();
    const { signal } = stop;
    try {
      await Promise.race([
        once(this.socket, "drain", { signal }),
        once(this.socket, "close", { signal }),
      ]);
    } finally {
      stop.abort();
    }
  }
}
