/**
 * Effects of limits that become tighter or looser.
 *
 * @module
 */
import type { RateLimit } from "../accounts/accounts.ts";
import { formatDuration } from "./duration.ts";
import {
  type ChangedPart,
  type Effect,
  type EffectRule,
  effectRule,
} from "./effect_rule.ts";
import { FindingKinds } from "./finding.ts";

/** A limit for which a lower value is tighter. */
export interface LimitEffect {
  readonly path: string;
  /** Names the limit in a sentence. */
  readonly describe: (names: readonly string[]) => string;
  readonly unit: "ms" | "count";
  /** What a lower value means. */
  readonly lower: string;
  /** What a higher value means. */
  readonly higher: string;
}

/** Creates the rule of a limit; both values are there, since limits have defaults. */
export function limitRule(limit: LimitEffect): EffectRule {
  return effectRule<number>(limit.path, ({ names, before, after }) => {
    if (before === undefined || after === undefined) return [];
    const format = limit.unit === "ms" ? formatDuration : String;
    const isLower = after < before;
    const verb = isLower ? "falls" : "rises";
    const meaning = isLower ? limit.lower : limit.higher;
    return [{
      kind: isLower
        ? FindingKinds.LIMIT_TIGHTENED
        : FindingKinds.LIMIT_LOOSENED,
      text: `${limit.describe(names)} ${verb} from ${format(before)} to ${
        format(after)
      }: ${meaning}`,
    }];
  });
}

/** Describes the change of an account's quota; without a quota an account has no limit. */
export function describeQuota(
  { names, before, after }: ChangedPart<RateLimit>,
): readonly Effect[] {
  const [account] = names;
  const isTighter = !before ||
    (after !== undefined &&
      (after.rate < before.rate || after.burst < before.burst));
  return [{
    kind: isTighter
      ? FindingKinds.LIMIT_TIGHTENED
      : FindingKinds.LIMIT_LOOSENED,
    text: `${account} may run ${formatLimit(after)}; until now ${
      formatLimit(before)
    }`,
  }];
}

/** Names a quota in a sentence. */
export function formatLimit(limit: RateLimit | undefined): string {
  if (!limit) return "any number of operations";
  return `${limit.rate} operations a second and ${limit.burst} at once`;
}
