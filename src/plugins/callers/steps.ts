/**
 * What is sent to an upstream for a unit, and what the caller is to see of the
 * answers: each step ends with an answer that is passed on, swallowed or made here.
 *
 * @module
 */
import {
  BackendType,
  createBodylessMessage,
  FrontendType,
  type Message,
} from "../wire/message.ts";
import type { Unit } from "./unit_reader.ts";
import {
  type PreparedStatement,
  readBind,
  readParse,
  readTarget,
  renameBind,
  renameDescribe,
} from "./statements.ts";

/** One expected answer. */
export interface Step {
  /** Types of the messages that end the step. */
  readonly ends: readonly number[];
  /** Whether the caller sees the answer. */
  readonly forward: boolean;
  /** An answer made by the proxy, given in place of one of the upstream. */
  readonly made?: Message;
  /** Runs when the step has ended well. */
  readonly done?: () => void;
}

/** What to send, and the answers to expect. */
export interface Sending {
  readonly data: readonly Buffer[];
  readonly steps: readonly Step[];
}

const ENDS = {
  parse: [BackendType.PARSE_COMPLETE],
  bind: [BackendType.BIND_COMPLETE],
  describe: [BackendType.ROW_DESCRIPTION, BackendType.NO_DATA],
  execute: [
    BackendType.COMMAND_COMPLETE,
    BackendType.EMPTY_QUERY,
    BackendType.PORTAL_SUSPENDED,
  ],
  close: [BackendType.CLOSE_COMPLETE],
  ready: [BackendType.READY_FOR_QUERY],
} as const;

/** A step that ends with ReadyForQuery. */
export const READY_STEP: Step = { ends: ENDS.ready, forward: true };
const HIDDEN_READY_STEP: Step = { ends: ENDS.ready, forward: false };

/** Builds the sending of a unit for a connection on which some statements are prepared. */
export function createSending(
  unit: Unit,
  statements: Map<string, PreparedStatement>,
  prepared: Set<string>,
): Sending {
  if (unit.end === "query") {
    return {
      data: unit.messages.map((item) => item.data),
      steps: [READY_STEP],
    };
  }
  const ready = unit.hidesReady ? HIDDEN_READY_STEP : READY_STEP;
  const builder = new SendingBuilder(statements, prepared, ready);
  for (const message of unit.messages) builder.add(message);
  return { data: builder.data, steps: builder.steps };
}

class SendingBuilder {
  readonly data: Buffer[] = [];
  readonly steps: Step[] = [];
  readonly #statements: Map<string, PreparedStatement>;
  readonly #prepared: Set<string>;
  readonly #known: Map<string, PreparedStatement>;
  readonly #sent: Set<string>;
  readonly #ready: Step;

  constructor(
    statements: Map<string, PreparedStatement>,
    prepared: Set<string>,
    ready: Step,
  ) {
    this.#ready = ready;
    this.#statements = statements;
    this.#prepared = prepared;
    this.#known = new Map(statements);
    this.#sent = new Set(prepared);
    // The unnamed statement on the connection may be another caller's.
    this.#sent.delete("");
  }

  add(message: Message): void {
    if (message.type === FrontendType.PARSE) return this.#parse(message);
    if (message.type === FrontendType.BIND) return this.#bind(message);
    if (message.type === FrontendType.DESCRIBE) return this.#describe(message);
    if (message.type === FrontendType.CLOSE) return this.#close(message);
    if (message.type === FrontendType.EXECUTE) {
      return this.#send(message, { ends: ENDS.execute, forward: true });
    }
    if (message.type === FrontendType.SYNC) {
      return this.#send(message, this.#ready);
    }
    this.data.push(message.data);
  }

  #parse(message: Message): void {
    const parsed = readParse(message);
    if (!parsed) {
      return this.#send(message, { ends: ENDS.parse, forward: true });
    }
    const { name, statement } = parsed;
    this.#known.set(name, statement);
    const done = (): void => {
      this.#statements.set(name, statement);
      this.#prepared.add(statement.upstreamName);
    };
    if (name !== "" && this.#sent.has(statement.upstreamName)) {
      const made = createBodylessMessage(BackendType.PARSE_COMPLETE);
      this.steps.push({ ends: [], forward: true, made, done });
      return;
    }
    this.#sent.add(statement.upstreamName);
    this.#send(statement.parse, { ends: ENDS.parse, forward: true, done });
  }

  #bind(message: Message): void {
    const step: Step = { ends: ENDS.bind, forward: true };
    const place = readBind(message);
    const statement = place && this.#known.get(place.name);
    if (!statement) return this.#send(message, step);
    this.#prepare(statement);
    if (statement.upstreamName === "") return this.#send(message, step);
    this.#send(renameBind(message, statement.upstreamName), step);
  }

  #describe(message: Message): void {
    const step: Step = { ends: ENDS.describe, forward: true };
    const target = readTarget(message);
    const statement = target?.kind === "S"
      ? this.#known.get(target.name)
      : undefined;
    if (!statement) return this.#send(message, step);
    this.#prepare(statement);
    if (statement.upstreamName === "") return this.#send(message, step);
    this.#send(renameDescribe(statement.upstreamName), step);
  }

  #close(message: Message): void {
    const target = readTarget(message);
    if (target?.kind !== "S" || target.name === "") {
      return this.#send(message, { ends: ENDS.close, forward: true });
    }
    // Other callers may use the statement of the same text: it stays prepared upstream.
    const { name } = target;
    this.#known.delete(name);
    this.steps.push({
      ends: [],
      forward: true,
      made: createBodylessMessage(BackendType.CLOSE_COMPLETE),
      done: () => void this.#statements.delete(name),
    });
  }

  /** Prepares a statement of the caller that this connection does not have yet. */
  #prepare(statement: PreparedStatement): void {
    const name = statement.upstreamName;
    if (this.#sent.has(name)) return;
    this.#sent.add(name);
    this.#send(statement.parse, {
      ends: ENDS.parse,
      forward: false,
      done: () => void this.#prepared.add(name),
    });
  }

  #send(message: Message, step: Step): void {
    this.data.push(message.data);
    this.steps.push(step);
  }
}
