/**
 * Makes the subjects of the rules from a document, one for each environment.
 *
 * @module
 */
import type {
  Account,
  Document,
  Environment,
  Group,
} from "../document/document.ts";
import { IDLE_INTERVAL_MS } from "../health/probe_rounds.ts";
import { MAX_LISTED_NAMES, type Place } from "./finding.ts";
import type {
  AbsentDatabase,
  CheckedAccount,
  CheckedGroup,
  CheckedRoute,
  Limit,
  Subject,
} from "./rule.ts";

/** Connections that a proxy needs to serve a group: `splitBudget` gives connections to at most half as many proxies as there are. */
const CONNECTIONS_PER_PROXY = 2;

/** Creates the subjects of the accounts and of all environments, or of one. */
export function documentSubjects(
  document: Document,
  only?: string,
): readonly Subject[] {
  const environments = Object.entries(document.environments)
    .filter(([name]) => only === undefined || name === only);
  const bursts = sumBursts(document.accounts);
  return [
    createSubject({
      ...describeSmallest(environments),
      accounts: describeAccounts(document.accounts, environments),
    }),
    ...environments.map(([name, environment]) =>
      createSubject({
        environment: name,
        hosts: environment.proxies.length,
        ...describeEnvironment(name, environment, bursts),
      })
    ),
  ];
}

function createSubject(part: Partial<Subject>): Subject {
  return {
    sharing: { kind: "own", connectionsPerProxy: CONNECTIONS_PER_PROXY },
    // Data of a replica is as old as the last status round that it was seen in.
    lag: IDLE_INTERVAL_MS,
    accounts: [],
    accountFindings: [],
    routes: [],
    groups: [],
    emptyZones: [],
    timeouts: [],
    unused: [],
    ...part,
  };
}

/** The environment with the fewest proxies, whose parts of a limit are the largest. */
function describeSmallest(
  environments: readonly NamedEnvironment[],
): Pick<Subject, "environment" | "hosts"> {
  const sizes = environments.map(([environment, { proxies }]) => ({
    environment,
    hosts: proxies.length,
  }));
  const [first, ...others] = sizes;
  if (!first) return {};
  return others.reduce(
    (least, size) => size.hosts < least.hosts ? size : least,
    first,
  );
}

type NamedEnvironment = readonly [string, Environment];

function describeAccounts(
  accounts: readonly Account[],
  environments: readonly NamedEnvironment[],
): readonly CheckedAccount[] {
  const present = new Map<string, Set<string>>();
  for (const [name, { groups }] of environments) {
    for (const { database } of groups) {
      const known = present.get(database);
      if (known) known.add(name);
      else present.set(database, new Set([name]));
    }
  }
  const absences = new Map<string, Absence>();
  const findAbsence = (database: string): Absence => {
    const absence = absences.get(database) ??
      describeAbsence(environments, present.get(database) ?? new Set());
    absences.set(database, absence);
    return absence;
  };
  return accounts.map(({ name, quota, databases }, index) => ({
    name,
    place: ["accounts", index],
    limit: quota,
    limitPlace: ["accounts", index, "quota"],
    absent: databases.map((database, databaseIndex) => ({
      name: database,
      place: ["accounts", index, "databases", databaseIndex],
      ...findAbsence(database),
    })).filter(({ count }) => count > 0),
  }));
}

type Absence = Pick<AbsentDatabase, "environments" | "count">;

/** Finds the environments outside of those that have a database. */
function describeAbsence(
  environments: readonly NamedEnvironment[],
  present: ReadonlySet<string>,
): Absence {
  const listed: string[] = [];
  for (const [name] of environments) {
    if (listed.length === MAX_LISTED_NAMES) break;
    if (!present.has(name)) listed.push(name);
  }
  return { environments: listed, count: environments.length - present.size };
}

/** Sums the bursts of the accounts of each database; a database without accounts has no sum. */
function sumBursts(accounts: readonly Account[]): ReadonlyMap<string, number> {
  const sums = new Map<string, number>();
  for (const { quota, databases } of accounts) {
    for (const database of new Set(databases)) {
      sums.set(database, (sums.get(database) ?? 0) + (quota?.burst ?? 0));
    }
  }
  return sums;
}

function describeEnvironment(
  name: string,
  { groups, proxies, zones }: Environment,
  bursts: ReadonlyMap<string, number>,
): Pick<Subject, "routes" | "groups" | "emptyZones"> {
  const root = ["environments", name];
  const placeOf = (index: number) => [...root, "groups", index];
  const usedZones = new Set([
    ...proxies.map(({ zone }) => zone),
    ...groups.flatMap(({ instances }) => instances.map(({ zone }) => zone)),
  ]);
  return {
    routes: groups.map((group, index) => describeRoute(group, placeOf(index))),
    groups: groups.map((group, index) =>
      describeGroup(group, placeOf(index), bursts, proxies.length)
    ),
    emptyZones: zones
      .map((zone, index) => ({ name: zone, place: [...root, "zones", index] }))
      .filter((zone) => !usedZones.has(zone.name)),
  };
}

function describeRoute(group: Group, place: Place): CheckedRoute {
  const { reads, writes, queue, ledger } = group;
  const limitOf = (section: string, key: string, value: number): Limit => ({
    name: `${section}.${key}`,
    place: [...place, section, key],
    value,
  });
  const kindPlace = (index: number) => [...place, "reads", "kinds", index];
  return {
    database: group.database,
    group: group.database,
    place,
    deadline: limitOf("queue", "deadline", queue.deadline),
    catchUpWait: limitOf("reads", "catchUpWait", reads.catchUpWait),
    acknowledgeDeadline: writes.acknowledge === "majority"
      ? limitOf("writes", "acknowledgeDeadline", writes.acknowledgeDeadline)
      : undefined,
    keep: limitOf("ledger", "keep", ledger.keep),
    ages: [
      limitOf("reads", "maxAge", reads.maxAge),
      ...reads.kinds.map((kind, index) => ({
        name: `maxAge of the kind ${kind.name}`,
        place: [...kindPlace(index), "maxAge"],
        value: kind.maxAge,
      })),
    ],
    unusedAges: [],
    kinds: reads.kinds.map((kind, index) => ({
      name: kind.name,
      place: kindPlace(index),
      tables: kind.tables,
    })),
  };
}

function describeGroup(
  group: Group,
  place: Place,
  bursts: ReadonlyMap<string, number>,
  proxyCount: number,
): CheckedGroup {
  const { instances, connectionsPerInstance, queue } = group;
  return {
    name: group.database,
    place,
    isReached: bursts.has(group.database),
    bursts: bursts.get(group.database),
    connections: {
      name: "connectionsPerInstance",
      place: [...place, "connectionsPerInstance"],
      value: connectionsPerInstance,
    },
    // Each proxy has a queue for each instance.
    capacity: instances.length *
      (connectionsPerInstance + proxyCount * queue.length),
    instances: instances.map((instance, index) => ({
      name: instance.name,
      place: [...place, "instances", index],
      address: `${instance.host}:${instance.port}`,
    })),
  };
}
