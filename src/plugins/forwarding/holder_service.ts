/**
 * Runs the work of other proxies on the connections that this one holds.
 *
 * @module
 */
import { err, ok, type Result } from "neverthrow";
import { clock } from "../../kernel/clock.ts";
import { ResultCodes } from "../../kernel/result_codes.ts";
import type { ChannelPeer, PeerChannels } from "../channels/channels.ts";
import type { LinkRequest } from "../connections/link_pools.ts";
import type { InstanceDirectory } from "../deployment/instance_directory.ts";
import type {
  Answer,
  LinkLoss,
  LinkResult,
  LinkStatus,
} from "../upstream/link.ts";
import { sleep } from "../../utils/sleep.ts";
import type { ForwardingCounters, WorkRefusal } from "./forwarding_counters.ts";
import { HeldTransactions } from "./held_transactions.ts";
import type { HolderShares } from "./holder_shares.ts";
import { late, type LocalWork, refused } from "./local_work.ts";
import { SharedStatus } from "./shared_status.ts";
import {
  type BeginRequest,
  type CommandRequest,
  type NextRequest,
  readBegin,
  readCommand,
  readEnd,
  readNext,
  readRun,
  readValues,
  type RunRequest,
  WorkKinds,
  type WorkTarget,
} from "./work_messages.ts";
import { writeAnswer, writeNotHolder, writeStatus } from "./work_replies.ts";

/**
 * Time before its deadline at which work is no longer begun, in ms, so that the
 * refusal reaches the sender in time: a crossing between regions and a busy process.
 */
const REPLY_MARGIN_MS = 25;

/** Part of the remaining time that the margin takes at most. */
const MAX_MARGIN_FRACTION = 0.25;

/** Time limit of a status request, in ms; twice those of the requests that share it. */
const STATUS_TIMEOUT_MS = 1_000;

/** Interval between checks for idle transactions, in ms. */
const IDLE_CHECK_INTERVAL_MS = 500;

/** Time in ms for which a transaction may be idle beyond the limit that its sender applies itself. */
const IDLE_GRACE_MS = 2_000;

/** Interval between checks whether all work has ended, in ms. */
const DRAIN_POLL_MS = 50;

/** Dependencies of the service. */
export interface HolderServiceOptions {
  readonly channels: PeerChannels;
  readonly directory: Pick<InstanceDirectory, "get">;
  readonly shares: Pick<HolderShares, "role">;
  readonly work: LocalWork;
  /** Idle time after which a sender ends its transactions, in ms; undefined while no configuration is known. */
  readonly transactionIdleTimeout: () => number | undefined;
  readonly counters: ForwardingCounters;
}

/** Serves the proxies that forward work to this one. */
export class HolderService {
  readonly #options: HolderServiceOptions;
  readonly #status = new SharedStatus();
  /** The senders that are connected. */
  readonly #senders = new Map<ChannelPeer, HeldTransactions>();
  #timer: NodeJS.Timeout | undefined;
  #isStopping = false;
  /** Statements and commands in progress. */
  #running = 0;

  constructor(options: HolderServiceOptions) {
    this.#options = options;
  }

