/**
 * Effects of differences in a route table, which is compared as a plain value.
 *
 * @module
 */
import type { RateLimit } from "../accounts/accounts.ts";
import type {
  Consistency,
  GroupSettings,
  Route,
  RouteTable,
} from "../deployment/routes.ts";
import { type EffectRule, effectRule } from "./effect_rule.ts";
import { FindingKinds } from "./finding.ts";
import { type LimitEffect, limitRule } from "./limit_effects.ts";

/** The class of priority follows from the rank. */
interface ComparedRoute extends Omit<Route, "database" | "priority"> {
  readonly name: string;
}

/** A route table as a plain value. */
export interface ComparedTable {
  readonly accounts?: readonly {
    readonly name: string;
    readonly quota?: RateLimit;
    /** Digests of the keys that admit callers. */
    readonly keys: readonly string[];
  }[];
  readonly routes: readonly ComparedRoute[];
  readonly groups: readonly GroupSettings[];
  readonly transactionIdleTimeout: number;
  readonly startupTimeout: number;
}

/** Creates the plain value; what the parser left out is no part of it. */
export function toComparedTable(table: RouteTable): ComparedTable {
  const { accounts, transactionIdleTimeout, startupTimeout } = table;
  const digests = accounts?.digests();
  return {
    accounts: accounts?.all().map(({ name, limit }) => ({
      name,
      quota: limit,
      keys: digests?.get(name) ?? [],
    })),
    routes: [...table.routes.values()]
      .map(({ database, priority: _, ...route }) => ({
        name: database,
        ...route,
      })),
    groups: [...table.groups.values()],
    transactionIdleTimeout,
    startupTimeout,
  };
}

const route = effectRule<ComparedRoute>(
  "routes.*",
  ({ names: [name], before, after }) => {
    if (before && after) return [];
    if (before) {
      const text = `callers of ${name} are refused`;
      return [{ kind: FindingKinds.CALLERS_CUT_OFF, text }];
    }
    const text = `${name} can be opened; it leads to the group ${after?.group}`;
    return [{ kind: FindingKinds.ACCESS_ADDED, text }];
  },
);

const routeGroup = effectRule<string>(
  "routes.*.group",
  ({ names: [name], before, after }) => [{
    kind: FindingKinds.DATA_MOVED,
    text:
      `callers of ${name} find the data of the group ${after} instead of ${before}`,
  }],
);

/** Guarantees in the order of their strength. */
const CONSISTENCIES: readonly Consistency[] = ["bounded", "session", "primary"];

const CONSISTENCY_TEXTS: Readonly<Record<Consistency, string>> = {
  bounded: "may miss writes that are younger than its maxAge, also their own",
  session: "show the caller's own writes, and others by maxAge",
  primary: "show every acknowledged write",
};

const consistency = effectRule<Consistency>(
  "routes.*.consistency",
  ({ names: [name], before, after }) => {
    if (!before || !after) return [];
    const isWeaker = CONSISTENCIES.indexOf(after) <
      CONSISTENCIES.indexOf(before);
    return [{
      kind: isWeaker
        ? FindingKinds.GUARANTEE_WEAKENED
        : FindingKinds.OTHER_CHANGE,
      text: `reads of ${name} ${CONSISTENCY_TEXTS[after]} from now on`,
    }];
  },
);

const access = effectRule<boolean>(
  "routes.*.isPublic",
  ({ names: [name], after }) => [
    after
      ? {
        kind: FindingKinds.GUARANTEE_WEAKENED,
        text: `callers of ${name} need no key any more, and have no limit`,
      }
      : {
        kind: FindingKinds.CALLERS_CUT_OFF,
        text: `callers of ${name} without a key of an account are refused`,
      },
  ],
);

const rank = effectRule<number>(
  "routes.*.rank",
  ({ names: [name], before = 0, after = 0 }) => [{
    kind: FindingKinds.OTHER_CHANGE,
    text:
      `statements of ${name} are served with the rank ${after} instead of ${before}; 0 is served first`,
  }],
);

const group = effectRule<GroupSettings>(
  "groups.*",
  ({ names: [name], before, after }) => {
    if (before && after) return [];
    const text = before
      ? `the connections to instances of ${name} have no stated limit any more`
      : `${name} has up to ${after?.connectionsPerInstance} connections to each instance`;
    return [{ kind: FindingKinds.OTHER_CHANGE, text }];
  },
);

const ofRoute = (name: string) => ([route]: readonly string[]) =>
  `${name} of ${route}`;

const LIMITS: readonly LimitEffect[] = [
  {
    path: "routes.*.maxAge",
    describe: ofRoute("maxAge"),
    unit: "ms",
    lower: "its reads need fresher data",
    higher: "its reads may show older data of others",
  },
  {
    path: "routes.*.statementTimeout",
    describe: ofRoute("statementTimeout"),
    unit: "ms",
    lower: "its statements are given up earlier",
    higher: "its statements may take longer",
  },
  {
    path: "routes.*.targetLatency",
    describe: ofRoute("targetLatency"),
    unit: "ms",
    lower: "its statements are refused earlier under load",
    higher: "its statements may wait longer under load",
  },
  {
    path: "groups.*.connectionsPerInstance",
    describe: ([group]) => `connectionsPerInstance of ${group}`,
    unit: "count",
    lower: "fewer statements run at once, and more wait",
    higher: "more statements run at once",
  },
  {
    path: "transactionIdleTimeout",
    describe: () => "transactionIdleTimeout",
    unit: "ms",
    lower: "transactions that pause are ended earlier",
    higher: "transactions may pause longer",
  },
  {
    path: "startupTimeout",
    describe: () => "startupTimeout",
    unit: "ms",
    lower: "callers that send nothing are disconnected earlier",
    higher: "callers may take longer to send their first message",
  },
];

/** All rules of this family. */
export const routeEffects: readonly EffectRule[] = [
  route,
  routeGroup,
  consistency,
  access,
  rank,
  group,
  ...LIMITS.map(limitRule),
];
