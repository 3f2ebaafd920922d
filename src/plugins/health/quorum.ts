/**
 * Evaluates instance statuses: finds the confirmed primary and the positions that a majority holds.
 *
 * @module
 */
import type { Instance } from "../document/document.ts";
import type { InstanceStatus } from "../upstream/database_group.ts";
import { containsPosition, type Position } from "../upstream/position.ts";

/** The last status of an instance and when its request was sent. */
export interface InstanceObservation {
  readonly instance: Instance;
  /** The last status; undefined before the first. */
  readonly status?: InstanceStatus | undefined;
  /** Monotonic time in ms at which the request was sent. */
  readonly sentAt: number;
  /** Number of the round that sent the request; increases with each round of the group. */
  readonly roundNumber: number;
}

/** An observation that includes a status. */
export type AnsweredObservation = InstanceObservation & {
  readonly status: InstanceStatus;
};

/** A primary for which a majority of the group has seen no higher term. */
export interface ConfirmedPrimary {
  readonly instance: Instance;
  readonly status: InstanceStatus;
  readonly term: number;
  /** Monotonic time in ms at which no higher term had a majority: when the earliest of the confirming requests was sent. */
  readonly confirmedAt: number;
}

/** The smallest number of instances that is a majority. */
export function majorityOf(count: number): number {
  return Math.floor(count / 2) + 1;
}

/** Returns the observations that have a status. */
export function withStatus(
  observations: readonly InstanceObservation[],
): readonly AnsweredObservation[] {
  return observations.filter((item): item is AnsweredObservation =>
    item.status !== undefined
  );
}

/** The highest term that any instance has seen; 0 without any status. */
export function highestTerm(
  observations: readonly InstanceObservation[],
): number {
  const terms = withStatus(observations).map((item) => item.status.seenTerm);
  return Math.max(0, ...terms);
}

/** The highest term that a majority has seen; 0 when fewer than a majority have a status. */
export function majorityTerm(
  observations: readonly InstanceObservation[],
): number {
  const terms = observations.map((item) => item.status?.seenTerm ?? 0);
  terms.sort((a, b) => b - a);
  return terms[majorityOf(observations.length) - 1] ?? 0;
}

/** The primary of the highest term, unless a majority has seen a higher term than its own. */
export function findPrimary(
  observations: readonly InstanceObservation[],
): AnsweredObservation | undefined {
  const leaders = withStatus(observations)
    .filter((item) => item.status.role === "primary")
    .sort((a, b) => b.status.seenTerm - a.status.seenTerm);
  const leader = leaders[0];
  if (!leader || leader.status.seenTerm < majorityTerm(observations)) {
    return undefined;
  }
  return leader;
}

/**
 * Confirms the primary from statuses requested after round `afterRound`: it is the primary at
 * term N, and a majority, including itself, has seen no term above N. No write can have been
 * acknowledged in a higher term before `confirmedAt`, since a promotion fences a majority first.
 */
export function confirmPrimary(
  observations: readonly InstanceObservation[],
  afterRound: number,
): ConfirmedPrimary | undefined {
  const leader = findPrimary(observations);
  if (!leader || leader.roundNumber <= afterRound) return undefined;
  const term = leader.status.seenTerm;
  const others = withStatus(observations).filter((item) =>
    item !== leader && item.roundNumber > afterRound &&
    item.status.seenTerm <= term
  ).sort((a, b) => b.sentAt - a.sentAt);
  const needed = majorityOf(observations.length) - 1;
  if (others.length < needed) return undefined;
  const earliest = others[needed - 1]?.sentAt ?? leader.sentAt;
  return {
    instance: leader.instance,
    status: leader.status,
    term,
    confirmedAt: Math.min(leader.sentAt, earliest),
  };
}

/**
 * The position that a majority has received under the term of its last entry. The statuses may
 * come from different rounds: entries received under a term are kept, or a reply to a fence
 * request shows otherwise.
 */
export function majorityPosition(
  observations: readonly InstanceObservation[],
): Position {
  const majority = majorityOf(observations.length);
  const answered = withStatus(observations);
  for (const { status: { lastTerm } } of answered) {
    const received = answered.filter((item) =>
      item.status.lastTerm === lastTerm
    )
      .map((item) => item.status.received);
    if (received.length < majority) continue;
    received.sort((a, b) => a < b ? 1 : a > b ? -1 : 0);
    return { term: lastTerm, lsn: received[majority - 1]! };
  }
  return { term: 0, lsn: 0n };
}

/** Whether a position of a lower term survived a change of primary; "open" while this is undecided. */
export type Survival = "survived" | "open" | "discarded";

/** Checks whether the logs of a confirmed primary of a higher term and of a majority contain a position. */
export function checkSurvival(
  observations: readonly InstanceObservation[],
  primary: ConfirmedPrimary,
  position: Position,
): Survival {
  const { status, term } = primary;
  if (!containsPosition(status, status.received, position)) return "discarded";
  const holders = withStatus(observations).filter((item) =>
    item.status.lastTerm === term &&
    containsPosition(item.status, item.status.received, position)
  );
  return holders.length >= majorityOf(observations.length)
    ? "survived"
    : "open";
}
