/**
 * Caller side of a connection: writes with backpressure, the sleep that replaces
 * pg_sleep, and whether the connection has ended.
 *
 * @module
 */
import { once } from "node:events";
import type { Socket } from "node:net";
import { setTimeout as sleep } from "node:timers/promises";
import { createErrorResponse, SqlFailure } from "./wire.ts";

const CHUNK_BYTES = 256 * 1024;

/** Socket of a caller's connection, with its state. */
export class CallerChannel {
  readonly socket: Socket;
  #sleepController: AbortController | undefined;
  #ended = false;

  constructor(socket: Socket) {
    this.socket = socket;
  }

  /** Whether `end` was called. */
  get ended(): boolean {
    return this.#ended;
  }

  /** Writes in chunks and waits for the socket to drain while the caller does not read. */
  async write(bytes: Buffer): Promise<void> {
    for (let start = 0; start < bytes.length; start += CHUNK_BYTES) {
      this.throwIfEnded();
      const hasCapacity = this.socket.write(
        bytes.subarray(start, start + CHUNK_BYTES),
      );
      if (!hasCapacity) await this.#waitForDrain();
    }
  }

  /** Sleeps; returns false when `cancelSleep` ended the sleep early. */
  async sleep(durationMs: number): Promise<boolean> {
    this.#sleepController = new AbortController();
    try {
      await sleep(durationMs, undefined, {
        signal: this.#sleepController.signal,
      });
      return true;
    } catch {
      return false;
    } finally {
      this.#sleepController = undefined;
      this.throwIfEnded();
    }
  }

  /** Ends a pending sleep; does nothing when there is none. */
  cancelSleep(): void {
    this.#sleepController?.abort();
  }

  /** Throws SQLSTATE 08006 when the connection has ended. */
  throwIfEnded(): void {
    if (!this.#ended && !this.socket.destroyed) return;
    throw new SqlFailure("08006", "the connection has ended");
  }

  /** Closes the connection, after a FATAL error when a failure is given. */
  end(failure?: SqlFailure): void {
    if (this.#ended) return;
    this.#ended = true;
    this.cancelSleep();
    if (failure) this.socket.write(createErrorResponse(failure, "FATAL"));
    this.socket.destroySoon();
  }

  async #waitForDrain(): Promise<void> {
    const controller = new AbortController();
    const { signal } = controller;
    try {
      await Promise.race([
        once(this.socket, "drain", { signal }),
        once(this.socket, "close", { signal }),
      ]);
    } finally {
      controller.abort();
    }
  }
}
