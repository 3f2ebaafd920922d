/**
 * Rules on entries that can never match, and on limits that never let anything run
 * or never limit anything.
 *
 * @module
 */
import type { AccountFinding } from "../accounts/accounts.ts";
import { formatDuration } from "./duration.ts";
import { type FindingKind, FindingKinds, listNames } from "./finding.ts";
import {
  type CheckedKind,
  inEnvironment,
  type Limit,
  type Rule,
} from "./rule.ts";

/** Kinds of reads that an earlier kind hides, by name or by tables. */
const hiddenKinds: Rule = ({ routes }) =>
  routes.flatMap(({ kinds }) => {
    const earlier = new EarlierKinds();
    return kinds.flatMap((kind) => {
      const hidden = earlier.describe(kind);
      earlier.add(kind);
      if (!hidden) return [];
      const observed = { kind: FindingKinds.HIDDEN_ENTRY, place: kind.place };
      return [{ ...observed, text: hidden }];
    });
  });

/** The kinds before one in a list, found by their names and tables. */
class EarlierKinds {
  readonly #names = new Set<string>();
  readonly #byTable = new Map<
    string,
    { name: string; tables: Set<string> }[]
  >();

  add({ name, tables }: CheckedKind): void {
    const kind = { name, tables: new Set(tables) };
    this.#names.add(name);
    for (const table of kind.tables) {
      const kinds = this.#byTable.get(table);
      if (kinds) kinds.push(kind);
      else this.#byTable.set(table, [kind]);
    }
  }

  /** Says how earlier kinds hide one; undefined if they don't. */
  describe({ name, tables }: CheckedKind): string | undefined {
    if (this.#names.has(name)) {
      return `the kind ${name} is listed before; a read that names it gets the first one`;
    }
    const [first, ...others] = tables.map((table) =>
      this.#byTable.get(table) ?? []
    );
    if (!first) return undefined;
    // Kinds that have all tables are among those of the table that the fewest have.
    const fewest = others.reduce(
      (least, kinds) => kinds.length < least.length ? kinds : least,
      first,
    );
    const hiding = fewest.find((kind) =>
      tables.every((table) => kind.tables.has(table))
    );
    return hiding &&
      `no read is of the kind ${name} by its tables: the kind ${hiding.name} before it has them all`;
  }
}

/** Groups that no caller gets to. */
const unreachedGroups: Rule = (subject) =>
  subject.groups.filter(({ isReached }) => !isReached)
    .map(({ name, place }) => ({
      kind: FindingKinds.UNREACHED_GROUP,
      place,
      text: `nobody can use ${name}${
        inEnvironment(subject)
      }: no account or route leads to it`,
    }));

/** Routes to groups that are not configured. */
const missingGroups: Rule = ({ routes, groups }) => {
  const names = new Set(groups.map(({ name }) => name));
  return routes.filter(({ group }) => !names.has(group))
    .map(({ database, group, place }) => ({
      kind: FindingKinds.MISSING_GROUP,
      place,
      text:
        `${database} leads to the group ${group}, which is not configured; the limit of its connections is not known`,
    }));
};

/** Databases of accounts that an environment lacks. */
const absentDatabases: Rule = ({ accounts }) =>
  accounts.flatMap(({ name, absent }) =>
    absent.map((database) => ({
      kind: FindingKinds.ABSENT_DATABASE,
      place: database.place,
      text: `${name} can't open ${database.name} in ${
        listNames(database.environments, database.count)
      }, where there is no such database`,
    }))
  );

const ACCOUNT_KINDS: Readonly<
  Record<AccountFinding["problem"], [FindingKind, string]>
> = {
  "invalid entry": [
    FindingKinds.IGNORED_ENTRY,
    "has no valid name; its keys admit nobody",
  ],
  "duplicate name": [
    FindingKinds.IGNORED_ENTRY,
    "is listed before; this entry's keys admit nobody",
  ],
  "invalid limit": [
    FindingKinds.UNUSABLE_LIMIT,
    "has a limit that is no amount and allows nothing",
  ],
  "no keys": [
    FindingKinds.ACCOUNT_WITHOUT_KEY,
    "has no keys, so nobody can use it",
  ],
  "shared key": [
    FindingKinds.SHARED_KEY,
    "has a key that another account has too; the key admits nobody",
  ],
};

