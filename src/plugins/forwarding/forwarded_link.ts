/**
 * A link whose statements run on connections that another proxy holds. What no
 * holder takes runs on a connection of this proxy's own.
 *
 * @module
 */
import { err, ok, type Result } from "neverthrow";
import { clock } from "../../kernel/clock.ts";
import type { PeerChannels } from "../channels/channels.ts";
import type { LinkRequest } from "../connections/link_pools.ts";
import type { ListedInstance } from "../deployment/instance_directory.ts";
import type {
  Answer,
  LinkLoss,
  LinkOperation,
  LinkResult,
  LinkStatement,
  LinkStatus,
  UpstreamLink,
} from "../upstream/link.ts";
import type { Position } from "../upstream/position.ts";
import type {
  ForwardedOutcome,
  ForwardingCounters,
} from "./forwarding_counters.ts";
import type { HolderLoads } from "./holder_loads.ts";
import type { LocalTransaction } from "./local_transaction.ts";
import { type LocalWork, refused } from "./local_work.ts";
import { instanceLoss, RemoteTransaction } from "./remote_transaction.ts";
import { ReplyWaits, type TimedReply } from "./reply_wait.ts";
import {
  type Command,
  listValues,
  NO_VALUES,
  readValues,
  type ValueList,
  WorkKinds,
  type WorkTarget,
  writeBegin,
  writeCommand,
  writeEnd,
  writeRun,
} from "./work_messages.ts";
import type {
  HolderTime,
  OutgoingWork,
  SendOutcome,
  WorkSender,
} from "./work_sender.ts";

let lastLinkId = 0;
let lastTransaction = 0;

/** What all forwarded links of the process share. */
export interface ForwardingContext {
  readonly channels: PeerChannels;
  readonly sender: WorkSender;
  readonly local: LocalWork;
  readonly loads: HolderLoads;
  readonly counters: ForwardingCounters;
  /** A link begins or ends to have work or a transaction at its instance. */
  readonly onActive: (link: ForwardedLink) => void;
  readonly onIdle: (link: ForwardedLink) => void;
}

type Transaction =
  | { readonly kind: "remote"; readonly open: RemoteTransaction }
  | { readonly kind: "local"; readonly open: LocalTransaction };

/** A link to an instance whose connections another proxy holds; acquiring it sends nothing. */
export class ForwardedLink implements UpstreamLink {
  readonly id = ++lastLinkId;
  readonly instance: string;
  readonly isForwarded = true;
  lastUsedAt = clock.now();
  readonly #context: ForwardingContext;
  readonly #request: LinkRequest;
  readonly #listed: ListedInstance;
  readonly #waits = new ReplyWaits(() => this.#checkIdle());
  /** The values of the session as of its next statement. */
  #values: ValueList = NO_VALUES;
  #transaction: Transaction | undefined;
  #isClosed = false;

  constructor(
    context: ForwardingContext,
    request: LinkRequest,
    listed: ListedInstance,
  ) {
    this.#context = context;
    this.#request = request;
    this.#listed = listed;
    this.instance = listed.id;
  }

  get isUsable(): boolean {
    return !this.#isClosed;
  }

  watchIdle(): void {}

  markInUse(): void {}

  adopt(
    values: ReadonlyMap<string, string>,
    _operation: LinkOperation | undefined,
    _deadline: number,
  ): undefined {
    this.#values = listValues(values);
  }

