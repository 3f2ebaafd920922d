/**
 * Extended query protocol of one connection: messages are queued until Sync or
 * Flush and run together.
 *
 * @module
 */
import {
  CONTROL_COLUMNS,
  type ControlStatement,
  runControlStatement,
} from "./control.ts";
import {
  createRaiseStatement,
  QUERY_CANCELED,
  rewriteForEngine,
  type SessionContext,
  toFailure,
} from "./session_context.ts";
import {
  createCommandComplete,
  createDataRow,
  createErrorResponse,
  createMessage,
  createRowDescription,
  int16,
  type Message,
  SqlFailure,
} from "./wire.ts";

/** Handles Parse, Bind, Describe, Execute, Close, Flush and Sync. */
export class ExtendedQuery {
  readonly #context: SessionContext;
  #pending: Message[] = [];
  /** Messages for the engine that have not run yet. */
  #batch: Buffer[] = [];
  #suppressedCloses: boolean[] = [];
  #output: Buffer[] = [];
  #failed = false;

  constructor(context: SessionContext) {
    this.#context = context;
  }

  /** Queues a message; Sync and Flush run all queued messages and send the responses. */
  async enqueue(message: Message): Promise<void> {
    this.#pending.push(message);
    if (message.type !== "S" && message.type !== "H") return;
    const messages = this.#pending;
    this.#pending = [];
    for (const pending of messages) await this.#process(pending);
    this.#flushBatch();
    const output = Buffer.concat(this.#output);
    this.#output = [];
    await this.#context.channel.write(output);
  }

  async #process(message: Message): Promise<void> {
    if (message.type === "S") {
      this.#sync();
      return;
    }
    if (this.#failed || message.type === "H") return;
    try {
      await this.#handle(message);
    } catch (error) {
      this.#context.channel.throwIfEnded();
      this.#fail(toFailure(error));
    }
  }

  #sync(): void {
    const { access } = this.#context;
    if (access.holdsMutex) {
      this.#batch.push(createMessage("S"));
      this.#flushBatch();
    } else {
      this.#output.push(access.readyForQuery);
    }
    this.#failed = false;
  }

  async #handle(message: Message): Promise<void> {
    switch (message.type) {
      case "P":
        return await this.#parse(message);
      case "B":
        return await this.#bind(message);
      case "D":
        return await this.#describe(message);
      case "E":
        return await this.#execute(message);
      case "C":
        return await this.#close(message);
    }
  }

  async #parse(message: Message): Promise<void> {
    const { access, preparedStatements } = this.#context;
    const { name, prepared } = preparedStatements.recordParse(message);
    if (!prepared.statement) {
      this.#respond(createMessage("1"));
      return;
    }
    await access.acquire();
    if (name === "") {
      this.#batch.push(preparedStatements.createCloseUnnamed());
      this.#suppressedCloses.push(true);
    }
    const text = rewriteForEngine(this.#context, prepared.statement);
    this.#batch.push(preparedStatements.rewriteParse(message, text));
  }

  async #bind(message: Message): Promise<void> {
    const { access, channel, preparedStatements } = this.#context;
    const { control, statement } = preparedStatements.recordBind(message);
    if (control) {
      this.#respond(createMessage("2"));
      return;
    }
    const sleepMs = statement?.sleepMs ?? 0;
    if (sleepMs > 0 && !await channel.sleep(sleepMs)) throw QUERY_CANCELED;
    await access.acquire();
    if (statement) access.recordEffects(statement);
    this.#batch.push(preparedStatements.rewriteBind(message));
  }

  async #describe(message: Message): Promise<void> {
    const { access, preparedStatements } = this.#context;
    const { control } = preparedStatements.findTarget(message);
    if (!control) {
      await access.acquire();
      this.#batch.push(preparedStatements.rewriteTarget(message));
      return;
    }
    const isStatement = message.bytes[5] === "S".charCodeAt(0);
    if (isStatement) this.#respond(createMessage("t", int16(0)));
    this.#respond(createRowDescription(CONTROL_COLUMNS[control.name]));
  }

  async #execute(message: Message): Promise<void> {
    const { access, preparedStatements } = this.#context;
    const { control } = preparedStatements.findPortal(message);
    if (control) {
      await this.#executeControl(control);
      return;
    }
    await access.acquire();
    this.#batch.push(message.bytes);
  }

  async #executeControl(control: ControlStatement): Promise<void> {
    this.#flushBatch();
    if (this.#failed) return;
    const { access, instance } = this.#context;
    if (control.name === "position" && access.wrote) {
      throw new SqlFailure("25001", "the position is known after the commit");
    }
    this.#respond(
      createDataRow(await runControlStatement(instance, control)),
    );
    this.#respond(createCommandComplete("SELECT 1"));
  }

  async #close(message: Message): Promise<void> {
    const { access, preparedStatements } = this.#context;
    const { control } = preparedStatements.findTarget(message);
    preparedStatements.recordClose(message);
    if (control) {
      this.#respond(createMessage("3"));
      return;
    }
    await access.acquire();
    this.#batch.push(preparedStatements.rewriteTarget(message));
    this.#suppressedCloses.push(false);
  }

  #respond(bytes: Buffer): void {
    this.#flushBatch();
    if (!this.#failed) this.#output.push(bytes);
  }

  #fail(failure: SqlFailure): void {
    const { access } = this.#context;
    this.#flushBatch();
    if (this.#failed) return;
    this.#failed = true;
    if (!access.holdsMutex) {
      this.#output.push(createErrorResponse(failure));
      return;
    }
    const raise = createMessage("Q", createRaiseStatement(failure));
    this.#output.push(access.execute(raise, { readyForQuery: true }).bytes);
  }

  #flushBatch(): void {
    if (this.#batch.length === 0) return;
    const messages = Buffer.concat(this.#batch);
    const closeCompletes = this.#suppressedCloses;
    this.#batch = [];
    this.#suppressedCloses = [];
    const response = this.#context.access.execute(messages, {
      closeCompletes,
    });
    this.#failed ||= response.failed;
    this.#output.push(response.bytes);
  }
}
