/**
 * Whether the present view of a group calls for a new primary.
 *
 * @module
 */
import type { GroupView, InstanceView } from "../health/health.ts";
import { majorityOf } from "../health/quorum.ts";

/** Failed probes in a row from which a primary counts as silent. */
const SILENT_FAILURE_COUNT = 3;
/** A status older than this does not count as an answer. */
const STATUS_VALID_MS = 400;

/** Why a new primary is wanted. */
export type SuspicionReason =
  /** The primary answers no probes. */
  | "silent"
  /** The primary answers, but its replicas do not hear it. */
  | "isolated"
  /** No instance leads at the highest term. */
  | "absent";

/** Why a promotion is not ordered although the primary is not heard. */
export type WithheldReason = "no majority reachable" | "replicas hear it";

/** What a view calls for. */
export type Verdict =
  | { readonly kind: "calm" }
  | { readonly kind: "withheld"; readonly reason: WithheldReason }
  | { readonly kind: "suspected"; readonly reason: SuspicionReason };

const NOT_SUSPECTED: Verdict = { kind: "calm" };

/** Judges a view at a moment of monotonic ms. */
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

/** The highest term that any instance has seen. */
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

/** Whether an instance has neither answered nor failed since it is watched. */
function isUnknown({ status, failures }: InstanceView): boolean {
  return status === undefined && failures < SILENT_FAILURE_COUNT;
}

/** The instances that answered their last probe a moment ago. */
function reachable(view: GroupView, now: number): readonly InstanceView[] {
  return view.instances.filter((item) =>
    item.status !== undefined && item.failures === 0 &&
    now - item.statusAt <= STATUS_VALID_MS
  );
}
