/**
 * Failure detection: decides whether the current view of a group requires a new primary.
 *
 * @module
 */
import type { GroupView, InstanceView } from "../health/health.ts";
import { majorityOf } from "../health/quorum.ts";

/** Consecutive failed probes after which a primary counts as silent. */
const SILENT_FAILURE_COUNT = 3;
/** Greatest age of a status at which its instance counts as reachable. */
const STATUS_VALID_MS = 400;

/** Why a new primary is required. */
export type SuspicionReason =
  /** The primary does not respond to probes. */
  | "silent"
  /** The primary responds, but a majority of the instances receives nothing from it. */
  | "isolated"
  /** No instance is primary at the highest term. */
  | "absent";

/** Why failover is withheld although the primary is silent or absent. */
export type WithheldReason = "no majority reachable" | "replicas hear it";

/** Result of assessing a view. */
export type Verdict =
  | { readonly kind: "not-suspected" }
  | { readonly kind: "withheld"; readonly reason: WithheldReason }
  | { readonly kind: "suspected"; readonly reason: SuspicionReason };

const NOT_SUSPECTED: Verdict = { kind: "not-suspected" };

/** Assesses a view; `now` is in monotonic ms. */
export function assess(view: GroupView, now: number): Verdict {
  const primary = view.instances.find((item) =>
    item.instance.name === view.primary
  );
  if (!primary) return assessReplicas(view, now, "absent");
  if (primary.failures >= SILENT_FAILURE_COUNT) {
    return assessReplicas(view, now, "silent");
  }
  const disconnected = reachable(view, now).filter((item) =>
    item.status?.source === view.primary && !item.status?.hearsSource
  );
  const isolated = primary.failures === 0 &&
    disconnected.length >= majorityOf(view.instances.length);
  return isolated ? { kind: "suspected", reason: "isolated" } : NOT_SUSPECTED;
}

/** Highest term that any instance of the group has seen. */
export function highestTermOf(view: GroupView): number {
  const terms = view.instances.map((item) => item.status?.seenTerm ?? 0);
  return Math.max(view.term, ...terms);
}

function assessReplicas(
  view: GroupView,
  now: number,
  reason: SuspicionReason,
): Verdict {
  if (view.instances.some(isUnknown)) return NOT_SUSPECTED;
  const others = reachable(view, now).filter((item) =>
    item.instance.name !== view.primary
  );
  if (others.length < majorityOf(view.instances.length)) {
    return { kind: "withheld", reason: "no majority reachable" };
  }
  const disconnected = others.filter((item) => !item.status?.hearsSource);
  if (disconnected.length < majorityOf(others.length)) {
    return { kind: "withheld", reason: "replicas hear it" };
  }
  return { kind: "suspected", reason };
}

/** Whether an instance has neither responded nor failed enough probes since monitoring began. */
function isUnknown({ status, failures }: InstanceView): boolean {
  return status === undefined && failures < SILENT_FAILURE_COUNT;
}

/** Instances that responded to their last probe recently enough. */
function reachable(view: GroupView, now: number): readonly InstanceView[] {
  return view.instances.filter((item) =>
    item.status !== undefined && item.failures === 0 &&
    now - item.statusAt <= STATUS_VALID_MS
  );
}
