/**
 * Rules on limits that contradict each other.
 *
 * @module
 */
import { formatDuration } from "./duration.ts";
import { FindingKinds, listNames, type Observation } from "./finding.ts";
import {
  type CheckedGroup,
  type CheckedInstance,
  inEnvironment,
  type Rule,
} from "./rule.ts";

/** Bursts below one second of the rate's smallest part, the part of one proxy: the rate can't be used. */
const burstsBelowRate: Rule = (subject) => {
  const { hosts, accounts } = subject;
  if (!hosts) return [];
  return accounts.flatMap(({ name, limit, limitPlace }) => {
    if (!limit || limit.rate <= 0 || limit.burst < 1) return [];
    const part = limit.rate / hosts;
    if (limit.burst >= part) return [];
    return [{
      kind: FindingKinds.BURST_BELOW_RATE,
      place: limitPlace,
      text:
        `the burst of ${limit.burst} keeps ${name} from using its rate of ${limit.rate}: the smallest part, that of one proxy, is ${
          roundAmount(part)
        } operations a second (proxies${inEnvironment(subject)}: ${hosts})`,
    }];
  });
};

/** Waits that don't end before the deadline of the statement. */
const waitsAboveDeadline: Rule = ({ routes }) =>
  routes.flatMap(({ database, deadline, catchUpWait, targetLatency }) => {
    if (deadline.value <= 0) return [];
    const kind = FindingKinds.WAIT_ABOVE_DEADLINE;
    const limit = `the ${deadline.name} of ${formatDuration(deadline.value)}`;
    const observations: Observation[] = [];
    if (catchUpWait && catchUpWait.value >= deadline.value) {
      const wait = formatDuration(catchUpWait.value);
      observations.push({
        kind,
        place: catchUpWait.place,
        text:
          `reads of ${database} that wait ${wait} for a replica fail at ${limit} instead of going to the primary`,
      });
    }
    if (targetLatency && targetLatency.value > deadline.value) {
      const target = formatDuration(targetLatency.value);
      observations.push({
        kind,
        place: targetLatency.place,
        text:
          `requests of ${database} that may take ${target} are ended at ${limit}`,
      });
    }
    return observations;
  });

/** Ages below the lag that a replica may always have: reads then go to the primary. */
const agesBelowLag: Rule = ({ routes, lag }) =>
  routes.flatMap(({ database, ages }) =>
    ages.filter(({ value }) => value < lag).map(({ name, value, place }) => ({
      kind: FindingKinds.AGE_BELOW_LAG,
      place,
      text: `the ${name} of ${
        formatDuration(value)
      } is below the ${lag}ms that the data of a replica of ${database} may be behind; its reads load the primary`,
    }))
  );

/** Groups whose instances accept fewer connections than the proxies need. */
const fewConnections: Rule = (subject) => {
  const { hosts, sharing } = subject;
  if (!hosts) return [];
  return subject.groups.flatMap(({ name, connections }) => {
    const { value, place } = connections;
    if (sharing.kind === "forwarded") {
      if (value >= hosts) return [];
      return [{
        kind: FindingKinds.FORWARDED_WORK,
        place,
        text:
          `${hosts} proxies share the ${value} connections of an instance of ${name}; those without one forward their work`,
      }];
    }
    const served = Math.max(1, Math.floor(value / sharing.connectionsPerProxy));
    if (served >= hosts) return [];
    return [{
      kind: FindingKinds.FEW_CONNECTIONS,
      place,
      text:
        `${value} connections to an instance of ${name} serve ${served} of the ${hosts} proxies${
          inEnvironment(subject)
        }; each of the others refuses statements for that instance`,
    }];
  });
};

/** Groups that can't hold the bursts of their accounts at once. */
const burstsAboveGroup: Rule = (subject) =>
  subject.groups.flatMap(({ name, place, capacity, bursts }) => {
    if (capacity === undefined || bursts === undefined) return [];
    if (bursts <= capacity) return [];
    return [{
      kind: FindingKinds.BURSTS_ABOVE_GROUP,
      place,
      text:
        `the bursts of the accounts of ${name} add up to ${bursts} operations at once, above the ${capacity} that its connections and queues hold${
          inEnvironment(subject)
        }`,
    }];
  });

interface ListedAddress {
  readonly group: CheckedGroup;
  readonly instance: CheckedInstance;
}

/** Instances at one address, in one group or in several. */
const sharedAddresses: Rule = ({ groups }) => {
  const byAddress = new Map<string, ListedAddress[]>();
  for (const group of groups) {
    for (const instance of group.instances) {
      const listed = byAddress.get(instance.address);
      if (listed) listed.push({ group, instance });
      else byAddress.set(instance.address, [{ group, instance }]);
    }
  }
  return [...byAddress].flatMap(([address, listed]) => {
    const [first, second] = listed;
    if (!first || !second) return [];
    const sharing = [...new Set(listed.map(({ group }) => group))];
    if (sharing.length === 1) {
      return [{
        kind: FindingKinds.REPEATED_ADDRESS,
        place: second.instance.place,
        text:
          `${second.instance.name} and ${first.instance.name} of ${first.group.name} have the address ${address}: one server would count as two of a majority`,
      }];
    }
    const sum = sharing.reduce((n, group) => n + group.connections.value, 0);
    const most = sharing.reduce(
      (largest, group) => Math.max(largest, group.connections.value),
      0,
    );
    const names = listNames(sharing.map(({ name }) => name));
    return [{
      kind: FindingKinds.SHARED_ADDRESS,
      place: second.instance.place,
      text:
        `${names} have an instance at ${address}: together they may open ${sum} connections to it, above the ${most} that any of them states`,
    }];
  });
};

/** Ledgers that forget a request id while the request may still be repeated. */
const ledgersBelowDeadline: Rule = ({ routes }) =>
  routes.flatMap(({ database, keep, deadline }) => {
    if (!keep || keep.value >= deadline.value) return [];
    return [{
      kind: FindingKinds.LEDGER_BELOW_DEADLINE,
      place: keep.place,
      text: `a request id of ${database} is forgotten after ${
        formatDuration(keep.value)
      }, but its request may be repeated until the ${deadline.name} of ${
        formatDuration(deadline.value)
      } and would then run twice`,
    }];
  });

/** Decimals that amounts are shown with. */
const AMOUNT_DIGITS = 3;

function roundAmount(amount: number): number {
  return Number(amount.toPrecision(AMOUNT_DIGITS));
}

/** All rules of this family. */
export const limitRules: readonly Rule[] = [
  burstsBelowRate,
  waitsAboveDeadline,
  agesBelowLag,
  fewConnections,
  burstsAboveGroup,
  sharedAddresses,
  ledgersBelowDeadline,
];
