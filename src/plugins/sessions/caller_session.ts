/**
 * Serves one caller's connection: reads its statements sequentially and answers
 * each.
 *
 * @module
 */
import type { Result } from "neverthrow";
import { clock } from "../../kernel/clock.ts";
import {
  createFailure,
  type Failure,
  ResultCodes,
} from "../../kernel/result_codes.ts";
import type { Route } from "../deployment/routes.ts";
import type { LinkOperation, TransactionState } from "../upstream/link.ts";
import type {
  CallerChannel,
  CallerRequest,
  CallerStatement,
} from "./caller.ts";
import {
  type Outcome,
  outcomeUnknown,
  sessionTooLarge,
  statementTooLong,
  transactionLost,
} from "./outcome.ts";
import { runRead } from "./read_run.ts";
import { resolveStatement } from "./statement_resolution.ts";
import {
  type SessionContext,
  SessionState,
  type Task,
} from "./session_context.ts";
import { type SessionOrigin, SessionTasks } from "./session_tasks.ts";
import {
  type DrainableSession,
  type SessionPhase,
  stoppingFailure,
} from "./session_drain.ts";
import { Transaction } from "./transaction.ts";
import { runWrite } from "./write_run.ts";

type PendingTransaction = Promise<Result<Transaction, Failure>>;

/** Statements that callers send ahead of the ones they are for; an operation does not end with them. */
const LEADING_STATEMENTS: ReadonlySet<CallerStatement["kind"]> = new Set([
  "set",
  "prepare",
  "deallocate",
]);

/** The session of one caller's connection, with at most one open transaction. */
export class CallerSession implements DrainableSession {
  readonly #context: SessionContext;
  readonly #channel: CallerChannel;
  readonly #tasks: SessionTasks;
  readonly #session = new SessionState();
  /** The transaction that is open or being opened; if opening fails, the next statement marks it as failed. */
  #transaction: PendingTransaction | undefined;
  #failed = false;
  /** Route of the open transaction; a new configuration does not change it. */
  #route: Route | undefined;
  /** Whether the caller's key is no longer that of an account, which ends the session. */
  #isRejected = false;
  #phase: SessionPhase = "open";
  /** The statement that is running. */
  #current: CallerRequest | undefined;
  /** Monotonic time in ms of the last answer. */
  #lastAnswerAt = clock.now();
  #idleTimer: NodeJS.Timeout | undefined;

  constructor(
    context: SessionContext,
    channel: CallerChannel,
    origin: SessionOrigin,
  ) {
    this.#context = context;
    this.#channel = channel;
    this.#tasks = new SessionTasks(context, origin, this.#session);
  }

  get isBusy(): boolean {
    return this.#current !== undefined;
  }

  get quietTime(): number {
    return clock.now() - this.#lastAnswerAt;
  }

  get inTransaction(): boolean {
    return this.#state !== "idle";
  }

  get inputEmpty(): boolean {
    return this.#channel.inputEmpty;
  }

  enter(phase: SessionPhase): void {
    this.#phase = phase;
  }

  /** Answers statements until the caller disconnects, its connection is closed, or the session ends in a drain. */
  async run(): Promise<void> {
    try {
      await this.#answerAll();
    } finally {
      this.#session.end();
    }
  }

