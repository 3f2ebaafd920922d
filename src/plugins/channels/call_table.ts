/**
 * The calls to one peer that have no answer yet.
 *
 * @module
 */
import { err, ok, type Result } from "neverthrow";
import { clock } from "../../kernel/clock.ts";
import type { ChannelFailure, ChannelReply } from "./channels.ts";

type Outcome = Result<ChannelReply, ChannelFailure>;

interface Call {
  readonly settle: (outcome: Outcome) => void;
  readonly timer: NodeJS.Timeout;
  /** Monotonic ms at which it was sent; undefined while it waits for the connection. */
  sentAt?: number;
}

/** Calls by number. Numbers are not used twice. */
export class CallTable {
  readonly #calls = new Map<number, Call>();
  #lastNumber = 0;

  get size(): number {
    return this.#calls.size;
  }

  has(number: number): boolean {
    return this.#calls.has(number);
  }

  nextNumber(): number {
    this.#lastNumber += 1;
    return this.#lastNumber;
  }

  /** Adds a call, which fails after `timeout` ms. */
  add(
    number: number,
    settle: (outcome: Outcome) => void,
    timeout: number,
  ): void {
    const timer = setTimeout(() => {
      const reason = `no answer within ${Math.round(timeout)} ms`;
      this.#fail(number, reason);
    }, timeout);
    this.#calls.set(number, { settle, timer });
  }

  /** Records that a call was written, so that the peer may receive it. */
  markSent(number: number): void {
    const call = this.#calls.get(number);
    if (call) call.sentAt = clock.now();
  }

  /** Settles a call with its answer; ignored if the call has timed out. */
  answer(number: number, reply: Omit<ChannelReply, "sentAt">): void {
    const sentAt = this.#calls.get(number)?.sentAt;
    if (sentAt !== undefined) this.settle(number, ok({ ...reply, sentAt }));
  }

  /** Settles a call; ignored if it is settled. */
  settle(number: number, outcome: Outcome): void {
    const call = this.#calls.get(number);
    if (!call) return;
    this.#calls.delete(number);
    clearTimeout(call.timer);
    call.settle(outcome);
  }

  /** Fails all calls, since the connection has ended. */
  failAll(reason: string): void {
    for (const number of [...this.#calls.keys()]) this.#fail(number, reason);
  }

  #fail(number: number, reason: string): void {
    const mayBeReceived = this.#calls.get(number)?.sentAt !== undefined;
    this.settle(number, err({ reason, mayBeReceived }));
  }
}
