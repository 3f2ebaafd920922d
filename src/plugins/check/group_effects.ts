/**
 * Effects of differences in the environments and groups of a document.
 *
 * @module
 */
import type { Group, Instance, ReadKind } from "../document/document.ts";
import { valueAtSteps } from "../document/structure_diff.ts";
import { formatDuration } from "./duration.ts";
import { type Effect, type EffectRule, effectRule } from "./effect_rule.ts";
import { FindingKinds, listNames } from "./finding.ts";
import { type LimitEffect, limitRule } from "./limit_effects.ts";

const GROUP = "environments.*.groups.*";

const environment = effectRule<unknown>(
  "environments.*",
  ({ names: [name], before, after }) => {
    if (before !== undefined && after !== undefined) return [];
    if (after !== undefined) {
      const text = `the environment ${name} is described`;
      return [{ kind: FindingKinds.ACCESS_ADDED, text }];
    }
    return [{
      kind: FindingKinds.CALLERS_CUT_OFF,
      text:
        `the environment ${name} is no longer described; its proxies reject the document`,
    }];
  },
);

const group = effectRule<Group>(
  GROUP,
  ({ names: [environment, name], before, after }) => {
    if (before && after) return [];
    if (after) {
      const text = `${name} can be opened in ${environment}`;
      return [{ kind: FindingKinds.ACCESS_ADDED, text }];
    }
    return [{
      kind: FindingKinds.CALLERS_CUT_OFF,
      text:
        `callers of ${name} in ${environment} are refused, and its connections are closed`,
    }];
  },
);

const instances = effectRule<readonly Instance[]>(
  `${GROUP}.instances`,
  ({ names: [environment, name], before = [], after = [] }) => {
    const earlier = new Set(before.map(addressOf));
    const later = new Set(after.map(addressOf));
    if (after.every((instance) => !earlier.has(addressOf(instance)))) {
      return [{
        kind: FindingKinds.DATA_MOVED,
        text:
          `${name} in ${environment} has none of its present instances any more; callers find the data of the new ones`,
      }];
    }
    const what = describeNames(
      before.filter((item) => !later.has(addressOf(item))),
      after.filter((item) => !earlier.has(addressOf(item))),
    ) || "instances have other names or zones";
    return [{
      kind: FindingKinds.INSTANCES_CHANGED,
      text: `instances of ${name} in ${environment}: ${what}; a majority is ${
        Math.floor(after.length / 2) + 1
      } of ${after.length}`,
    }];
  },
);

const preferredPrimary = effectRule<string>(
  `${GROUP}.preferredPrimary`,
  ({ names: [environment, name], after }) => [{
    kind: FindingKinds.PRIMARY_MOVES,
    text: after === undefined
      ? `${name} in ${environment} has no preferred primary any more; the present one stays`
      : `${after} is to be the primary of ${name} in ${environment}; writes are held while it takes over`,
  }],
);

const acknowledge = effectRule<"majority" | "primary">(
  `${GROUP}.writes.acknowledge`,
  ({ names: [environment, name], after }) => [
    after === "majority"
      ? {
        kind: FindingKinds.OTHER_CHANGE,
        text:
          `writes of ${name} in ${environment} wait for a majority; none that is acknowledged is lost`,
      }
      : {
        kind: FindingKinds.GUARANTEE_WEAKENED,
        text:
          `writes of ${name} in ${environment} that are acknowledged may be lost when the primary fails`,
      },
  ],
);

const priority = effectRule<"high" | "normal">(
  `${GROUP}.writes.priority`,
  ({ names: [environment, name], after }) => [{
    kind: FindingKinds.OTHER_CHANGE,
    text: `writes of ${name} in ${environment} wait ${
      after === "high" ? "before" : "in turn with"
    } reads`,
  }],
);

/** A kind that comes or goes changes the age of its reads from or to that of the database. */
const kind = effectRule<ReadKind>(
  `${GROUP}.reads.kinds.*`,
  ({ names: [, , name], before, after, root, steps }) => {
    if (before && after) return [];
    const readsSteps = steps.slice(0, -2);
    const ageOf = (value: unknown, kind: ReadKind | undefined) =>
      kind?.maxAge ??
        valueAtSteps(value, [...readsSteps, { name: "maxAge", isItem: false }]);
    const earlier = Number(ageOf(root.before, before));
    const later = Number(ageOf(root.after, after));
    const what = `reads of the kind ${name}, which is ${
      after ? "new" : "gone"
    }, accept data of ${formatDuration(later)}`;
    if (earlier === later) {
      return [{ kind: FindingKinds.OTHER_CHANGE, text: `${what} as before` }];
    }
    return [{
      kind: later < earlier
        ? FindingKinds.LIMIT_TIGHTENED
        : FindingKinds.LIMIT_LOOSENED,
      text: `${what}; until now of ${formatDuration(earlier)}`,
    }];
  },
);