  async #answerAll(): Promise<void> {
    for (;;) {
      const request = await this.#channel.next();
      clearTimeout(this.#idleTimer);
      if (!request) break;
      this.#current = request;
      await this.#handle(request);
      this.#current = undefined;
      this.#lastAnswerAt = clock.now();
      if (this.#isRejected || this.#endsAfter(request.statement)) break;
      this.#startIdleTimer();
    }
    this.endTransaction();
    this.#channel.close();
  }

  close(): void {
    this.#channel.close();
  }

  abandon(): void {
    const current = this.#current;
    const interruption = this.#transaction
      ? transactionLost("this proxy stopped before the transaction ended")
      : outcomeUnknown("this proxy stopped before the instance answered");
    this.endTransaction();
    if (current) this.#refuse(current, interruption);
    for (;;) {
      const request = this.#channel.takeReceived();
      if (!request) break;
      this.#refuse(request, stoppingFailure());
    }
    this.#channel.close();
  }

  /** Rolls back an open transaction; the caller's next statement is refused. */
  endTransaction(): void {
    const pending = this.#transaction;
    this.#transaction = undefined;
    if (!pending) return;
    this.#failed = true;
    void pending.then((opened) => {
      if (opened.isOk()) opened.value.abandon();
    });
  }

  get #state(): TransactionState {
    if (this.#failed) return "failed";
    return this.#transaction ? "open" : "idle";
  }

  /** Whether the session ends together with the answer to a statement, so that its caller has nothing outstanding. */
  #endsAfter({ kind }: CallerStatement): boolean {
    if (this.#phase === "open" || this.#state !== "idle") return false;
    if (!this.#channel.inputEmpty) return false;
    return this.#phase === "refusing" || !LEADING_STATEMENTS.has(kind);
  }

  #startIdleTimer(): void {
    if (!this.#transaction) return;
    const timeout = this.#context.routes.table?.transactionIdleTimeout;
    if (!timeout) return;
    this.#idleTimer = setTimeout(() => this.endTransaction(), timeout);
  }

  async #handle(request: CallerRequest): Promise<void> {
    const { statement } = request;
    if (this.#phase === "refusing" && this.#state === "idle") {
      return this.#refuse(request, stoppingFailure());
    }
    switch (statement.kind) {
      case "malformed":
        return this.#refuseInvalid(request, statement.reason);
      case "too long":
        return this.#refuse(request, statementTooLong());
      case "commit":
        return await this.#commit(request, statement.text);
      case "rollback":
        return this.#rollback();
    }
    if (this.#failed) {
      return this.#refuseInvalid(request, "the transaction has failed");
    }
    switch (statement.kind) {
      case "set":
        return await this.#set(request, statement);
      case "prepare":
        return await this.#prepare(request, statement);
      case "deallocate":
        return await this.#deallocate(request, statement.name);
      case "begin":
        return await this.#begin(request, statement.readOnly);
      default:
        return await this.#runStatement(request, statement);
    }
  }

  /** Changes a value once no earlier statement of the session can run any more, since it would run with the former value. */
  async #set(
    request: CallerRequest,
    { name, value }: CallerStatement & { kind: "set" },
  ): Promise<void> {
    if (!await this.#waitForRunning(request)) return;
    if (!this.#session.setValue(name, value)) {
      return this.#refuse(request, sessionTooLarge());
    }
    this.#channel.complete(this.#state);
  }

  /** Prepares a statement; a name that stands for another one changes its meaning only as a value does. */
  async #prepare(
    request: CallerRequest,
    { name, shape }: CallerStatement & { kind: "prepare" },
  ): Promise<void> {
    const { mayRunEarlier } = this.#session;
    if (mayRunEarlier && this.#session.isNameTaken(name, shape)) {
      if (!await this.#waitForRunning(request)) return;
    }
    if (!this.#session.prepare(name, shape)) {
      return this.#refuse(request, sessionTooLarge());
    }
    this.#channel.complete(this.#state);
  }

  async #deallocate(request: CallerRequest, name: string): Promise<void> {
    const { mayRunEarlier, prepared } = this.#session;
    if (mayRunEarlier && prepared.has(name)) {
      if (!await this.#waitForRunning(request)) return;
    }
    this.#session.deallocate(name);
    this.#channel.complete(this.#state);
  }

  /** Resolves to true when no earlier statement of the session can run any more; otherwise refuses the request. */
  async #waitForRunning(request: CallerRequest): Promise<boolean> {
    const task = this.#tasks.create(request, this.#openRoute);
    if (task.isErr()) {
      this.#refuse(request, task.error);
      return false;
    }
    const { usefulUntil } = task.value;
    if (await this.#session.waitForRunning(usefulUntil)) return true;
    const failure = createFailure(
      ResultCodes.EARLIER_STATEMENT_RUNNING,
      "an earlier statement of this session may still run; connect again",
    );
    this.#refuse(request, failure);
    return false;
  }

  async #begin(request: CallerRequest, readOnly: boolean): Promise<void> {
    if (this.#transaction) return this.#refuseInvalid(request, "already open");
    const task = this.#tasks.create(request, undefined);
    if (task.isErr()) return this.#refuse(request, task.error);
    const refusal = await this.#context.quotas.admit(
      task.value.account,
      task.value.usefulUntil,
    );
    if (refusal) return this.#refuse(request, refusal);
    this.#route = task.value.route;
    // Not awaited: the transaction opens while the caller prepares its first statement.
    this.#transaction = Transaction.open(task.value, readOnly);
    this.#channel.complete("open");
  }

