/**
 * Waits for a holder's reply until the deadline of the work, and learns
 * afterwards until when the work may still run.
 *
 * @module
 */
import type { Result, ResultAsync } from "neverthrow";
import { clock } from "../../kernel/clock.ts";
import type { ChannelFailure, ChannelReply } from "../channels/channels.ts";
import {
  LATE_ANSWER_TIMEOUT_MS,
  RUN_AFTER_CLOSE_MS,
} from "../upstream/late_answer.ts";
import type { LinkLoss } from "../upstream/link.ts";
import { readReply, type WorkReply } from "./work_replies.ts";

/** Time that a holder's reply about a late answer may take beyond the time for which the holder waits, in ms. */
const REPLY_TIME_MS = 500;

/** Time limit in ms for the call that carries work with a deadline: until the holder knows what became of it. */
export function callTimeout(deadline: number): number {
  return Math.max(0, deadline - clock.now()) + LATE_ANSWER_TIMEOUT_MS +
    REPLY_TIME_MS;
}

/** A reply with its times. */
export interface TimedReply {
  readonly reply: WorkReply;
  readonly load: number;
  readonly sentAt: number;
  readonly receivedAt: number;
}

/** What became of a call that carries work. */
export type CallOutcome =
  | { readonly kind: "replied"; readonly reply: TimedReply }
  /** The holder has certainly not begun the work. */
  | { readonly kind: "not received"; readonly reason: string }
  /** The work may have begun, and its result is not known in time. */
  | { readonly kind: "lost"; readonly loss: LinkLoss };

type Reply = Result<ChannelReply, ChannelFailure>;

/** The waits of one link, which can be ended together. */
export class ReplyWaits {
  readonly #aborts = new Set<(reason: string) => void>();
  readonly #onEmpty: () => void;

  /** `onEmpty` is called when the last wait has ended. */
  constructor(onEmpty: () => void) {
    this.#onEmpty = onEmpty;
  }

  /** Number of calls that are waited for. */
  get size(): number {
    return this.#aborts.size;
  }

  /** Ends all waits: their work counts as lost. */
  abort(reason: string): void {
    for (const abort of [...this.#aborts]) abort(reason);
  }

  /** Waits for the reply to work with a deadline, in monotonic ms. */
  wait(
    call: ResultAsync<ChannelReply, ChannelFailure>,
    deadline: number,
  ): Promise<CallOutcome> {
    const replied = Promise.resolve(call);
    return new Promise((resolve) => {
      const finish = (outcome: CallOutcome) => {
        clearTimeout(timer);
        const wasWaiting = this.#aborts.delete(abort);
        resolve(outcome);
        if (wasWaiting && this.#aborts.size === 0) this.#onEmpty();
      };
      const lose = (reason: string, silent: boolean) => {
        const over = replied.then((reply) => mayRunUntil(reply, deadline));
        finish({ kind: "lost", loss: { reason, silent, over } });
      };
      const abort = (reason: string) => lose(reason, false);
      const remaining = Math.max(1, deadline - clock.now());
      const timer = setTimeout(
        () => lose(`no answer within ${Math.round(remaining)} ms`, true),
        remaining,
      );
      this.#aborts.add(abort);
      void replied.then((reply) => finish(judge(reply, deadline)));
    });
  }
}

function judge(reply: Reply, deadline: number): CallOutcome {
  if (reply.isErr()) {
    const { reason, mayBeReceived } = reply.error;
    if (mayBeReceived) return holderLost(reason, deadline);
    return { kind: "not received", reason };
  }
  const read = readReply(reply.value.body);
  if (read.isErr()) {
    return holderLost(`unreadable reply: ${read.error}`, deadline);
  }
  const { sentAt, receivedAt } = reply.value;
  return { kind: "replied", reply: { ...read.value, sentAt, receivedAt } };
}

function holderLost(reason: string, deadline: number): CallOutcome {
  const over = Promise.resolve(lastRunTime(deadline));
  return {
    kind: "lost",
    loss: { reason, silent: false, over, holderLost: true },
  };
}

/** Monotonic ms until which work may run, given what became of its call. */
function mayRunUntil(reply: Reply, deadline: number): number {
  if (reply.isErr()) {
    return reply.error.mayBeReceived ? lastRunTime(deadline) : clock.now();
  }
  const read = readReply(reply.value.body);
  if (read.isErr()) return lastRunTime(deadline);
  const { reply: said } = read.value;
  if (said.kind !== "lost" || said.mayRunFor === undefined) return clock.now();
  return reply.value.receivedAt + said.mayRunFor;
}

/** Monotonic ms until which work may run whose holder is lost: the holder does not begin it after its deadline, waits for a late answer, and closes the connection then. */
function lastRunTime(deadline: number): number {
  return deadline + LATE_ANSWER_TIMEOUT_MS + RUN_AFTER_CLOSE_MS;
}
