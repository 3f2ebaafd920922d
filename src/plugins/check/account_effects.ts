/**
 * Effects of differences in the client accounts.
 *
 * @module
 */
import type { RateLimit } from "../accounts/accounts.ts";
import { type Effect, type EffectRule, effectRule } from "./effect_rule.ts";
import { FindingKinds, listNames } from "./finding.ts";
import { describeQuota, formatLimit } from "./limit_effects.ts";

/** The fields of an account that say who may use it; a document has passwords and databases, a route table keys. */
interface ComparedAccount {
  readonly databases?: readonly string[];
  readonly keys?: readonly string[];
  readonly quota?: RateLimit;
}

const allAccounts = effectRule<readonly unknown[]>(
  "accounts",
  ({ before, after }) => {
    if (!before) {
      return [{
        kind: FindingKinds.CALLERS_CUT_OFF,
        text:
          "callers need a key of an account from now on; those without one are refused",
      }];
    }
    if (after) return [];
    return [{
      kind: FindingKinds.GUARANTEE_WEAKENED,
      text: "callers need no key any more, and no account has a limit",
    }];
  },
);

const account = effectRule<ComparedAccount>(
  "accounts.*",
  ({ names: [name], before, after }) => {
    if (before && after) return [];
    if (before) {
      return [{
        kind: FindingKinds.CALLERS_CUT_OFF,
        text: `callers of the account ${name} are refused${
          before.keys ? "" : "; connections that are open stay open"
        }`,
      }];
    }
    const databases = after?.databases
      ? ` may open ${listNames(after.databases)} and`
      : "";
    return [{
      kind: FindingKinds.ACCESS_ADDED,
      text: `the new account ${name}${databases} may run ${
        formatLimit(after?.quota)
      }`,
    }];
  },
);

const password = effectRule<string>(
  "accounts.*.password",
  ({ names: [name] }) => [{
    kind: FindingKinds.SECRET_ENDED,
    text:
      `the present password of ${name} ends: new connections need the new one, those that are open stay open`,
  }],
);

/** The keys are digests, which are not shown. */
const keys = effectRule<readonly string[]>(
  "accounts.*.keys",
  ({ names: [name], before = [], after = [] }) => {
    const ended = countMissing(before, after);
    const added = countMissing(after, before);
    const effects: Effect[] = [];
    if (ended > 0) {
      effects.push({
        kind: FindingKinds.SECRET_ENDED,
        text: `keys of ${name} that end: ${ended} of ${before.length}`,
      });
    }
    if (added > 0) {
      effects.push({
        kind: FindingKinds.ACCESS_ADDED,
        text: `keys of ${name} that are added: ${added}`,
      });
    }
    return effects;
  },
);

const databases = effectRule<readonly string[]>(
  "accounts.*.databases",
  ({ names: [name], before = [], after = [] }) => {
    const [earlier, later] = [new Set(before), new Set(after)];
    const closed = before.filter((database) => !later.has(database));
    const opened = after.filter((database) => !earlier.has(database));
    const effects: Effect[] = [];
    if (closed.length > 0) {
      effects.push({
        kind: FindingKinds.CALLERS_CUT_OFF,
        text: `callers of ${name} can't open ${
          listNames(closed)
        } any more; connections that are open stay open`,
      });
    }
    if (opened.length > 0) {
      effects.push({
        kind: FindingKinds.ACCESS_ADDED,
        text: `callers of ${name} may open ${listNames(opened)}`,
      });
    }
    return effects;
  },
);

function countMissing(
  names: readonly string[],
  others: readonly string[],
): number {
  const known = new Set(others);
  return names.filter((name) => !known.has(name)).length;
}

/** All rules of this family. */
export const accountEffects: readonly EffectRule[] = [
  allAccounts,
  account,
  password,
  keys,
  databases,
  effectRule<RateLimit>("accounts.*.quota", describeQuota),
];