  async #runStatement(
    request: CallerRequest,
    statement: CallerStatement & { kind: "read" | "write" | "execute" },
  ): Promise<void> {
    const resolved = resolveStatement(statement, this.#session.prepared);
    if (!resolved) {
      const failure = createFailure(
        ResultCodes.STATEMENT_UNKNOWN,
        "no statement of that name is prepared",
      );
      return this.#refuse(request, failure);
    }
    const created = this.#tasks.create(request, this.#openRoute);
    if (created.isErr()) return this.#refuse(request, created.error);
    const task = created.value;
    const { effect, operation } = resolved;
    if (this.#transaction) {
      return await this.#runInTransaction(task, operation, effect);
    }
    const { account, usefulUntil } = task;
    const refusal = await this.#context.quotas.admit(account, usefulUntil);
    if (refusal) return this.#refuse(request, refusal);
    const outcome = effect === "read"
      ? await runRead(task, operation)
      : await runWrite(task, operation);
    this.#sendOutcome(request, outcome);
  }

  async #runInTransaction(
    task: Task,
    operation: LinkOperation,
    effect: "read" | "write",
  ): Promise<void> {
    const opened = await this.#transaction!;
    if (opened.isErr()) {
      this.#transaction = undefined;
      this.#failed = true;
      return this.#refuse(task, opened.error);
    }
    const outcome = await opened.value.run(task, operation, effect);
    if (outcome.kind === "refused") {
      this.#transaction = undefined;
      this.#failed = true;
      return this.#sendOutcome(task, outcome);
    }
    if (outcome.answer.fault) this.endTransaction();
    this.#sendOutcome(task, outcome);
  }

  async #commit(request: CallerRequest, text: string): Promise<void> {
    const pending = this.#transaction;
    const failed = this.#failed;
    this.#failed = false;
    this.#transaction = undefined;
    if (failed) {
      const failure = transactionLost(
        "the transaction had failed before",
      );
      return this.#refuse(request, failure);
    }
    if (!pending) return this.#refuseInvalid(request, "no transaction is open");
    const opened = await pending;
    if (opened.isErr()) return this.#refuse(request, opened.error);
    const task = this.#tasks.create(request, this.#route);
    if (task.isErr()) {
      opened.value.abandon();
      return this.#refuse(request, task.error);
    }
    this.#sendOutcome(request, await opened.value.commit(task.value, text));
  }

  #rollback(): void {
    this.endTransaction();
    this.#failed = false;
    this.#channel.complete("idle");
  }

  /** Route of the open transaction, if there is one. */
  get #openRoute(): Route | undefined {
    return this.#transaction && this.#route;
  }

  #sendOutcome(
    request: { readonly id: string; readonly receivedAt: number },
    outcome: Outcome,
  ): void {
    if (outcome.kind === "refused") {
      return this.#refuse(request, outcome.failure);
    }
    const { answer } = outcome;
    this.#channel.answer({ ...answer, state: this.#state });
  }

  #refuseInvalid(request: CallerRequest, reason: string): void {
    this.#refuse(
      request,
      createFailure(ResultCodes.PROTOCOL_MALFORMED, reason),
    );
  }

  #refuse(
    request: { readonly id: string; readonly receivedAt: number },
    failure: Failure,
  ): void {
    this.#context.requests.refused(request, failure, this.#tasks.describe());
    if (failure.code === ResultCodes.KEY_REJECTED) {
      this.#isRejected = true;
      this.endTransaction();
    }
    this.#channel.refuse(failure, this.#state);
  }
}