const kindTables = effectRule<readonly string[]>(
  `${GROUP}.reads.kinds.*.tables`,
  ({ names: [, , name], after = [] }) => [{
    kind: FindingKinds.OTHER_CHANGE,
    text: after.length > 0
      ? `reads are of the kind ${name} if they use only ${listNames(after)}`
      : `reads are of the kind ${name} only if they name it`,
  }],
);

const proxies = effectRule<readonly NamedItem[]>(
  "environments.*.proxies",
  ({ names: [environment], before, after }) =>
    describeHosts(`proxies of ${environment}`, before, after),
);

const zones = effectRule<readonly string[]>(
  "environments.*.zones",
  ({ names: [environment], before, after }) =>
    describeHosts(
      `zones of ${environment}`,
      before?.map((name) => ({ name })),
      after?.map((name) => ({ name })),
    ),
);

interface NamedItem {
  readonly name: string;
}

function describeHosts(
  what: string,
  before: readonly NamedItem[] = [],
  after: readonly NamedItem[] = [],
): readonly Effect[] {
  const [earlier, later] = [before, after].map((items) =>
    new Set(items.map(({ name }) => name))
  );
  const changes = describeNames(
    before.filter(({ name }) => !later!.has(name)),
    after.filter(({ name }) => !earlier!.has(name)),
  );
  if (changes === "") return [];
  const kind = FindingKinds.PROXIES_CHANGED;
  return [{ kind, text: `${what}: ${changes}` }];
}

function describeNames(
  gone: readonly NamedItem[],
  added: readonly NamedItem[],
): string {
  const list = (word: string, items: readonly NamedItem[]) =>
    items.length === 0
      ? []
      : [`${word} ${listNames(items.map(({ name }) => name))}`];
  return [...list("gone", gone), ...list("new", added)].join("; ");
}

function addressOf({ host, port }: Instance): string {
  return `${host}:${port}`;
}

const ofGroup = (name: string) => ([environment, group]: readonly string[]) =>
  `${name} of ${group} in ${environment}`;

const LIMITS: readonly LimitEffect[] = [
  {
    path: `${GROUP}.connectionsPerInstance`,
    describe: ofGroup("connectionsPerInstance"),
    unit: "count",
    lower: "fewer statements run at once, and more wait",
    higher: "more statements run at once",
  },
  {
    path: `${GROUP}.queue.length`,
    describe: ofGroup("queue.length"),
    unit: "count",
    lower: "fewer statements may wait, and more are refused under load",
    higher: "more statements may wait",
  },
  {
    path: `${GROUP}.queue.deadline`,
    describe: ofGroup("queue.deadline"),
    unit: "ms",
    lower: "statements that wait are refused earlier, also in a failover",
    higher: "statements may wait longer",
  },
  {
    path: `${GROUP}.reads.maxAge`,
    describe: ofGroup("reads.maxAge"),
    unit: "ms",
    lower: "reads need fresher data, and more of them go to the primary",
    higher: "reads may show older data of others",
  },
  {
    path: `${GROUP}.reads.catchUpWait`,
    describe: ofGroup("reads.catchUpWait"),
    unit: "ms",
    lower: "reads go to the primary earlier",
    higher: "reads wait longer for a replica",
  },
  {
    path: `${GROUP}.reads.kinds.*.maxAge`,
    describe: ([environment, group, kind]) =>
      `maxAge of the kind ${kind} of ${group} in ${environment}`,
    unit: "ms",
    lower: "its reads need fresher data, and more of them go to the primary",
    higher: "its reads may show older data of others",
  },
  {
    path: `${GROUP}.writes.acknowledgeDeadline`,
    describe: ofGroup("writes.acknowledgeDeadline"),
    unit: "ms",
    lower: "writes end earlier with an unknown outcome",
    higher: "writes wait longer for a majority",
  },
  {
    path: `${GROUP}.ledger.keep`,
    describe: ofGroup("ledger.keep"),
    unit: "ms",
    lower: "a request that is repeated later than that runs again",
    higher: "requests can be repeated safely for longer",
  },
];

/** All rules of this family. */
export const groupEffects: readonly EffectRule[] = [
  environment,
  group,
  instances,
  preferredPrimary,
  acknowledge,
  priority,
  kind,
  kindTables,
  proxies,
  zones,
  ...LIMITS.map(limitRule),
];
