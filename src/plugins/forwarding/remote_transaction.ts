/**
 * A transaction of a session of this proxy on a connection that another proxy
 * holds.
 *
 * @module
 */
import { err, ok, type Result } from "neverthrow";
import { clock } from "../../kernel/clock.ts";
import type { PeerChannels } from "../channels/channels.ts";
import type {
  Answer,
  LinkLoss,
  LinkResult,
  LinkStatement,
} from "../upstream/link.ts";
import { refused } from "./local_work.ts";
import { callTimeout, type ReplyWaits } from "./reply_wait.ts";
import {
  equalValues,
  type ValueList,
  WorkKinds,
  writeEnd,
  writeNext,
} from "./work_messages.ts";
import type { WorkSender } from "./work_sender.ts";

/** Time limit of a rollback, in ms; the holder's own is the same. */
const ROLLBACK_TIMEOUT_MS = 2_000;

/** Where a transaction is. */
export interface RemoteTransactionOptions {
  readonly channels: PeerChannels;
  readonly sender: Pick<WorkSender, "holderTime">;
  /** Endpoint of the holder's channels. */
  readonly channel: string;
  readonly number: number;
  /** Values with which it was begun. */
  readonly values: ValueList;
  readonly waits: ReplyWaits;
  /** Called with what the holder says of the load of the instance. */
  readonly onLoad: (load: number) => void;
}

/** A transaction at a holder. Its statements go over the connection on which it was begun, in order. */
export class RemoteTransaction {
  readonly #options: RemoteTransactionOptions;
  #values: ValueList;
  #hasEnded = false;

  constructor(options: RemoteTransactionOptions) {
    this.#options = options;
    this.#values = options.values;
  }

  get hasEnded(): boolean {
    return this.#hasEnded;
  }

  /** Runs a statement with these session values. */
  async run(
    values: ValueList,
    statement: LinkStatement,
    deadline: number,
  ): LinkResult<Answer> {
    const { sender, channel, number } = this.#options;
    const holderTime = sender.holderTime(channel);
    if (!holderTime) return this.#lose("the connection to the holder is lost");
    const isChanged = !equalValues(values, this.#values);
    this.#values = values;
    const body = writeNext({
      number,
      deadline: holderTime(deadline),
      values: isChanged ? values : undefined,
      statement,
    });
    return await this.#send(WorkKinds.NEXT, body, deadline);
  }

  /** Rolls the transaction back. */
  async rollback(): LinkResult<Answer> {
    const { sender, channel, number } = this.#options;
    // The holder rolls it back when the connection ends.
    if (!sender.holderTime(channel)) return this.#lose("the holder is lost");
    this.#hasEnded = true;
    const deadline = clock.now() + ROLLBACK_TIMEOUT_MS;
    return await this.#send(WorkKinds.END, writeEnd(number), deadline);
  }

  /** Rolls the transaction back without waiting for it. */
  abandon(): void {
    if (this.#hasEnded) return;
    this.#hasEnded = true;
    const { channels, sender, channel, number } = this.#options;
    if (!sender.holderTime(channel)) return;
    channels.send(channel, WorkKinds.END, writeEnd(number));
  }

  async #send(
    kind: string,
    body: unknown,
    deadline: number,
  ): LinkResult<Answer> {
    const { channels, channel, waits, onLoad } = this.#options;
    const call = channels.call(channel, kind, body, callTimeout(deadline));
    const outcome = await waits.wait(call, deadline);
    if (outcome.kind === "lost") return err(outcome.loss);
    if (outcome.kind === "not received") return this.#lose(outcome.reason);
    const { reply, sentAt, load } = outcome.reply;
    onLoad(load);
    switch (reply.kind) {
      case "answer":
        if (reply.answer.state === "idle") this.#hasEnded = true;
        return ok({ ...reply.answer, sentAt });
      case "refused":
        return refused(reply.failure);
      case "lost":
        return err(instanceLoss(outcome.reply.receivedAt, reply));
      default:
        return this.#lose(`unexpected reply: ${reply.kind}`);
    }
  }

  /** The statement was not sent, and the transaction is gone. */
  #lose(reason: string): Result<never, LinkLoss> {
    this.abandon();
    return err({ reason, silent: false, holderLost: true });
  }
}

/** The loss of a statement that its instance has not answered. */
export function instanceLoss(
  receivedAt: number,
  { reason, mayRunFor }: {
    readonly reason: string;
    readonly mayRunFor: number | undefined;
  },
): LinkLoss {
  if (mayRunFor === undefined) return { reason, silent: false };
  const over = Promise.resolve(receivedAt + mayRunFor);
  return { reason, silent: false, over };
}