  /** Starts serving. */
  start(): void {
    this.#serve(WorkKinds.RUN, readRun, this.#run);
    this.#serve(WorkKinds.BEGIN, readBegin, this.#begin);
    this.#serve(WorkKinds.NEXT, readNext, this.#next);
    this.#serve(WorkKinds.END, readEnd, this.#end);
    this.#serve(WorkKinds.COMMAND, readCommand, this.#command);
    this.#timer = setInterval(
      () => this.#endIdleTransactions(),
      IDLE_CHECK_INTERVAL_MS,
    );
  }

  /** Refuses new work from now on and tells the connected senders; open transactions go on. Returns the number of senders. */
  announceStop(proxy: string): number {
    this.#isStopping = true;
    for (const peer of this.#senders.keys()) {
      peer.send(WorkKinds.STOPPING, [proxy]);
    }
    return this.#senders.size;
  }

  /** Waits until all work of other proxies has ended, until the deadline in monotonic ms. */
  async drain(deadline: number): Promise<void> {
    while (clock.now() < deadline) {
      if (this.#running === 0 && this.#transactionCount() === 0) return;
      await sleep(DRAIN_POLL_MS);
    }
  }

  /** Rolls back what is open. */
  stop(): void {
    clearInterval(this.#timer);
    for (const held of this.#senders.values()) held.end();
  }

  #serve<Request>(
    kind: string,
    read: (body: unknown) => Request,
    handle: (
      this: HolderService,
      request: Request,
      held: HeldTransactions,
    ) => Promise<unknown>,
  ): void {
    this.#options.channels.serve(kind, async (body, peer) => {
      const request = readOrRefuse(read, body);
      // What can't be read has not run.
      if (request.isErr()) return this.#refuse("malformed");
      this.#running += 1;
      try {
        return await handle.call(this, request.value, this.#held(peer));
      } finally {
        this.#running -= 1;
        this.#options.counters.heldTransactions = this.#transactionCount();
      }
    });
  }

  async #run(
    { target, values, statement }: RunRequest,
    held: HeldTransactions,
  ): Promise<unknown> {
    const refusal = this.#refusal(target);
    if (refusal) return this.#refuse(refusal);
    const { deadline } = target;
    const result = await this.#options.work.run(
      createRequest(target),
      readValues(values),
      statement,
      { deadline, isAbandoned: () => held.hasEnded },
    );
    return await this.#writeAnswer(result, target.instance);
  }

  async #begin(
    { target, values: list, number, readOnly, after }: BeginRequest,
    held: HeldTransactions,
  ): Promise<unknown> {
    const refusal = this.#refusal(target);
    if (refusal) return this.#refuse(refusal);
    const { deadline } = target;
    const values = readValues(list);
    held.begin(number);
    const { result, transaction } = await this.#options.work.begin(
      createRequest(target),
      values,
      { readOnly, after },
      { deadline, isAbandoned: () => !held.isWanted(number) },
    );
    held.finishBegin(number, transaction, values);
    return await this.#writeAnswer(result, target.instance);
  }

  /** Nothing is awaited before a statement is sent, so statements keep their order. */
  async #next(
    { number, deadline, values, statement }: NextRequest,
    held: HeldTransactions,
  ): Promise<unknown> {
    const open = held.get(number);
    if (!open) return this.#writeUnknown();
    if (values) open.values = readValues(values);
    const { transaction } = open;
    const { instance } = transaction;
    if (clock.now() >= deadline) {
      return await this.#writeAnswer(refused(late(instance)), instance);
    }
    const result = await transaction.run(open.values, statement, deadline);
    if (transaction.hasEnded) held.remove(number);
    return await this.#writeAnswer(result, instance);
  }

  async #end(number: number, held: HeldTransactions): Promise<unknown> {
    const transaction = held.remove(number);
    if (!transaction) return this.#writeUnknown();
    const result = await transaction.rollback();
    return await this.#writeAnswer(result, transaction.instance);
  }

  async #command(
    { target, command }: CommandRequest,
    held: HeldTransactions,
  ): Promise<unknown> {
    const refusal = this.#refusal(target);
    if (refusal) return this.#refuse(refusal);
    const { work, counters } = this.#options;
    const { instance, deadline } = target;
    const result = command.name === "status"
      ? await this.#requestStatus(instance, deadline)
      : await work.command(createRequest(target), command, {
        deadline,
        isAbandoned: () => held.hasEnded,
      });
    counters.served += 1;
    return writeStatus(result, work.outstanding(instance));
  }

  /** The shared request has a time limit of its own, since others with more time may wait for it. */
  async #requestStatus(
    instance: string,
    deadline: number,
  ): LinkResult<LinkStatus> {
    if (clock.now() >= deadline) return refused(late(instance));
    return await this.#status.request(instance, (onBegun) => {
      const until = clock.now() + STATUS_TIMEOUT_MS;
      return this.#options.work.command(
        { instance, priority: "high", deadline: until },
        { name: "status" },
        { deadline: until, onBegun },
      );
    });
  }

  /** Why work for an instance is not accepted; undefined if it is. */
  #refusal({ instance, startedAt }: WorkTarget): WorkRefusal | undefined {
    if (this.#isStopping) return "stopping";
    const { directory, shares } = this.#options;
    if (shares.role(instance) === "other") return "not holder";
    const isSame = directory.get(instance)?.startedAt === startedAt;
    return isSame ? undefined : "other start";
  }

  #refuse(refusal: WorkRefusal): unknown {
    this.#options.counters.countRefusal(refusal);
    return writeNotHolder(refusal, refusal === "stopping");
  }

  async #writeAnswer(
    result: Result<Answer, LinkLoss>,
    instance: string,
  ): Promise<unknown> {
    const isStopped = result.isErr() &&
      result.error.notSent?.code === ResultCodes.SHUTTING_DOWN;
    if (isStopped) return this.#refuse("stopping");
    this.#options.counters.served += 1;
    // The sender has given up a statement without an answer; it learns when that can't run any more.
    const until = result.isErr() ? await result.error.over : undefined;
    const mayRunFor = until === undefined
      ? undefined
      : Math.max(0, Math.ceil(until - clock.now()));
    const load = this.#options.work.outstanding(instance);
    return writeAnswer(result, mayRunFor, load);
  }

  /** The sender's transaction has ended before. */
  #writeUnknown(): unknown {
    const loss = { reason: "the transaction is not open", silent: false };
    return writeAnswer(err(loss), undefined, 0);
  }

  #held(peer: ChannelPeer): HeldTransactions {
    const known = this.#senders.get(peer);
    if (known) return known;
    const held = new HeldTransactions();
    this.#senders.set(peer, held);
    peer.onEnd(() => {
      this.#senders.delete(peer);
      held.end();
      this.#options.counters.heldTransactions = this.#transactionCount();
    });
    return held;
  }

  #endIdleTransactions(): void {
    const timeout = this.#options.transactionIdleTimeout();
    if (!timeout) return;
    for (const held of this.#senders.values()) {
      held.endIdle(timeout + IDLE_GRACE_MS);
    }
  }

  #transactionCount(): number {
    let count = 0;
    for (const held of this.#senders.values()) count += held.size;
    return count;
  }
}

function readOrRefuse<Request>(
  read: (body: unknown) => Request,
  body: unknown,
): Result<Request, unknown> {
  try {
    return ok(read(body));
  } catch (error) {
    return err(error);
  }
}

/** The request for a connection; it waits until a refusal would come too late for the sender. */
function createRequest(target: WorkTarget): LinkRequest {
  const { instance, account, priority, rank, usefulUntil, deadline } = target;
  const remaining = deadline - clock.now();
  const margin = Math.min(REPLY_MARGIN_MS, MAX_MARGIN_FRACTION * remaining);
  return {
    instance,
    account,
    priority,
    rank,
    deadline: deadline - Math.max(0, margin),
    usefulUntil,
  };
}
