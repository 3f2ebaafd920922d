/**
 * Builds answers of the proxy itself, with messages in the order in which an
 * upstream sends them.
 *
 * @module
 */
import {
  BackendType,
  createBodylessMessage,
  createCommandComplete,
  createMessage,
  createReadyForQuery,
  FrontendType,
  type Message,
  type TransactionStatus,
} from "../wire/message.ts";
import { readTarget } from "./statements.ts";
import type { Unit } from "./unit_reader.ts";

/** Answer to one command: its tag and, for a SHOW, one row with one column. */
export interface LocalAnswer {
  readonly tag: string;
  readonly column?: string;
  readonly value?: string;
}

const TEXT_TYPE_OID = 25;

/** Creates the messages that answer a unit. */
export function createLocalAnswer(
  unit: Unit,
  answer: LocalAnswer,
  status: TransactionStatus,
): readonly Message[] {
  return unit.messages.flatMap((message) => answerTo(message, answer, status));
}

function answerTo(
  message: Message,
  answer: LocalAnswer,
  status: TransactionStatus,
): readonly Message[] {
  switch (message.type) {
    case FrontendType.QUERY:
      return [
        ...createDescription(answer),
        ...createResult(answer),
        createReadyForQuery(status),
      ];
    case FrontendType.PARSE:
      return [createBodylessMessage(BackendType.PARSE_COMPLETE)];
    case FrontendType.BIND:
      return [createBodylessMessage(BackendType.BIND_COMPLETE)];
    case FrontendType.CLOSE:
      return [createBodylessMessage(BackendType.CLOSE_COMPLETE)];
    case FrontendType.EXECUTE:
      return createResult(answer);
    case FrontendType.SYNC:
      return [createReadyForQuery(status)];
    case FrontendType.DESCRIBE: {
      const parameters = readTarget(message)?.kind === "S"
        ? [createMessage(BackendType.PARAMETER_DESCRIPTION, Buffer.alloc(2))]
        : [];
      const rows = createDescription(answer);
      if (rows.length > 0) return [...parameters, ...rows];
      return [...parameters, createBodylessMessage(BackendType.NO_DATA)];
    }
    default:
      return [];
  }
}

function createDescription(answer: LocalAnswer): readonly Message[] {
  if (answer.column === undefined) return [];
  const name = Buffer.from(answer.column + "\0");
  const body = Buffer.alloc(2 + name.length + 18);
  body.writeInt16BE(1, 0);
  name.copy(body, 2);
  const offset = 2 + name.length;
  body.writeInt32BE(TEXT_TYPE_OID, offset + 6);
  body.writeInt16BE(-1, offset + 10);
  body.writeInt32BE(-1, offset + 12);
  return [createMessage(BackendType.ROW_DESCRIPTION, body)];
}

function createResult(answer: LocalAnswer): readonly Message[] {
  const complete = createCommandComplete(answer.tag);
  if (answer.column === undefined) return [complete];
  const value = Buffer.from(answer.value ?? "");
  const body = Buffer.alloc(6 + value.length);
  body.writeInt16BE(1, 0);
  body.writeInt32BE(value.length, 2);
  value.copy(body, 6);
  return [createMessage(BackendType.DATA_ROW, body), complete];
}