  async run(
    statement: LinkStatement,
    deadline: number,
  ): LinkResult<Answer> {
    if (this.#isClosed) return notOpen();
    const values = this.#values;
    if (this.#transaction) {
      return await this.#runInTransaction(
        this.#transaction,
        values,
        statement,
        deadline,
      );
    }
    const outcome = await this.#send(
      WorkKinds.RUN,
      deadline,
      (target) => writeRun({ target, values, statement }),
    );
    if (outcome.kind !== "not taken") return readAnswer(outcome);
    const { local } = this.#context;
    return await local.run(this.#request, readValues(values), statement, {
      deadline,
    });
  }

  async begin(
    options: { readonly readOnly: boolean; readonly after?: Position },
    deadline: number,
  ): LinkResult<Answer> {
    if (this.#isClosed) return notOpen();
    const values = this.#values;
    const { readOnly, after } = options;
    lastTransaction += 1;
    const number = lastTransaction;
    const outcome = await this.#send(
      WorkKinds.BEGIN,
      deadline,
      (target) => writeBegin({ target, values, number, readOnly, after }),
    );
    if (outcome.kind === "not taken") {
      return await this.#beginLocally(values, options, deadline);
    }
    const { channels, sender } = this.#context;
    const { channel } = outcome;
    const result = readAnswer(outcome);
    if (outcome.kind === "lost") {
      // It may be open there, or become so; it ends with the connection.
      if (sender.holderTime(channel)) {
        channels.send(channel, WorkKinds.END, writeEnd(number));
      }
    } else if (result.isOk() && result.value.state === "open") {
      const { loads } = this.#context;
      const open = new RemoteTransaction({
        channels,
        sender,
        channel,
        number,
        values,
        waits: this.#waits,
        onLoad: (load) => loads.record(this.instance, load),
      });
      this.#openTransaction({ kind: "remote", open });
    }
    return result;
  }

  async rollback(_deadline: number): LinkResult<Answer> {
    const transaction = this.#transaction;
    if (!transaction) return notOpen();
    const result = await transaction.open.rollback();
    this.#closeTransaction();
    return result;
  }

  status(deadline: number): LinkResult<LinkStatus> {
    return this.#command({ name: "status" }, deadline);
  }

  pause(term: number, deadline: number): LinkResult<LinkStatus> {
    return this.#command({ name: "pause", term }, deadline);
  }

  resume(deadline: number): LinkResult<LinkStatus> {
    return this.#command({ name: "resume" }, deadline);
  }

  stepDown(term: number, deadline: number): LinkResult<LinkStatus> {
    return this.#command({ name: "stepDown", term }, deadline);
  }

  release(): void {
    this.#endTransaction();
  }

  end(): void {
    this.destroy();
  }

  destroy(): void {
    this.#isClosed = true;
    this.#endTransaction();
  }

  /** Counts what runs for this link as lost. */
  abort(reason: string): void {
    this.destroy();
    this.#waits.abort(reason);
  }

  async #runInTransaction(
    transaction: Transaction,
    values: ValueList,
    statement: LinkStatement,
    deadline: number,
  ): LinkResult<Answer> {
    const result = transaction.kind === "remote"
      ? await transaction.open.run(values, statement, deadline)
      : await transaction.open.run(readValues(values), statement, deadline);
    if (transaction.open.hasEnded) this.#closeTransaction();
    return result;
  }

  async #beginLocally(
    values: ValueList,
    options: { readonly readOnly: boolean; readonly after?: Position },
    deadline: number,
  ): LinkResult<Answer> {
    const { result, transaction } = await this.#context.local.begin(
      this.#request,
      readValues(values),
      options,
      { deadline, isAbandoned: () => this.#isClosed },
    );
    if (transaction) {
      this.#openTransaction({ kind: "local", open: transaction });
    }
    return result;
  }

  #openTransaction(transaction: Transaction): void {
    this.#transaction = transaction;
    this.#context.onActive(this);
    if (this.#isClosed) this.#endTransaction();
  }

  #closeTransaction(): void {
    if (!this.#transaction) return;
    this.#transaction = undefined;
    this.#checkIdle();
  }

  #checkIdle(): void {
    if (this.#transaction || this.#waits.size > 0) return;
    this.#context.onIdle(this);
  }

  /** Rolls an open transaction back in the background. */
  #endTransaction(): void {
    const transaction = this.#transaction;
    if (!transaction) return;
    if (transaction.kind === "remote") transaction.open.abandon();
    else if (!transaction.open.hasEnded) void transaction.open.rollback();
    this.#closeTransaction();
  }

  async #command(
    command: Command,
    deadline: number,
  ): LinkResult<LinkStatus> {
    if (this.#isClosed) return notOpen();
    const outcome = await this.#send(
      WorkKinds.COMMAND,
      deadline,
      (target) => writeCommand({ target, command }),
    );
    if (outcome.kind === "not taken") {
      const { local } = this.#context;
      return await local.command(this.#request, command, { deadline });
    }
    return readStatus(outcome);
  }

  /** Sends work to the holders; counts what becomes of it. */
  async #send(
    kind: string,
    deadline: number,
    write: (target: WorkTarget) => unknown,
  ): Promise<SendOutcome> {
    const { sender, counters, onActive } = this.#context;
    onActive(this);
    this.lastUsedAt = clock.now();
    const work: OutgoingWork = {
      instance: this.#listed,
      kind,
      deadline,
      write: (holderTime) => write(this.#target(deadline, holderTime)),
    };
    const outcome = kind === WorkKinds.COMMAND
      ? await sender.sendRepeatable(work, this.#waits)
      : await sender.send(work, this.#waits);
    this.#checkIdle();
    counters.countForwarded(classify(outcome));
    return outcome;
  }

  #target(deadline: number, holderTime: HolderTime): WorkTarget {
    const { account, priority, rank, usefulUntil } = this.#request;
    return {
      instance: this.instance,
      startedAt: this.#listed.startedAt,
      account,
      priority,
      rank,
      deadline: holderTime(deadline),
      usefulUntil: usefulUntil === undefined
        ? undefined
        : holderTime(usefulUntil),
    };
  }
}

type Taken = Exclude<SendOutcome, { readonly kind: "not taken" }>;

function readAnswer(outcome: Taken): Result<Answer, LinkLoss> {
  if (outcome.kind === "lost") return err(outcome.loss);
  const { reply, sentAt } = outcome.reply;
  return reply.kind === "answer"
    ? ok({ ...reply.answer, sentAt })
    : readFailure(outcome.reply);
}

function readStatus(outcome: Taken): Result<LinkStatus, LinkLoss> {
  if (outcome.kind === "lost") return err(outcome.loss);
  const { reply, sentAt } = outcome.reply;
  return reply.kind === "status"
    ? ok({ ...reply.status, sentAt })
    : readFailure(outcome.reply);
}

function readFailure(
  { reply, receivedAt }: TimedReply,
): Result<never, LinkLoss> {
  switch (reply.kind) {
    case "refused":
      return refused(reply.failure);
    case "lost":
      return err(instanceLoss(receivedAt, reply));
    default:
      return err({
        reason: `unexpected reply: ${reply.kind}`,
        silent: false,
        holderLost: true,
      });
  }
}

function classify(outcome: SendOutcome): ForwardedOutcome {
  if (outcome.kind === "not taken") return "own connection";
  if (outcome.kind === "lost") {
    return outcome.loss.holderLost ? "holder lost" : "late";
  }
  switch (outcome.reply.reply.kind) {
    case "refused":
      return "refused";
    case "lost":
      return "lost";
    default:
      return "answered";
  }
}

function notOpen(): Result<never, LinkLoss> {
  return err({ reason: "not open", silent: false });
}
