/**
 * Checks a route table with the rules of documents.
 *
 * @module
 */
import type { RouteTable } from "../deployment/routes.ts";
import { diffValues, formatSteps } from "../document/structure_diff.ts";
import { accountEffects } from "./account_effects.ts";
import { EffectRules } from "./effect_rule.ts";
import {
  createFinding,
  createReport,
  type Finding,
  type Place,
  type Report,
} from "./finding.ts";
import { limitRules } from "./limit_rules.ts";
import { routeEffects, toComparedTable } from "./route_effects.ts";
import { tableSubject } from "./table_subject.ts";
import { unmatchedRules } from "./unmatched_rules.ts";

/** What a check takes into account. */
export interface RouteCheckOptions {
  /** The table that was in force before. */
  readonly current?: RouteTable;
  /** Number of proxies; rules that need it find nothing without it. */
  readonly hosts?: number;
}

const RULES = [...unmatchedRules, ...limitRules];
const EFFECTS = new EffectRules([...accountEffects, ...routeEffects]);

/** Checks a route table; its findings have no lines. */
export function checkRoutes(
  table: RouteTable,
  { current, hosts }: RouteCheckOptions = {},
): Report {
  const subject = tableSubject(table, hosts);
  const findings = RULES.flatMap((rule) => rule(subject))
    .map(({ kind, place, text }) =>
      createFinding(kind, formatPlace(place), 0, text)
    );
  return createReport([...findings, ...compare(current, table)]);
}

function compare(
  current: RouteTable | undefined,
  table: RouteTable,
): readonly Finding[] {
  if (!current) return [];
  const root = {
    before: toComparedTable(current),
    after: toComparedTable(table),
  };
  return EFFECTS.describe(diffValues(root.before, root.after), root)
    .flatMap(({ steps, effects }) =>
      effects.map(({ kind, text }) =>
        createFinding(kind, formatSteps(steps), 0, text)
      )
    );
}

/** Formats a place as the comparison does: the second key is the name of an entry. */
function formatPlace(place: Place): string {
  return formatSteps(
    place.map((key, index) => ({ name: String(key), isItem: index === 1 })),
  );
}
