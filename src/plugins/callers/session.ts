/**
 * One caller's session: reads units in order, runs each and writes its answer.
 *
 * @module
 */
import type { Socket } from "node:net";
import { clock } from "../../kernel/clock.ts";
import { Events } from "../../kernel/events.ts";
import {
  createFailure,
  type Failure,
  ResultCodes,
} from "../../kernel/result_codes.ts";
import type { Group } from "../document/document.ts";
import type { UpstreamConnection } from "../connections/connections.ts";
import { createFailureMessage } from "../wire/failure_message.ts";
import {
  createReadyForQuery,
  type Message,
  type TransactionStatus,
} from "../wire/message.ts";
import { MessageLengthError, MessageReader } from "../wire/message_reader.ts";
import {
  type CallerContext,
  groupOf,
  type SessionIdentity,
} from "./caller_context.ts";
import { CallerOutput } from "./caller_output.ts";
import { runRequest } from "./ledger_run.ts";
import { createLocalAnswer, type LocalAnswer } from "./local_answer.ts";
import { answerLocally } from "./local_commands.ts";
import { createPlan, type Plan } from "./plan.ts";
import { runRead } from "./read_run.ts";
import { type HeldConnection, type Run, type RunResult } from "./run.ts";
import {
  badRequestId,
  isRequestId,
  type SessionState,
} from "./session_state.ts";
import { recordLocalStatements } from "./statements.ts";
import { runHeld } from "./transaction_run.ts";
import { beginRequest } from "./transaction_request.ts";
import {
  endPreparingUnit,
  MAX_UNIT_BYTES,
  type Unit,
  UnitReader,
} from "./unit_reader.ts";
import { runWrite } from "./write_run.ts";

const TRANSACTION_ABORTED = createFailure(
  { ...ResultCodes.TRANSACTION_LOST, sqlState: "25P02" },
  "the transaction was lost; statements are refused until it is ended",
);

/** Serves one caller's connection. */
export class CallerSession {
  readonly identity: SessionIdentity;
  readonly #context: CallerContext;
  readonly #socket: Socket;
  readonly #output: CallerOutput;
  readonly #reader: MessageReader;
  readonly #units: UnitReader;
  readonly #state: SessionState;
  #held: HeldConnection | undefined;
  #activeConnection: UpstreamConnection | undefined;
  /** Whether units are skipped, after an error, until one ends with a Sync. */
  #skipping = false;
  #transactionLost = false;
  #waiting = false;
  #draining = false;
  /** Whether the caller was sent the failure that ends the session, after which nothing more runs. */
  #terminationSent = false;

  constructor(
    context: CallerContext,
    identity: SessionIdentity,
    socket: Socket,
    state: SessionState,
  ) {
    this.identity = identity;
    this.#context = context;
    this.#socket = socket;
    this.#state = state;
    this.#output = new CallerOutput(socket);
    this.#reader = new MessageReader(socket, MAX_UNIT_BYTES);
    this.#units = new UnitReader(this.#reader);
  }

  /** Serves the caller until either side ends the connection, then closes the socket. */
  async run(): Promise<void> {
    try {
      await this.#serve();
    } catch (error) {
      await this.#fail(error);
    } finally {
      this.#held?.exchange.finish(false);
      this.#held = undefined;
      this.#reader.detach();
      // Remaining input is discarded: unread bytes would reset the connection before the caller reads the last answer.
      this.#socket.resume();
      this.#socket.end();
    }
  }

  /** Ends the session as soon as no transaction is open. */
  drain(): void {
    this.#draining = true;
    if (this.#waiting && !this.#held?.inTransaction) this.#sendTermination();
  }

  /** Ends the session at once; a caller whose statement is running is told that its outcome is unknown. */
  abandon(): void {
    this.#draining = true;
    if (this.#waiting) return this.#sendTermination();
    this.#end(createFailure(
      ResultCodes.OUTCOME_UNKNOWN,
      "the proxy stopped before the statement was answered",
    ));
  }

