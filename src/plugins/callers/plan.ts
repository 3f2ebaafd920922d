/**
 * Combines the classifications of all statements of a unit into its plan.
 *
 * @module
 */
import type {
  Classification,
  Classifier,
  Effect,
} from "../classification/classification.ts";
import { laterPosition, type Position } from "../upstream/position.ts";
import {
  FrontendType,
  HEADER_BYTES,
  type Message,
  readCString,
} from "../wire/message.ts";
import {
  type PreparedStatement,
  readBind,
  readParse,
  readTarget,
} from "./statements.ts";
import type { Unit } from "./unit_reader.ts";

/** Combined classification of a unit's statements. */
export interface Plan {
  readonly effect: Effect;
  /** Classification of the text if the unit executes exactly one; transaction commands and proxy settings are handled only in this case. */
  readonly single?: Classification;
  /** Classification of the text if the unit only prepares or describes exactly one. */
  readonly prepared?: Classification;
  readonly mixedTransaction: boolean;
  readonly pinned: boolean;
  readonly unsupported: boolean;
  readonly tables: readonly string[];
  readonly requestId?: string;
  readonly position?: Position;
  readonly kind?: string;
  /** Distinct statement texts, used for the fingerprint of a request. */
  readonly texts: readonly string[];
}

const EFFECT_ORDER: readonly Effect[] = ["control", "read", "write"];

/** Creates the plan of a unit; `statements` are the caller's prepared statements by name. */
export function createPlan(
  unit: Unit,
  statements: ReadonlyMap<string, PreparedStatement>,
  classifier: Classifier,
): Plan {
  const texts = readTexts(unit, statements);
  const classifications = texts.map((text) => classifier.classify(text));
  const only = classifications.length === 1 ? classifications[0] : undefined;
  const executed = executes(unit);
  const hasHiddenTransaction = !only &&
    classifications.some((item) => item.transaction !== undefined);
  // A setting among other texts can't be replayed alone.
  const pinned =
    classifications.some((item) => item.sessionState === "pinned") ||
    !only && executed && classifications.some(changesSession);
  return {
    effect: executed
      ? effectOfExecuting(classifications, pinned)
      : effectOfPreparing(classifications),
    single: executed ? only : undefined,
    prepared: executed ? undefined : only,
    mixedTransaction: hasHiddenTransaction ||
      classifications.some((item) => item.mixedTransaction),
    pinned,
    unsupported: classifications.some((item) => item.unsupported),
    tables: classifications.flatMap((item) => item.tables),
    requestId: firstDefined(classifications.map((item) => item.requestId)),
    position: latestPosition(classifications.map((item) => item.position)),
    kind: firstDefined(classifications.map((item) => item.kind)),
    texts,
  };
}

function executes(unit: Unit): boolean {
  return unit.messages.some((message) =>
    message.type === FrontendType.QUERY || message.type === FrontendType.EXECUTE
  );
}

function effectOfExecuting(
  classifications: readonly Classification[],
  pinned: boolean,
): Effect {
  if (pinned) return "write";
  return strongestEffect(classifications.map((item) => item.effect));
}

/** Whether the text changes the session in a way that the proxy replays or answers itself when it is the only text. */
function changesSession(item: Classification): boolean {
  return item.sessionState !== undefined || item.proxySetting !== undefined ||
    item.deallocatedStatement !== undefined;
}

/** Effect of a unit that only prepares, which writes nothing; statements that would write are prepared on the primary. */
function effectOfPreparing(classifications: readonly Classification[]): Effect {
  const reads = classifications.length > 0 &&
    classifications.every((item) => item.effect === "read");
  return reads ? "read" : "control";
}

function readTexts(
  unit: Unit,
  statements: ReadonlyMap<string, PreparedStatement>,
): readonly string[] {
  const texts: string[] = [];
  const parsed = new Map<string, string>();
  for (const message of unit.messages) {
    const text = textOf(message, statements, parsed);
    if (text !== undefined && !texts.includes(text)) texts.push(text);
  }
  return texts;
}

function textOf(
  message: Message,
  statements: ReadonlyMap<string, PreparedStatement>,
  parsed: Map<string, string>,
): string | undefined {
  const findText = (name: string | undefined): string | undefined =>
    name === undefined
      ? undefined
      : parsed.get(name) ?? statements.get(name)?.text;
  if (message.type === FrontendType.QUERY) {
    return readCString(message, HEADER_BYTES)?.text;
  }
  if (message.type === FrontendType.BIND) {
    return findText(readBind(message)?.name);
  }
  if (message.type === FrontendType.DESCRIBE) {
    const target = readTarget(message);
    return target?.kind === "S" ? findText(target.name) : undefined;
  }
  if (message.type !== FrontendType.PARSE) return undefined;
  const result = readParse(message);
  if (!result) return undefined;
  parsed.set(result.name, result.statement.text);
  return result.statement.text;
}

function strongestEffect(effects: readonly Effect[]): Effect {
  const ranks = effects.map((effect) => EFFECT_ORDER.indexOf(effect));
  return EFFECT_ORDER[Math.max(0, ...ranks)]!;
}

function firstDefined<T>(values: readonly (T | undefined)[]): T | undefined {
  return values.find((value) => value !== undefined);
}

function latestPosition(
  positions: readonly (Position | undefined)[],
): Position | undefined {
  let result: Position | undefined;
  for (const position of positions) {
    if (!position) continue;
    result = result ? laterPosition(result, position) : position;
  }
  return result;
}
