/**
 * An open transaction of a session; it keeps one connection from begin to end.
 *
 * @module
 */
import { err, ok, type Result } from "neverthrow";
import { clock } from "../../kernel/clock.ts";
import { type Failure, ResultCodes } from "../../kernel/result_codes.ts";
import { sleep } from "../../utils/sleep.ts";
import type { Leader } from "../leadership/group_leadership.ts";
import type { Answer, LinkOperation, UpstreamLink } from "../upstream/link.ts";
import type { Position } from "../upstream/position.ts";
import { prepareLink } from "./link_preparation.ts";
import {
  acquireLink,
  linkRequest,
  recordLoss,
  recordRequest,
} from "./link_run.ts";
import {
  answered,
  isOverload,
  noConnection,
  noPrimary,
  noReadInstance,
  type Outcome,
  outcomeUnknown,
  refused,
  transactionLost,
} from "./outcome.ts";
import {
  confirmAnswer,
  placeRead,
  recordLeaderAnswer,
} from "./primary_confirmation.ts";
import { requirePosition } from "./read_run.ts";
import type { Task } from "./session_context.ts";

/** Delay before another attempt to open a transaction. */
const RETRY_DELAY_MS = 25;

/** Time limit for the rollback of an abandoned transaction. */
const ROLLBACK_TIMEOUT_MS = 2_000;

/** Extra time for a commit beyond the statement's deadline: an earlier timeout would only make the outcome unknown. */
const COMMIT_GRACE_MS = 500;

/** A transaction on an exclusive upstream connection. */
export class Transaction {
  readonly #link: UpstreamLink;
  readonly #leader: Leader | undefined;
  readonly #leave: () => void;
  readonly #openedAt = clock.now();
  #ended = false;
  #statements = 0;
  #wrote = false;
  #confirmed = false;

  private constructor(
    link: UpstreamLink,
    leader: Leader | undefined,
    leave: () => void,
  ) {
    this.#link = link;
    this.#leader = leader;
    this.#leave = leave;
  }

  /** Name of the instance that runs the transaction. */
  get instance(): string {
    return this.#link.instance;
  }

  /** Opens a transaction at the primary; a read-only one on a route without primary consistency opens at any instance that is fresh enough. */
  static async open(
    task: Task,
    readOnly: boolean,
  ): Promise<Result<Transaction, Failure>> {
    const anyInstance = readOnly && task.route.consistency !== "primary";
    const excluded = new Set<string>();
    let failure = noPrimary(task.route.group, undefined);
    while (clock.now() < task.deadline) {
      const opened = anyInstance
        ? await Transaction.#openAtAnyInstance(task, excluded)
        : await Transaction.#openAtPrimary(task, readOnly);
      if (opened.isOk()) return opened;
      failure = opened.error;
      if (failure.code === ResultCodes.PRIMARY_ABSENT) break;
      if (isOverload(failure)) break;
      await sleep(RETRY_DELAY_MS);
    }
    return err(failure);
  }

