/**
 * Extended queries of one connection: messages are gathered until Sync or Flush
 * and run together.
 *
 * @module
 */
import { type Control, CONTROL_COLUMNS, runControl } from "./control.ts";
import {
  CANCELLED,
  engineText,
  failingText,
  type SessionContext,
  toFailure,
} from "./session_context.ts";
import {
  createCommandComplete,
  createDataRow,
  createError,
  createMessage,
  createRowDescription,
  int16,
  type Message,
  SqlFailure,
} from "./wire.ts";

/** Runs Parse, Bind, Describe, Execute, Close, Flush and Sync. */
export class ExtendedQuery {
  readonly #context: SessionContext;
  #gathered: Message[] = [];
  /** Messages for the engine that were not run yet. */
  #segment: Buffer[] = [];
  #hiddenCloses: boolean[] = [];
  #output: Buffer[] = [];
  #failed = false;

  constructor(context: SessionContext) {
    this.#context = context;
  }

  /** Takes a message; Sync and Flush run all that were gathered. */
  async add(message: Message): Promise<void> {
    this.#gathered.push(message);
    if (message.type !== "S" && message.type !== "H") return;
    const messages = this.#gathered;
    this.#gathered = [];
    for (const one of messages) await this.#run(one);
    this.#runSegment();
    const output = Buffer.concat(this.#output);
    this.#output = [];
    await this.#context.channel.write(output);
  }

  async #run(message: Message): Promise<void> {
    if (message.type === "S") {
      this.#sync();
      return;
    }
    if (this.#failed || message.type === "H") return;
    try {
      await this.#runOne(message);
    } catch (error) {
      this.#context.channel.check();
      this.#fail(toFailure(error));
    }
  }

  #sync(): void {
    const { access } = this.#context;
    if (access.held) {
      this.#segment.push(createMessage("S"));
      this.#runSegment();
    } else {
      this.#output.push(access.ready);
    }
    this.#failed = false;
  }

  async #runOne(message: Message): Promise<void> {
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
    const { access, names } = this.#context;
    const { name, prepared } = names.parse(message);
    if (!prepared.statement) {
      this.#answer(createMessage("1"));
      return;
    }
    await access.enter();
    if (name === "") {
      this.#segment.push(names.writeCloseUnnamed());
      this.#hiddenCloses.push(true);
    }
    const text = engineText(this.#context, prepared.statement);
    this.#segment.push(names.writeParse(message, text));
  }

  async #bind(message: Message): Promise<void> {
    const { access, channel, names } = this.#context;
    const { control, statement } = names.bind(message);
    if (control) {
      this.#answer(createMessage("2"));
      return;
    }
    const sleep = statement?.sleep ?? 0;
    if (sleep > 0 && !await channel.sleep(sleep)) throw CANCELLED;
    await access.enter();
    if (statement) access.note(statement);
    this.#segment.push(names.writeBind(message));
  }

  async #describe(message: Message): Promise<void> {
    const { access, names } = this.#context;
    const { control } = names.target(message);
    if (!control) {
      await access.enter();
      this.#segment.push(names.writeTarget(message));
      return;
    }
    const isStatement = message.bytes[5] === "S".charCodeAt(0);
    if (isStatement) this.#answer(createMessage("t", int16(0)));
    this.#answer(createRowDescription(CONTROL_COLUMNS[control.name]));
  }

  async #execute(message: Message): Promise<void> {
    const { access, names } = this.#context;
    const { control } = names.executed(message);
    if (control) {
      await this.#executeControl(control);
      return;
    }
    await access.enter();
    this.#segment.push(message.bytes);
  }

  async #executeControl(control: Control): Promise<void> {
    this.#runSegment();
    if (this.#failed) return;
    const { access, instance } = this.#context;
    if (control.name === "position" && access.wrote) {
      throw new SqlFailure("25001", "the position is known after the commit");
    }
    this.#answer(createDataRow(await runControl(instance, control)));
    this.#answer(createCommandComplete("SELECT 1"));
  }

  async #close(message: Message): Promise<void> {
    const { access, names } = this.#context;
    const { control } = names.target(message);
    names.close(message);
    if (control) {
      this.#answer(createMessage("3"));
      return;
    }
    await access.enter();
    this.#segment.push(names.writeTarget(message));
    this.#hiddenCloses.push(false);
  }

  #answer(bytes: Buffer): void {
    this.#runSegment();
    if (!this.#failed) this.#output.push(bytes);
  }

  #fail(failure: SqlFailure): void {
    const { access } = this.#context;
    this.#runSegment();
    if (this.#failed) return;
    this.#failed = true;
    if (!access.held) {
      this.#output.push(createError(failure));
      return;
    }
    const failing = createMessage("Q", failingText(failure));
    this.#output.push(access.execute(failing, { readyForQuery: true }).bytes);
  }

  #runSegment(): void {
    if (this.#segment.length === 0) return;
    const messages = Buffer.concat(this.#segment);
    const closes = this.#hiddenCloses;
    this.#segment = [];
    this.#hiddenCloses = [];
    const answers = this.#context.access.execute(messages, {
      closeCompletes: closes,
    });
    this.#failed ||= answers.failed;
    this.#output.push(answers.bytes);
  }
}
