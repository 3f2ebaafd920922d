/**
 * Sends work to the holders of an instance, one after the other, as long as it
 * is certain that none of them has begun it.
 *
 * @module
 */
import { clock } from "../../kernel/clock.ts";
import type { PeerChannels } from "../channels/channels.ts";
import type { ListedInstance } from "../deployment/instance_directory.ts";
import type { LinkLoss } from "../upstream/link.ts";
import { sleep } from "../../utils/sleep.ts";
import type { ForwardingCounters } from "./forwarding_counters.ts";
import type { HolderHealth } from "./holder_health.ts";
import type { HolderLoads } from "./holder_loads.ts";
import type { Holder, HolderOrder } from "./holder_order.ts";
import { callTimeout, type ReplyWaits, type TimedReply } from "./reply_wait.ts";
import type { StoppingHosts } from "./stopping_hosts.ts";

/** Time limit for the connection to a holder, in ms: what a ping may take. */
const CONNECT_TIMEOUT_MS = 600;

/**
 * Time without a reply after which a command is also sent to the next host, in ms: longer than
 * most statements wait, and short enough for two hosts within a command's time limit.
 */
const COMMAND_PATIENCE_MS = 150;

/** Dependencies of the sender. */
export interface WorkSenderOptions {
  /** Name of this proxy. */
  readonly proxy: string;
  readonly channels: PeerChannels;
  readonly order: Pick<HolderOrder, "holders">;
  readonly health: HolderHealth;
  readonly stopping: StoppingHosts;
  readonly loads: HolderLoads;
  readonly counters: ForwardingCounters;
}

/** Converts a local time into a time of the holder's clock that is not later, both in ms. */
export type HolderTime = (at: number) => number;

/** Work for the holder of an instance. */
export interface OutgoingWork {
  readonly instance: ListedInstance;
  /** Kind of the message. */
  readonly kind: string;
  readonly deadline: number;
  /** Writes the message. */
  readonly write: (holderTime: HolderTime) => unknown;
}

/** What became of work. */
export type SendOutcome =
  | {
    readonly kind: "replied";
    readonly reply: TimedReply;
    readonly channel: string;
  }
  | {
    readonly kind: "lost";
    readonly loss: LinkLoss;
    readonly channel: string;
  }
  /** No holder has begun the work, or this proxy is to run it itself. */
  | { readonly kind: "not taken" };

/** Sends work to holders. */
export class WorkSender {
  readonly #options: WorkSenderOptions;

  constructor(options: WorkSenderOptions) {
    this.#options = options;
  }

  /** Sends work to the holder of its instance or, if that has certainly not begun it, to the standby. */
  async send(work: OutgoingWork, waits: ReplyWaits): Promise<SendOutcome> {
    const { proxy, order, health } = this.#options;
    const { instance, deadline } = work;
    for (const holder of order.holders(instance)) {
      if (holder.name === proxy || clock.now() >= deadline) break;
      if (!health.isUsable(holder.channel, instance.id)) continue;
      const outcome = await this.#sendTo(holder, work, waits);
      if (outcome.kind !== "not taken") return outcome;
    }
    return { kind: "not taken" };
  }

  /** Sends work whose effect is the same however often it is run: also to the standby if the holder is slow or was lost. */
  async sendRepeatable(
    work: OutgoingWork,
    waits: ReplyWaits,
  ): Promise<SendOutcome> {
    const { order, proxy, health } = this.#options;
    const attempts: Promise<SendOutcome>[] = [];
    for (const holder of order.holders(work.instance)) {
      // This proxy is the standby, and the holder has had its time.
      if (holder.name === proxy) return { kind: "not taken" };
      if (!health.isUsable(holder.channel, work.instance.id)) continue;
      attempts.push(this.#sendTo(holder, work, waits));
      const reply = await Promise.race([
        findReply(attempts),
        sleep(COMMAND_PATIENCE_MS),
      ]);
      if (reply) return reply;
    }
    const reply = await findReply(attempts);
    if (reply) return reply;
    const outcomes = await Promise.all(attempts);
    return outcomes.find(({ kind }) => kind === "lost") ??
      { kind: "not taken" };
  }

  /** The time of the process at an endpoint, if there is a connection to it. */
  holderTime(channel: string): HolderTime | undefined {
    const { channels } = this.#options;
    if (channels.earliestPeerTime(channel, clock.now()) === undefined) {
      return undefined;
    }
    return (at) => channels.earliestPeerTime(channel, at)!;
  }

  async #sendTo(
    holder: Holder,
    work: OutgoingWork,
    waits: ReplyWaits,
  ): Promise<SendOutcome> {
    const { channels, health, counters } = this.#options;
    const { channel } = holder;
    const { kind, deadline } = work;
    if (!this.holderTime(channel)) {
      const remaining = deadline - clock.now();
      const timeout = Math.min(CONNECT_TIMEOUT_MS, remaining);
      await channels.connect(channel, timeout);
    }
    const holderTime = this.holderTime(channel);
    if (!holderTime) {
      health.recordFailure(channel, "unreachable");
      counters.countHolderFailure("unreachable");
      return { kind: "not taken" };
    }
    if (clock.now() >= deadline) return { kind: "not taken" };
    const call = channels.call(
      channel,
      kind,
      work.write(holderTime),
      callTimeout(deadline),
    );
    // Also when the work's own deadline has passed before.
    void call.orTee(({ reason }) => this.#recordEnd(channel, reason));
    const outcome = await waits.wait(call, deadline);
    switch (outcome.kind) {
      case "not received":
        counters.countHolderFailure("not received");
        return { kind: "not taken" };
      case "lost":
        return { ...outcome, channel };
      case "replied":
        return this.#take(holder, work, outcome.reply);
    }
  }

  #take(
    { name, channel }: Holder,
    { instance }: OutgoingWork,
    reply: TimedReply,
  ): SendOutcome {
    const { health, stopping, loads, counters } = this.#options;
    const said = reply.reply;
    if (said.kind !== "not holder") {
      loads.record(instance.id, reply.load);
      return { kind: "replied", reply, channel };
    }
    counters.countHolderFailure("not holder");
    if (said.isStopping) stopping.add(name);
    else health.recordRefusal(channel, instance.id);
    return { kind: "not taken" };
  }

  /** Records a failure of the holder if its connection has ended; otherwise it only had no room. */
  #recordEnd(channel: string, reason: string): void {
    if (this.holderTime(channel)) return;
    this.#options.health.recordFailure(channel, reason);
  }
}

/** The first reply of some attempts; undefined once all have ended without one. */
function findReply(
  attempts: readonly Promise<SendOutcome>[],
): Promise<SendOutcome | undefined> {
  return new Promise((resolve) => {
    const ends = attempts.map(async (attempt) => {
      const outcome = await attempt;
      if (outcome.kind === "replied") resolve(outcome);
    });
    void Promise.all(ends).then(() => resolve(undefined));
  });
}
