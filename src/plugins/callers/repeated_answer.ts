/**
 * Converts a stored answer to the protocol form (simple or extended) in which the
 * request was repeated, which may differ from that of the first run.
 *
 * @module
 */
import {
  BackendType,
  createBodylessMessage,
  FrontendType,
  type Message,
} from "../wire/message.ts";
import { readTarget } from "./statements.ts";
import type { Unit } from "./unit_reader.ts";

const PROTOCOL_ANSWERS: ReadonlySet<number> = new Set([
  BackendType.BIND_COMPLETE,
  BackendType.CLOSE_COMPLETE,
  BackendType.NO_DATA,
  BackendType.PARAMETER_DESCRIPTION,
  BackendType.PARSE_COMPLETE,
  BackendType.READY_FOR_QUERY,
  BackendType.ROW_DESCRIPTION,
]);

/** Creates the messages before ReadyForQuery; undefined when the stored answer lacks a part that the unit asks for. */
export function createRepeatedAnswer(
  unit: Unit,
  stored: readonly Message[],
): readonly Message[] | undefined {
  // A text with several statements has several row descriptions, which only a Query may receive.
  if (unit.end === "query") return stored.filter(isQueryAnswer);
  const answer: Message[] = [];
  for (const message of unit.messages) {
    const part = answerTo(message, stored);
    if (!part) return undefined;
    answer.push(...part);
  }
  return answer;
}

function answerTo(
  message: Message,
  stored: readonly Message[],
): readonly Message[] | undefined {
  switch (message.type) {
    case FrontendType.PARSE:
      return [createBodylessMessage(BackendType.PARSE_COMPLETE)];
    case FrontendType.BIND:
      return [createBodylessMessage(BackendType.BIND_COMPLETE)];
    case FrontendType.CLOSE:
      return [createBodylessMessage(BackendType.CLOSE_COMPLETE)];
    case FrontendType.DESCRIBE:
      return describe(message, stored);
    case FrontendType.EXECUTE:
      return stored.filter((item) => !PROTOCOL_ANSWERS.has(item.type));
    default:
      return [];
  }
}

function describe(
  message: Message,
  stored: readonly Message[],
): readonly Message[] | undefined {
  if (readTarget(message)?.kind === "S") return undefined;
  const description = stored.find((item) =>
    item.type === BackendType.ROW_DESCRIPTION
  );
  if (description) return [description];
  const hasRows = stored.some((item) => item.type === BackendType.DATA_ROW);
  return hasRows ? undefined : [createBodylessMessage(BackendType.NO_DATA)];
}

function isQueryAnswer(message: Message): boolean {
  return message.type === BackendType.ROW_DESCRIPTION ||
    !PROTOCOL_ANSWERS.has(message.type);
}
