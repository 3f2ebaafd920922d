/**
 * Planned switchover: holds new writes, waits for running writes to finish and for the
 * candidate to receive the whole log, then promotes it. No write fails.
 *
 * @module
 */
import { clock } from "../../kernel/clock.ts";
import { type EventLog, Events } from "../../kernel/events.ts";
import type { Instance } from "../document/document.ts";
import type { GroupView, Health, InstanceView } from "../health/health.ts";
import type { DatabaseGroup } from "../upstream/database_group.ts";
import type { Failover, SwitchoverAnnouncer } from "./failover.ts";
import { promote, type PromotionOutcome } from "./promotion.ts";
import { highestTermOf } from "./suspicion.ts";

/** Longest time for which new writes are held. */
const MAX_HOLD_MS = 4_000;
/** Longest wait for the candidate to catch up after writes are held. */
const CATCH_UP_TIMEOUT_MS = 1_500;
/** Greatest age of a status at which an instance counts as healthy. */
const STATUS_VALID_MS = 500;
/** Greatest amount of log by which an eligible candidate may lag behind the primary. */
const MAX_LAG_BYTES = 1_048_576n;

/** Dependencies of a switchover. */
export interface SwitchoverOptions {
  readonly health: Health;
  readonly control: DatabaseGroup;
  readonly log: EventLog;
  readonly failover: Failover;
  readonly announcer: SwitchoverAnnouncer;
}

/**
 * The instance to promote in a switchover; undefined when none is needed or possible, or another
 * proxy is carrying one out. It is the current primary itself when an instance was fenced above
 * the primary's term.
 */
export function switchoverTarget(
  view: GroupView,
  now: number,
): Instance | undefined {
  const primary = view.instances.find((item) =>
    item.instance.name === view.primary
  );
  if (!primary?.status || primary.failures > 0) return undefined;
  if (view.switching) return undefined;
  if (hasInstanceFencedAhead(view, now)) return primary.instance;
  const candidates = view.instances.filter((item) =>
    isEligible(view, item, primary, now)
  );
  const preferred = candidates.find((item) =>
    item.instance.name === view.group.preferredPrimary
  );
  if (preferred) return preferred.instance;
  if (!primary.leaving) return undefined;
  candidates.sort((a, b) =>
    Number(b.status!.received - a.status!.received) ||
    (a.instance.name < b.instance.name ? -1 : 1)
  );
  return candidates[0]?.instance;
}

/** Whether a failed proposal left an instance fenced above the primary's term; it can rejoin only at a new term. */
function hasInstanceFencedAhead(view: GroupView, now: number): boolean {
  return view.instances.some(({ status, failures, statusAt }) =>
    status?.role === "fenced" && status.seenTerm > view.term &&
    failures === 0 && now - statusAt <= STATUS_VALID_MS
  );
}

function isEligible(
  view: GroupView,
  item: InstanceView,
  primary: InstanceView,
  now: number,
): boolean {
  const { status, usable, statusAt } = item;
  if (item === primary || !usable || !status) return false;
  if (status.role !== "replica" || !status.hearsSource) return false;
  if (status.source !== view.primary || status.seenTerm !== view.term) {
    return false;
  }
  if (now - statusAt > STATUS_VALID_MS) return false;
  return primary.status!.received - status.received <= MAX_LAG_BYTES;
}

/**
 * Makes an instance the primary of its group. Resolves to "postponed" when some proxy did not
 * drain in time, unless `force` is set, and to undefined when the switchover failed.
 */
export async function switchOver(
  options: SwitchoverOptions,
  view: GroupView,
  target: Instance,
  force: boolean,
): Promise<PromotionOutcome | "postponed" | undefined> {
  const { log, failover, announcer } = options;
  const { database } = view.group;
  const from = view.primary!;
  const startedAt = clock.now();
  log.write(Events.SWITCHOVER_STARTED, { database, from, to: target.name });
  const drained = await Promise.all([
    failover.holdWrites(database, from, MAX_HOLD_MS),
    announcer.hold(database, from, MAX_HOLD_MS),
  ]);
  const isDrained = drained.every((item) => item);
  const promoted = isDrained || force
    ? await transferPrimary(options, view, target)
    : undefined;
  failover.releaseWrites(database);
  void announcer.release(database);
  log.write(Events.SWITCHOVER_ENDED, {
    database,
    from,
    to: promoted?.primary.name ?? from,
    drained: isDrained,
    forced: force && !isDrained,
    elapsed: Math.round(clock.now() - startedAt),
  });
  return isDrained || force ? promoted : "postponed";
}

async function transferPrimary(
  { health, control, log }: SwitchoverOptions,
  view: GroupView,
  target: Instance,
): Promise<PromotionOutcome | undefined> {
  const { group, primary } = view;
  const { database } = group;
  if (
    target.name !== primary && !await waitForCatchUp(health, database, target)
  ) {
    return undefined;
  }
  const current = health.view(database);
  if (!current || current.primary !== primary) return undefined;
  const result = await promote({
    group,
    control,
    log,
    term: highestTermOf(current) + 1,
    preference: (a, b) =>
      Number(b.name === target.name) - Number(a.name === target.name),
  });
  if (result.isOk()) return result.value;
  const { message } = result.error;
  log.write(Events.FAILOVER_ABANDONED, { database, reason: message });
  return undefined;
}

/** Waits until the candidate has applied the primary's log up to its current end. */
async function waitForCatchUp(
  health: Health,
  database: string,
  target: Instance,
): Promise<boolean> {
  const deadline = clock.now() + CATCH_UP_TIMEOUT_MS;
  const end = await health.freshPosition(database, deadline);
  if (end.isErr()) return false;
  const applied = await health.applied(
    database,
    [target.name],
    end.value,
    deadline,
  );
  return applied.isOk();
}