  /** The upstream connection that runs the caller's statement, for a cancel request. */
  get activeConnection(): UpstreamConnection | undefined {
    return this.#activeConnection ?? this.#held?.exchange.connection;
  }

  async #serve(): Promise<void> {
    for (;;) {
      if (this.#draining && !this.#held?.inTransaction) {
        return this.#sendTermination();
      }
      const unit = await this.#nextUnit();
      // A unit that arrives while the failure that ends the session is sent must not run: its outcome was reported as "not run".
      if (!unit || this.#terminationSent) return;
      await this.#handle(unit);
      this.#state.touch(clock.now());
    }
  }

  async #nextUnit(): Promise<Unit | undefined> {
    this.#waiting = true;
    const unit = await this.#units.next();
    this.#waiting = false;
    return unit && endPreparingUnit(unit);
  }

  /** Reads the unit after one that ended with a Flush; undefined when it may not run on the same connection. */
  async #nextUnitOfBatch(): Promise<Unit | undefined> {
    const unit = await this.#nextUnit();
    if (!unit || unit.failure) return undefined;
    const { classifier } = this.#context;
    const plan = createPlan(unit, this.#state.statements, classifier);
    const fits = plan.effect === "read" || plan.texts.length === 0;
    return fits ? unit : undefined;
  }

  async #handle(unit: Unit): Promise<void> {
    if (this.#skipping) return await this.#skip(unit);
    if (unit.failure) return await this.#refuse(unit, unit.failure);
    const group = groupOf(this.#context, this.identity);
    if (!group) return await this.#refuse(unit, unknownDatabase(this.identity));
    const plan = createPlan(
      unit,
      this.#state.statements,
      this.#context.classifier,
    );
    if (plan.unsupported) return await this.#refuse(unit, unsupportedCommand());
    if (unit.end === "flush" && plan.effect !== "read") {
      return await this.#refuse(unit, unsupportedFlush());
    }
    if (this.#transactionLost) return await this.#handleAfterLoss(unit, plan);
    const localAnswer = answerLocally(plan, this.#state);
    if (localAnswer) return await this.#sendLocalAnswer(unit, localAnswer);
    const run = this.#createRun(unit, plan, group);
    const result = await this.#dispatch(run);
    await this.#finishRun(run, result);
  }

  #createRun(unit: Unit, plan: Plan, group: Group): Run {
    return {
      context: this.#context,
      identity: this.identity,
      group,
      state: this.#state,
      output: this.#output,
      unit,
      plan,
      next: () => this.#nextUnitOfBatch(),
      track: (connection) => this.#activeConnection = connection,
      deadline: clock.now() + group.queue.deadline,
    };
  }

  async #dispatch(run: Run): Promise<RunResult> {
    const { plan } = run;
    const held = this.#held;
    if (held?.inTransaction) return await runHeld(run, held);
    const command = plan.single?.transaction;
    const begins = command === "begin";
    const id = begins || plan.effect === "write"
      ? this.#takeRequestId(plan)
      : undefined;
    if (id !== undefined) {
      return await this.#runRequest(
        run,
        id,
        begins ? beginRequest : runRequest,
      );
    }
    if (held) return await runHeld(run, held);
    const reads = command === "begin read only" || plan.effect === "read";
    return reads ? await runRead(run) : await runWrite(run);
  }

  async #runRequest(
    run: Run,
    id: string,
    execute: typeof runRequest,
  ): Promise<RunResult> {
    if (!isRequestId(id)) return { kind: "failed", failure: badRequestId(id) };
    if (run.plan.mixedTransaction || run.unit.end === "flush") {
      return { kind: "failed", failure: invalidRequestForm() };
    }
    return await execute(run, id, this.#held);
  }

  #takeRequestId(plan: Plan): string | undefined {
    const id = plan.requestId ?? this.#state.requestId;
    this.#state.requestId = undefined;
    return id;
  }

  async #finishRun(run: Run, result: RunResult): Promise<void> {
    this.#activeConnection = undefined;
    if (result.kind === "held") this.#held = result.held;
    if (this.#held?.exchange.finished) this.#held = undefined;
    if (result.kind === "transaction lost") this.#transactionLost = true;
    if (result.kind !== "failed" && result.kind !== "transaction lost") return;
    await this.#refuse(run.unit, result.failure);
  }

  async #sendLocalAnswer(
    unit: Unit,
    answer: LocalAnswer | Failure,
  ): Promise<void> {
    if ("code" in answer) return await this.#refuse(unit, answer);
    recordLocalStatements(unit.messages, this.#state.statements);
    const messages = createLocalAnswer(unit, answer, this.#status());
    await this.#write(unit.hidesReady ? messages.slice(0, -1) : messages);
  }

  async #handleAfterLoss(unit: Unit, plan: Plan): Promise<void> {
    const command = (plan.single ?? plan.prepared)?.transaction;
    if (command !== "rollback" && command !== "commit") {
      return await this.#refuse(unit, TRANSACTION_ABORTED);
    }
    if (plan.single) this.#transactionLost = false;
    await this.#sendLocalAnswer(unit, { tag: "ROLLBACK" });
  }

  async #skip(unit: Unit): Promise<void> {
    if (unit.end !== "sync" || unit.hidesReady) return;
    this.#skipping = false;
    await this.#write([createReadyForQuery(this.#status())]);
  }

  async #refuse(unit: Unit, failure: Failure): Promise<void> {
    this.#context.metrics.recordRefusal(failure.code.name);
    this.#context.log.write(Events.STATEMENT_REFUSED, {
      session: this.identity.id,
      database: this.identity.database,
      code: failure.code.number,
      message: failure.message,
    });
    const message = createFailureMessage(failure, "ERROR");
    const sendsReady = unit.end !== "flush" && !unit.hidesReady;
    this.#skipping = !sendsReady;
    await this.#write(
      sendsReady ? [message, createReadyForQuery(this.#status())] : [message],
    );
  }

  #status(): TransactionStatus {
    if (this.#transactionLost) return "E";
    return this.#held?.inTransaction ? "T" : "I";
  }

  async #write(messages: readonly Message[]): Promise<void> {
    await this.#output.write(messages.map((message) => message.data));
  }

  #sendTermination(): void {
    this.#end(createFailure(
      ResultCodes.SHUTTING_DOWN,
      "the proxy is stopping; connect again",
    ));
  }

  /** Sends the failure that ends the session. */
  #end(failure: Failure): void {
    if (this.#terminationSent) return;
    this.#terminationSent = true;
    this.#socket.end(createFailureMessage(failure, "FATAL").data);
  }

  async #fail(error: unknown): Promise<void> {
    const malformed = error instanceof MessageLengthError;
    if (!malformed) {
      this.#context.log.write(Events.UNEXPECTED, {
        session: this.identity.id,
        error: error instanceof Error ? error.stack : String(error),
      });
    }
    const failure = malformed
      ? createFailure(ResultCodes.PROTOCOL_MALFORMED, error.message)
      : createFailure(ResultCodes.INTERNAL, "unexpected error in the proxy");
    await this.#write([createFailureMessage(failure, "FATAL")]);
  }
}

function unknownDatabase(identity: SessionIdentity): Failure {
  return createFailure(
    ResultCodes.DATABASE_UNKNOWN,
    `database ${identity.database} is not in the document in force`,
  );
}

function unsupportedCommand(): Failure {
  return createFailure(
    ResultCodes.PROTOCOL_UNSUPPORTED,
    "COPY, LISTEN and NOTIFY are not supported",
  );
}

/** The failure for a Flush after anything but a read: a commit is acknowledged at its Sync, so it can't be answered at a Flush. */
function unsupportedFlush(): Failure {
  return createFailure(
    ResultCodes.PROTOCOL_UNSUPPORTED,
    "a Flush after Bind or Execute is supported for reads only",
    { hint: "End the batch with a Sync." },
  );
}

function invalidRequestForm(): Failure {
  return createFailure(
    ResultCodes.REQUEST_ID_INVALID,
    "a request id stands for one statement or, on BEGIN, for one transaction",
  );
}