  static async #openAtPrimary(
    task: Task,
    readOnly: boolean,
  ): Promise<Result<Transaction, Failure>> {
    const { context, route, deadline } = task;
    const leadership = context.succession.leadership(route.group);
    const leader = await leadership.waitForLeader(deadline);
    if (!leader) return err(noPrimary(route.group, leadership.expectedIn()));
    const leave = leadership.beginWork();
    const begun = await Transaction.#begin(task, leader.instance, readOnly);
    if (begun.isErr()) {
      leave();
      return err(begun.error);
    }
    const { link, answer } = begun.value;
    recordLeaderAnswer(context, route.group, leader, answer);
    const leaveBoth = () => {
      leave();
      begun.value.leave();
    };
    return ok(new Transaction(link, leader, leaveBoth));
  }

  static async #openAtAnyInstance(
    task: Task,
    excluded: Set<string>,
  ): Promise<Result<Transaction, Failure>> {
    const { context, route } = task;
    const position = await requirePosition(task);
    if (!position) return err(noReadInstance(route.group, "no fresh position"));
    const place = placeRead(task, position, excluded);
    if (!place) {
      excluded.clear();
      return err(noReadInstance(route.group, "all were tried"));
    }
    const { instance, wait } = place;
    excluded.add(instance);
    if (wait > 0) await sleep(wait);
    const begun = await Transaction.#begin(task, instance, true, position);
    if (begun.isErr()) return err(begun.error);
    context.placement.recordAnswer(
      instance,
      begun.value.answer.position,
      context.samples(route.group),
    );
    const { link, leave } = begun.value;
    return ok(new Transaction(link, undefined, leave));
  }

  static async #begin(
    task: Task,
    instance: string,
    readOnly: boolean,
    after?: Position,
  ): Promise<
    Result<
      {
        readonly link: UpstreamLink;
        readonly answer: Answer;
        readonly leave: () => void;
      },
      Failure
    >
  > {
    const { context, route, deadline } = task;
    const { placement, pools } = context;
    const leave = await pools.acquireTransactionSlot(
      linkRequest(task, instance),
    );
    if (!leave) return err(noConnection(route.group, instance));
    const acquired = await acquireLink(task, instance);
    const notBegun = (failure: Failure) => {
      leave();
      if (!isOverload(failure)) placement.recordFailure(instance);
      context.requests.attemptFailed(task, instance, failure.message, {});
      return err(failure);
    };
    if (acquired.isErr()) return notBegun(acquired.error);
    const link = acquired.value;
    prepareLink(link, task);
    const result = await link.begin({ readOnly, after }, deadline);
    if (result.isErr()) {
      const { notSent } = result.error;
      if (notSent) {
        link.release();
        return notBegun(notSent);
      }
      leave();
      if (!result.error.holderLost) placement.recordFailure(instance);
      recordLoss(task, link);
      context.requests.attemptFailed(task, instance, result.error.reason, {});
      return err(noReadInstance(route.group, result.error.reason));
    }
    const answer = result.value;
    if (!answer.fault && answer.state === "open") {
      return ok({ link, answer, leave });
    }
    leave();
    if (answer.state === "idle") link.release(answer.fault === "busy");
    else link.destroy();
    if (answer.fault === "lagging" && after) {
      const samples = context.samples(route.group);
      placement.recordLag(instance, after, answer.position, samples);
    }
    const reason = answer.fault ?? "the transaction is not open";
    context.requests.attemptFailed(task, instance, reason, {});
    return err(noReadInstance(route.group, reason));
  }

  /** Runs a statement within the transaction; a refused outcome ends the transaction. */
  async run(
    task: Task,
    operation: LinkOperation,
    effect: "read" | "write",
  ): Promise<Outcome> {
    const { context, route, deadline } = task;
    this.#statements += 1;
    recordRequest(task, this.#link);
    prepareLink(this.#link, task, operation);
    const running = this.#link.run(
      { id: task.id, operation },
      deadline,
    );
    task.session.track(running);
    const result = await running;
    if (result.isErr()) {
      const { notSent, reason } = result.error;
      if (!notSent) return this.#connectionLost(task, reason);
      this.abandon();
      return refused(notSent);
    }
    const answer = result.value;
    this.#recordAnswer(task, answer);
    if (answer.state === "idle") {
      this.abandon();
      return refused(
        transactionLost("the instance ended the transaction"),
      );
    }
    if (answer.fault) return answered(answer);
    if (effect === "write") this.#wrote = true;
    else if (this.#leader && !this.#confirmed) {
      if (!await confirmAnswer(task, this.#leader, answer)) {
        this.abandon();
        return refused(transactionLost("the primary was replaced"));
      }
      this.#confirmed = true;
    }
    context.requests.served(task, `transaction ${effect}`, () => ({
      group: route.group,
      instance: this.instance,
    }));
    return answered(answer);
  }

  /** Commits the transaction; the outcome is unknown if a write's commit gets no answer or the primary can't be confirmed. */
  async commit(task: Task, text: string): Promise<Outcome> {
    const commitDeadline = Math.max(task.deadline, clock.now()) +
      COMMIT_GRACE_MS;
    const running = this.#link.run(
      { id: task.id, operation: { kind: "text", text } },
      commitDeadline,
    );
    task.session.track(running);
    const result = await running;
    if (result.isErr()) {
      const { notSent, reason } = result.error;
      if (notSent) {
        this.abandon();
        return refused(transactionLost(`the commit was not sent: ${reason}`));
      }
      if (!this.#wrote) return this.#connectionLost(task, reason);
      this.#fail(task);
      return refused(outcomeUnknown(
        `${this.instance} gave no answer to the commit: ${reason}`,
      ));
    }
    const answer = result.value;
    this.#recordAnswer(task, answer);
    const leader = this.#leader;
    const wrote = this.#wrote;
    this.#end(answer.state === "idle");
    if (answer.fault) return answered(answer);
    if (leader && wrote && !await confirmAnswer(task, leader, answer)) {
      return refused(outcomeUnknown(
        `${this.instance} was replaced while it committed`,
      ));
    }
    if (wrote) task.session.recordWrite(answer.position);
    task.context.requests.served(task, "commit", () => ({
      group: task.route.group,
      instance: this.instance,
      wrote,
      statements: this.#statements,
      duration: Math.round(clock.now() - this.#openedAt),
    }));
    return answered(answer);
  }

  /** Rolls the transaction back in the background. */
  abandon(): void {
    if (this.#ended) return;
    this.#ended = true;
    const deadline = clock.now() + ROLLBACK_TIMEOUT_MS;
    void this.#link.rollback(deadline).then((result) => {
      const idle = result.isOk() && result.value.state === "idle";
      if (idle) this.#link.release();
      else this.#link.destroy();
      this.#leave();
    });
  }

  #recordAnswer(task: Task, answer: Answer): void {
    if (!this.#leader) return;
    recordLeaderAnswer(task.context, task.route.group, this.#leader, answer);
  }

  #connectionLost(task: Task, reason: string): Outcome {
    this.#fail(task);
    return refused(transactionLost(
      `the connection to ${this.instance} was lost before the commit: ${reason}`,
    ));
  }

  #fail(task: Task): void {
    recordLoss(task, this.#link);
    this.#end(false);
  }

  #end(idle: boolean): void {
    if (this.#ended) return;
    this.#ended = true;
    if (idle) this.#link.release();
    else this.#link.destroy();
    this.#leave();
  }
}
