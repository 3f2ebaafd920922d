/**
 * Describes the differences of two configurations by their effect. Each difference
 * belongs to the rule with the longest path that leads to it.
 *
 * @module
 */
import {
  type Difference,
  formatSteps,
  type Step,
  valueAtSteps,
} from "../document/structure_diff.ts";
import { type FindingKind, FindingKinds } from "./finding.ts";

/** What a difference does to callers. */
export interface Effect {
  readonly kind: FindingKind;
  /** One sentence. */
  readonly text: string;
}

/** A part of a configuration that differs. */
export interface ChangedPart<Value> {
  /** Names that the `*` of the rule's path stand for. */
  readonly names: readonly string[];
  /** Undefined if the part was added. */
  readonly before: Value | undefined;
  /** Undefined if the part was removed. */
  readonly after: Value | undefined;
  /** The whole configurations. */
  readonly root: { readonly before: unknown; readonly after: unknown };
  readonly steps: readonly Step[];
}

/** Describes the differences at and below one path. */
export interface EffectRule {
  /** Keys that lead to the part; `*` stands for any name. */
  readonly path: readonly string[];
  /** Returns no effect to leave the differences to be listed as they are. */
  describe(part: ChangedPart<unknown>): readonly Effect[];
}

/** Creates a rule for parts of one type, which is that of the values at the path. */
export function effectRule<Value>(
  path: string,
  describe: (part: ChangedPart<Value>) => readonly Effect[],
): EffectRule {
  return {
    path: path.split("."),
    describe: (part) => describe(part as ChangedPart<Value>),
  };
}

/** Differences that have the same effects. */
export interface DescribedPart {
  readonly steps: readonly Step[];
  readonly differences: readonly Difference[];
  readonly effects: readonly Effect[];
}

/** Two configurations as plain values. */
export interface Comparison {
  readonly before: unknown;
  readonly after: unknown;
}

/** Finds the effects of all differences; one that no rule describes is listed as it is. */
export class EffectRules {
  readonly #rules: readonly EffectRule[];

  constructor(rules: readonly EffectRule[]) {
    this.#rules = [...rules].sort((a, b) => b.path.length - a.path.length);
  }

  describe(
    differences: readonly Difference[],
    root: Comparison,
  ): readonly DescribedPart[] {
    const parts = new Map<
      string,
      { rule?: EffectRule; steps: readonly Step[]; differences: Difference[] }
    >();
    for (const difference of differences) {
      const rule = this.#rules.find(({ path }) =>
        leadsTo(path, difference.steps)
      );
      const steps = difference.steps.slice(0, rule?.path.length);
      const key = formatSteps(steps);
      const part = parts.get(key);
      if (part) part.differences.push(difference);
      else parts.set(key, { rule, steps, differences: [difference] });
    }
    return [...parts.values()].flatMap(({ rule, ...part }) => {
      const effects = rule?.describe(createPart(rule, part.steps, root)) ?? [];
      if (effects.length > 0) return [{ ...part, effects }];
      return part.differences.map((difference) => ({
        steps: difference.steps,
        differences: [difference],
        effects: [describeAsIs(difference)],
      }));
    });
  }
}

function leadsTo(path: readonly string[], steps: readonly Step[]): boolean {
  return path.length <= steps.length &&
    path.every((key, index) => key === "*" || key === steps[index]!.name);
}

function createPart(
  { path }: EffectRule,
  steps: readonly Step[],
  root: Comparison,
): ChangedPart<unknown> {
  return {
    names: steps.filter((_, index) => path[index] === "*")
      .map(({ name }) => name),
    before: valueAtSteps(root.before, steps),
    after: valueAtSteps(root.after, steps),
    root,
    steps,
  };
}

/** Longest value in a sentence, in characters. */
const MAX_VALUE_CHARACTERS = 60;

function describeAsIs({ before, after }: Difference): Effect {
  const text = before === undefined
    ? `${formatValue(after)} is added`
    : after === undefined
    ? `${formatValue(before)} is removed`
    : `${formatValue(before)} becomes ${formatValue(after)}`;
  return { kind: FindingKinds.OTHER_CHANGE, text };
}

function formatValue(value: unknown): string {
  const text = JSON.stringify(value) ?? String(value);
  if (text.length <= MAX_VALUE_CHARACTERS) return text;
  return text.slice(0, MAX_VALUE_CHARACTERS) + "…";
}