/** The kind of the finding for an entry of the list of accounts. */
export function kindOfAccountProblem(
  problem: AccountFinding["problem"],
): FindingKind {
  return ACCOUNT_KINDS[problem][0];
}

/** Entries of the list of accounts that are not used as they stand. */
const accountEntries: Rule = ({ accountFindings }) =>
  accountFindings.map(({ account, problem }) => {
    const [kind, text] = ACCOUNT_KINDS[problem];
    const place = ["accounts", account];
    return { kind, place, text: `the account ${account} ${text}` };
  });

/** Entries that the parser leaves out. */
const unusedEntries: Rule = ({ unused }) =>
  unused.map(({ entry, name, reason }) => {
    const isHidden = reason === "listed again";
    return {
      kind: isHidden ? FindingKinds.HIDDEN_ENTRY : FindingKinds.IGNORED_ENTRY,
      place: [`${entry}s`, name],
      text: isHidden
        ? `the ${entry} ${name} is listed again; only the last entry is used`
        : `the ${entry} ${name} is of a kind that this version doesn't know, and is not used`,
    };
  });

/** Limits under which nothing runs. */
const unusableLimits: Rule = (subject) => {
  const { accounts, accountFindings, groups, routes, timeouts } = subject;
  const reported = new Set(
    accountFindings.filter(({ problem }) => problem === "invalid limit")
      .map(({ account }) => account),
  );
  const kind = FindingKinds.UNUSABLE_LIMIT;
  const quotas = accounts.flatMap(({ name, limit, limitPlace }) => {
    const isUsable = !limit || (limit.rate > 0 && limit.burst >= 1);
    if (isUsable || reported.has(name)) return [];
    const text =
      `${name} can run nothing: no proxy gets a whole operation out of a rate of ${limit.rate} and a burst of ${limit.burst}`;
    return [{ kind, place: limitPlace, text }];
  });
  const limits = [
    ...groups.map(({ connections }) => connections),
    ...routes.map(({ deadline }) => deadline),
    ...timeouts,
  ].filter(({ value }) => value <= 0);
  const acknowledgements = routes.flatMap(({ database, acknowledgeDeadline }) =>
    acknowledgeDeadline && acknowledgeDeadline.value <= 0
      ? [{ database, limit: acknowledgeDeadline }]
      : []
  );
  return [
    ...quotas,
    ...limits.map(({ name, place, value }) => ({
      kind,
      place,
      text: `nothing can be served with a ${name} of ${value}`,
    })),
    ...acknowledgements.map(({ database, limit }) => ({
      kind,
      place: limit.place,
      text:
        `every write of ${database} ends with an unknown outcome: no majority can hold it within a ${limit.name} of 0`,
    })),
  ];
};

/** Ages that no read uses. */
const unusedAges: Rule = ({ routes }) =>
  routes.flatMap(({ database, unusedAges }) =>
    unusedAges.map(({ limit, reason }) => ({
      kind: FindingKinds.LIMIT_WITHOUT_EFFECT,
      place: limit.place,
      text: `${describeAge(limit)} of ${database} has no effect: ${reason}`,
    }))
  );

function describeAge({ name, value }: Limit): string {
  return `the ${name} of ${formatDuration(value)}`;
}

/** Zones without a host. */
const unusedZones: Rule = (subject) =>
  subject.emptyZones.map(({ name, place }) => ({
    kind: FindingKinds.UNUSED_ZONE,
    place,
    text: `the zone ${name}${
      inEnvironment(subject)
    } has neither a proxy nor an instance`,
  }));

/** All rules of this family. */
export const unmatchedRules: readonly Rule[] = [
  hiddenKinds,
  unreachedGroups,
  missingGroups,
  absentDatabases,
  accountEntries,
  unusedEntries,
  unusableLimits,
  unusedAges,
  unusedZones,
];
