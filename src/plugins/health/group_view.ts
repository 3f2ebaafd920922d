/**
 * Builds the read-only view of a group from its watch.
 *
 * @module
 */
import { clock } from "../../kernel/clock.ts";
import type { GroupView, InstanceView } from "./health.ts";
import type { GroupWatch } from "./group_watch.ts";
import type { InstanceProbe } from "./instance_probe.ts";
import { findPrimary, majorityPosition, majorityTerm } from "./quorum.ts";

/** Consecutive failed probes after which an instance gets no new work. */
const UNUSABLE_FAILURE_COUNT = 2;

/** Describes the current state of a group; `isLeaving` tells whether the host list shows an instance as leaving. */
export function describeGroup(
  watch: GroupWatch,
  isLeaving: (instance: string) => boolean,
): GroupView {
  const { probes } = watch;
  const leader = findPrimary(probes);
  const lag = describeLag(watch);
  return {
    group: watch.group,
    instances: probes.map((probe) =>
      describeInstance(watch, probe, leader?.instance.name, isLeaving)
    ),
    ...(leader ? { primary: leader.instance.name } : {}),
    term: Math.max(majorityTerm(probes), leader?.status.seenTerm ?? 0),
    confirmedAt: watch.confirmed?.confirmedAt ?? -Infinity,
    ...lag,
    switching: watch.hold.active,
  };
}

function describeInstance(
  watch: GroupWatch,
  probe: InstanceProbe,
  primary: string | undefined,
  isLeaving: (instance: string) => boolean,
): InstanceView {
  const { instance, status, sentAt, failures } = probe;
  const leaving = isLeaving(instance.name);
  const slow = watch.slow.isSlow(instance.name);
  const serves = status?.role === "replica" || instance.name === primary;
  return {
    instance,
    ...(status ? { status } : {}),
    statusAt: sentAt,
    failures,
    usable: serves && !leaving && !slow && failures < UNUSABLE_FAILURE_COUNT,
    leaving,
    slow,
  };
}

function describeLag(
  watch: GroupWatch,
): Pick<GroupView, "receiveLag" | "receiveLagMs"> {
  const { confirmed, probes, staleness } = watch;
  if (!confirmed) return { receiveLag: 0n, receiveLagMs: 0 };
  const majorityReceived = majorityPosition(probes);
  const { received } = confirmed.status;
  const receiveLag = received > majorityReceived.lsn
    ? received - majorityReceived.lsn
    : 0n;
  if (receiveLag === 0n) return { receiveLag, receiveLagMs: 0 };
  const firstMissing = staleness.samples.firstCovering({
    ...majorityReceived,
    lsn: majorityReceived.lsn + 1n,
  });
  const since = firstMissing?.at ?? confirmed.confirmedAt;
  return { receiveLag, receiveLagMs: clock.now() - since };
}
