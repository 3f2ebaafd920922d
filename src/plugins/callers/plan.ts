/**
 * What a unit asks for, read off all its statements together.
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

/** The joint classification of a unit's statements. */
export interface Plan {
  readonly effect: Effect;
  /** The classification when the unit has exactly one text; transaction control and settings of the proxy count only there. */
  readonly single?: Classification;
  readonly mixedTransaction: boolean;
  readonly pinned: boolean;
  readonly copy: boolean;
  readonly tables: readonly string[];
  readonly requestId?: string;
  readonly position?: Position;
  readonly kind?: string;
  /** The texts, for the fingerprint of a request. */
  readonly texts: readonly string[];
}

const EFFECT_ORDER: readonly Effect[] = ["control", "read", "write"];

/** Makes the plan of a unit. */
export function createPlan(
  unit: Unit,
  statements: ReadonlyMap<string, PreparedStatement>,
  classifier: Classifier,
): Plan {
  const texts = readTexts(unit, statements);
  const all = texts.map((text) => classifier.classify(text));
  const single = all.length === 1 ? all[0] : undefined;
  const hidden = !single && all.some((item) => item.transaction !== undefined);
  return {
    effect: executes(unit)
      ? strongest(all.map((item) => item.effect))
      : preparing(all),
    single,
    mixedTransaction: hidden || all.some((item) => item.mixedTransaction),
    pinned: all.some((item) => item.sessionState === "pinned"),
    copy: all.some((item) => item.copy),
    tables: all.flatMap((item) => item.tables),
    requestId: first(all.map((item) => item.requestId)),
    position: latest(all.map((item) => item.position)),
    kind: first(all.map((item) => item.kind)),
    texts,
  };
}

function executes(unit: Unit): boolean {
  return unit.messages.some((message) =>
    message.type === FrontendType.QUERY || message.type === FrontendType.EXECUTE
  );
}

/** Preparing writes nothing; what would write later is prepared at the primary. */
function preparing(all: readonly Classification[]): Effect {
  const reads = all.length > 0 && all.every((item) => item.effect === "read");
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
  const lookUp = (name: string | undefined): string | undefined =>
    name === undefined
      ? undefined
      : parsed.get(name) ?? statements.get(name)?.text;
  if (message.type === FrontendType.QUERY) {
    return readCString(message, HEADER_BYTES)?.text;
  }
  if (message.type === FrontendType.BIND) {
    return lookUp(readBind(message)?.name);
  }
  if (message.type === FrontendType.DESCRIBE) {
    const target = readTarget(message);
    return target?.kind === "S" ? lookUp(target.name) : undefined;
  }
  if (message.type !== FrontendType.PARSE) return undefined;
  const result = readParse(message);
  if (!result) return undefined;
  parsed.set(result.name, result.statement.text);
  return result.statement.text;
}

function strongest(effects: readonly Effect[]): Effect {
  const ranks = effects.map((effect) => EFFECT_ORDER.indexOf(effect));
  return EFFECT_ORDER[Math.max(0, ...ranks)]!;
}

function first<T>(values: readonly (T | undefined)[]): T | undefined {
  return values.find((value) => value !== undefined);
}

function latest(
  positions: readonly (Position | undefined)[],
): Position | undefined {
  let result: Position | undefined;
  for (const position of positions) {
    if (!position) continue;
    result = result ? laterPosition(result, position) : position;
  }
  return result;
}
