/**
 * One direction of a connection through the network: passes data on in order,
 * at once or delayed, or swallows it.
 *
 * @module
 */
import type { Socket } from "node:net";
import type { DelayClock, Delayed } from "./delay_clock.ts";

const QUEUE_LIMIT_BYTES = 1_048_576;

interface DelayedChunk {
  readonly due: number;
  readonly data: Buffer;
}

/** How the sending side ended. */
export type Ending = "end" | "destroy";

/** Passes data from one socket to another. */
export class Pipe implements Delayed {
  readonly #source: Socket;
  readonly #sink: Socket;
  readonly #clock: DelayClock;
  readonly #count: (bytes: number) => void;
  #queue: DelayedChunk[] = [];
  #queuedBytes = 0;
  #lastDue = 0;
  #blocked = false;
  #ending: Ending | undefined;
  #endingDue = 0;
  #swallows = false;
  delayMs = 0;

  constructor(
    source: Socket,
    sink: Socket,
    clock: DelayClock,
    count: (bytes: number) => void,
  ) {
    this.#source = source;
    this.#sink = sink;
    this.#clock = clock;
    this.#count = count;
    source.on("data", (data: Buffer) => this.#take(data));
    sink.on("drain", () => this.#unblock());
  }

  /** Lets nothing pass any more, the end of the connection included. */
  swallow(): void {
    this.#swallows = true;
    this.#queue = [];
    this.#queuedBytes = 0;
    this.#source.resume();
  }

  /** Lets nothing pass before this time, in ms of `performance.now()`. */
  holdUntil(time: number): void {
    this.#lastDue = Math.max(this.#lastDue, time);
  }

  /** Ends the sink after all that is on its way. */
  finish(ending: Ending): void {
    if (this.#swallows || this.#ending === "destroy") return;
    this.#ending = ending;
    this.#endingDue = this.#dueNow();
    if (this.flush(performance.now())) this.#clock.add(this);
  }

  flush(now: number): boolean {
    if (this.#swallows) return false;
    if (this.#blocked) return false;
    let passed = 0;
    this.#sink.cork();
    while (passed < this.#queue.length && this.#queue[passed]!.due <= now) {
      const { data } = this.#queue[passed]!;
      passed += 1;
      this.#queuedBytes -= data.length;
      if (this.#write(data)) continue;
      break;
    }
    this.#sink.uncork();
    if (passed > 0) this.#queue.splice(0, passed);
    if (this.#queuedBytes < QUEUE_LIMIT_BYTES && !this.#blocked) {
      this.#source.resume();
    }
    if (this.#blocked) return false;
    return this.#queue.length > 0 || this.#endNotYet(now);
  }

  #take(data: Buffer): void {
    if (this.#swallows) return;
    this.#count(data.length);
    const due = this.#dueNow();
    const immediate = due <= performance.now() && this.#queue.length === 0;
    if (immediate && !this.#blocked) {
      if (!this.#write(data)) this.#source.pause();
      return;
    }
    this.#queue.push({ due, data });
    this.#queuedBytes += data.length;
    if (this.#queuedBytes >= QUEUE_LIMIT_BYTES) this.#source.pause();
    this.#clock.add(this);
  }

  #dueNow(): number {
    if (this.delayMs === 0 && this.#lastDue === 0) return 0;
    const due = Math.max(this.#lastDue, performance.now() + this.delayMs);
    this.#lastDue = due;
    return due;
  }

  #write(data: Buffer): boolean {
    if (this.#sink.destroyed) return true;
    this.#blocked = !this.#sink.write(data);
    return !this.#blocked;
  }

  #unblock(): void {
    this.#blocked = false;
    if (this.flush(performance.now())) this.#clock.add(this);
  }

  #endNotYet(now: number): boolean {
    if (this.#ending === undefined) return false;
    if (this.#endingDue > now) return true;
    if (this.#ending === "end") this.#sink.end();
    else this.#sink.destroySoon();
    return false;
  }
}
