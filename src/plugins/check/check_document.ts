/**
 * Checks a document: what rejects it, what in it has no effect, which limits
 * contradict each other, and what changes if it replaces the one in force.
 *
 * @module
 */
import type { Document } from "../document/document.ts";
import {
  type LocatedDocument,
  locateDocument,
} from "../document/parse_document.ts";
import { formatPath } from "../document/problem.ts";
import {
  diffValues,
  formatSteps,
  placeOfSteps,
  type Step,
} from "../document/structure_diff.ts";
import { accountEffects } from "./account_effects.ts";
import { documentSubjects } from "./document_subjects.ts";
import { type DescribedPart, EffectRules } from "./effect_rule.ts";
import {
  createFinding,
  createReport,
  type Finding,
  type Report,
} from "./finding.ts";
import { groupEffects } from "./group_effects.ts";
import { limitRules } from "./limit_rules.ts";
import { problemFinding } from "./problem_findings.ts";
import { unmatchedRules } from "./unmatched_rules.ts";

/** What a check takes into account. */
export interface CheckOptions {
  /** The document in force, to compare with. */
  readonly current?: Document;
  /** Environment for which the document is meant; default is all. */
  readonly environment?: string;
}

const RULES = [...unmatchedRules, ...limitRules];
const EFFECTS = new EffectRules([...accountEffects, ...groupEffects]);

/** Checks a text; one that is no document has errors, and nothing else of it is checked. */
export function checkDocument(
  text: string,
  options: CheckOptions = {},
): Report {
  return locateDocument(text).match(
    (located) =>
      createReport([
        ...applyRules(located, options),
        ...compare(located, options),
      ]),
    ({ problems, omitted }) =>
      createReport(problems.map(problemFinding), omitted),
  );
}

/** Describes what changes for callers if a document replaces another. */
export function describeChanges(
  before: Document | undefined,
  after: Document,
): readonly DescribedPart[] {
  const differences = diffValues(before, after);
  if (!before) return differences.map(describeNothing);
  return EFFECTS.describe(differences, { before, after });
}

function describeNothing(
  difference: DescribedPart["differences"][number],
): DescribedPart {
  return { steps: difference.steps, differences: [difference], effects: [] };
}

function applyRules(
  { document, lineOf }: LocatedDocument,
  { environment }: CheckOptions,
): readonly Finding[] {
  return documentSubjects(document, environment)
    .flatMap((subject) => RULES.flatMap((rule) => rule(subject)))
    .map(({ kind, place, text }) =>
      createFinding(kind, formatPath(place), lineOf(place), text)
    );
}

function compare(
  { document, lineOf }: LocatedDocument,
  { current, environment }: CheckOptions,
): readonly Finding[] {
  if (!current) return [];
  return describeChanges(current, document)
    .filter(({ steps }) => concerns(steps, environment))
    .flatMap(({ steps, effects }) => {
      const path = formatSteps(steps);
      const line = lineOf(placeOfSteps(document, steps));
      return effects.map(({ kind, text }) =>
        createFinding(kind, path, line, text)
      );
    });
}

/** Whether a difference concerns an environment: not if it is one of another. */
function concerns(
  [section, name]: readonly Step[],
  environment: string | undefined,
): boolean {
  if (environment === undefined || section?.name !== "environments") {
    return true;
  }
  return name === undefined || name.name === environment;
}
