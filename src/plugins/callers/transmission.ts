/**
 * Builds the messages to send to an upstream for a unit and the list of expected
 * answers, each of which is forwarded, suppressed or created by the proxy.
 *
 * @module
 */
import {
  BackendType,
  createBodylessMessage,
  FrontendType,
  type Message,
} from "../wire/message.ts";
import type { UpstreamConnection } from "../connections/connections.ts";
import type { Unit } from "./unit_reader.ts";
import {
  createReadingKey,
  type PreparedStatement,
  readBind,
  readParse,
  readTarget,
  renameBind,
  renameDescribe,
  underSettings,
} from "./statements.ts";

/** The expected answer to one message. */
export interface ExpectedAnswer {
  /** Types of the messages that end the answer. */
  readonly endTypes: readonly number[];
  /** Whether the answer is forwarded to the caller. */
  readonly forward: boolean;
  /** An answer created by the proxy; nothing is read from the upstream for it. */
  readonly localAnswer?: Message;
  /** Called when the answer has ended without an error. */
  readonly onComplete?: () => void;
}

/** Messages to send to an upstream, and their expected answers. */
export interface Transmission {
  readonly data: readonly Buffer[];
  readonly expectedAnswers: readonly ExpectedAnswer[];
}

const END_TYPES = {
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

/** A forwarded answer that ends with ReadyForQuery. */
export const READY_ANSWER: ExpectedAnswer = {
  endTypes: END_TYPES.ready,
  forward: true,
};
const HIDDEN_READY_ANSWER: ExpectedAnswer = {
  endTypes: END_TYPES.ready,
  forward: false,
};

/** Creates the transmission of a unit for a connection with these prepared statements and settings. */
export function createTransmission(
  unit: Unit,
  statements: Map<string, PreparedStatement>,
  { prepared, settings }: Pick<UpstreamConnection, "prepared" | "settings">,
): Transmission {
  if (unit.end === "query") {
    return {
      data: unit.messages.map((item) => item.data),
      expectedAnswers: [READY_ANSWER],
    };
  }
  const ready = unit.hidesReady ? HIDDEN_READY_ANSWER : READY_ANSWER;
  const builder = new TransmissionBuilder(
    statements,
    prepared,
    createReadingKey(settings),
    ready,
  );
  for (const message of unit.messages) builder.add(message);
  return { data: builder.data, expectedAnswers: builder.expectedAnswers };
}

class TransmissionBuilder {
  readonly data: Buffer[] = [];
  readonly expectedAnswers: ExpectedAnswer[] = [];
  readonly #statements: Map<string, PreparedStatement>;
  readonly #prepared: Set<string>;
  readonly #statementsInUnit: Map<string, PreparedStatement>;
  readonly #preparedOrSent: Set<string>;
  readonly #readingKey: string;
  readonly #ready: ExpectedAnswer;

  constructor(
    statements: Map<string, PreparedStatement>,
    prepared: Set<string>,
    readingKey: string,
    ready: ExpectedAnswer,
  ) {
    this.#readingKey = readingKey;
    this.#ready = ready;
    this.#statements = statements;
    this.#prepared = prepared;
    this.#statementsInUnit = new Map(statements);
    this.#preparedOrSent = new Set(prepared);
    // The unnamed statement on the connection may belong to another caller.
    this.#preparedOrSent.delete("");
  }

  add(message: Message): void {
    if (message.type === FrontendType.PARSE) return this.#parse(message);
    if (message.type === FrontendType.BIND) return this.#bind(message);
    if (message.type === FrontendType.DESCRIBE) return this.#describe(message);
    if (message.type === FrontendType.CLOSE) return this.#close(message);
    if (message.type === FrontendType.EXECUTE) {
      return this.#send(message, {
        endTypes: END_TYPES.execute,
        forward: true,
      });
    }
    if (message.type === FrontendType.SYNC) {
      return this.#send(message, this.#ready);
    }
    this.data.push(message.data);
  }

  #parse(message: Message): void {
    const parsed = readParse(message);
    if (!parsed) {
      return this.#send(message, { endTypes: END_TYPES.parse, forward: true });
    }
    const { name, statement } = parsed;
    const { upstreamName, parse } = underSettings(statement, this.#readingKey);
    this.#statementsInUnit.set(name, statement);
    const recordStatement = (): void => {
      this.#statements.set(name, statement);
    };
    if (name !== "" && this.#preparedOrSent.has(upstreamName)) {
      const localAnswer = createBodylessMessage(BackendType.PARSE_COMPLETE);
      this.expectedAnswers.push({
        endTypes: [],
        forward: true,
        localAnswer,
        onComplete: recordStatement,
      });
      return;
    }
    this.#preparedOrSent.add(upstreamName);
    this.#send(parse, {
      endTypes: END_TYPES.parse,
      forward: true,
      onComplete: () => {
        recordStatement();
        this.#prepared.add(upstreamName);
      },
    });
  }

  #bind(message: Message): void {
    const expected: ExpectedAnswer = {
      endTypes: END_TYPES.bind,
      forward: true,
    };
    const bind = readBind(message);
    const statement = bind && this.#statementsInUnit.get(bind.name);
    if (!statement) return this.#send(message, expected);
    const name = this.#prepare(statement);
    if (name === "") return this.#send(message, expected);
    this.#send(renameBind(message, name), expected);
  }

  #describe(message: Message): void {
    const expected: ExpectedAnswer = {
      endTypes: END_TYPES.describe,
      forward: true,
    };
    const target = readTarget(message);
    const statement = target?.kind === "S"
      ? this.#statementsInUnit.get(target.name)
      : undefined;
    if (!statement) return this.#send(message, expected);
    const name = this.#prepare(statement);
    if (name === "") return this.#send(message, expected);
    this.#send(renameDescribe(name), expected);
  }

  #close(message: Message): void {
    const target = readTarget(message);
    if (target?.kind !== "S" || target.name === "") {
      return this.#send(message, { endTypes: END_TYPES.close, forward: true });
    }
    // The statement stays prepared upstream, because other callers may use the same text.
    const { name } = target;
    this.#statementsInUnit.delete(name);
    this.expectedAnswers.push({
      endTypes: [],
      forward: true,
      localAnswer: createBodylessMessage(BackendType.CLOSE_COMPLETE),
      onComplete: () => void this.#statements.delete(name),
    });
  }

  /** Prepares a caller's statement if it is not prepared on this connection yet; returns its name there. */
  #prepare(statement: PreparedStatement): string {
    const { upstreamName: name, parse } = underSettings(
      statement,
      this.#readingKey,
    );
    if (this.#preparedOrSent.has(name)) return name;
    this.#preparedOrSent.add(name);
    this.#send(parse, {
      endTypes: END_TYPES.parse,
      forward: false,
      onComplete: () => void this.#prepared.add(name),
    });
    return name;
  }

  #send(message: Message, expected: ExpectedAnswer): void {
    this.data.push(message.data);
    this.expectedAnswers.push(expected);
  }
}
