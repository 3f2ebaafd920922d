/**
 * Redirects instances that return, or that missed a change of primary, to the current primary.
 *
 * @module
 */
import { type EventLog, Events } from "../../kernel/events.ts";
import type { GroupView, InstanceView } from "../health/health.ts";
import type { DatabaseGroup } from "../upstream/database_group.ts";
import { ConditionTimer } from "./condition_timer.ts";
import { orderFollow } from "./promotion.ts";
import type { ProposerRanking } from "./proposer_ranking.ts";

/** Time for which an instance has to need redirection before the first proxy acts, and additional time for each rank. */
const RECONCILIATION_DELAY_MS = 200;
const RANK_DELAY_MS = 1_000;
/** Time for which a replica has to receive nothing from its source before it is told to follow again. */
const SOURCE_LOST_MS = 3_000;
/** Greatest age of the primary's confirmation at which instances are redirected to it. */
const CONFIRMATION_VALID_MS = 500;

/** Why an instance has to be told to follow the primary. */
type FollowReason = "former primary" | "fenced" | "other source" | "deaf";

/** Dependencies of reconciliation. */
export interface ReconciliationOptions {
  readonly control: DatabaseGroup;
  readonly log: EventLog;
  readonly ranking: ProposerRanking;
}

/** Keeps the instances of one group attached to its primary. */
export class Reconciliation {
  readonly #options: ReconciliationOptions;
  readonly #conditions = new ConditionTimer();
  /** Names of the instances with an outstanding follow request. */
  readonly #pending = new Set<string>();

  constructor(options: ReconciliationOptions) {
    this.#options = options;
  }

  /** Tells each instance that has needed redirection for long enough to follow the primary. */
  async reconcileAll(view: GroupView, now: number): Promise<void> {
    if (now - view.confirmedAt > CONFIRMATION_VALID_MS) return;
    const orders = view.instances.map((item) =>
      this.#reconcile(view, item, now)
    );
    await Promise.all(orders);
  }

  async #reconcile(
    view: GroupView,
    item: InstanceView,
    now: number,
  ): Promise<void> {
    const { instance } = item;
    if (this.#pending.has(instance.name)) return;
    const reason = followReasonOf(view, item);
    const heldMs = this.#conditions.observe(
      instance.name,
      reason !== undefined,
      now,
    );
    if (reason === undefined || heldMs < this.#delay(reason)) {
      return;
    }
    const primary = view.instances.find((one) =>
      one.instance.name === view.primary
    );
    if (!primary) return;
    this.#conditions.restart(instance.name);
    const { log, control } = this.#options;
    if (reason === "former primary") {
      log.write(Events.FORMER_PRIMARY_RETURNED, {
        database: view.group.database,
        instance: instance.name,
        term: item.status?.seenTerm,
        received: String(item.status?.received),
      });
    }
    const { group, term } = view;
    const order = { group, control, log, term };
    this.#pending.add(instance.name);
    await orderFollow(order, instance, primary.instance);
    this.#pending.delete(instance.name);
  }

  #delay(reason: FollowReason): number {
    const rank = this.#options.ranking.rank(undefined);
    const first = reason === "deaf" ? SOURCE_LOST_MS : RECONCILIATION_DELAY_MS;
    return first + rank * RANK_DELAY_MS;
  }
}

/** Why an instance needs redirection, if it does; one that has seen a higher term would refuse to follow. */
function followReasonOf(
  view: GroupView,
  { instance, status, failures }: InstanceView,
): FollowReason | undefined {
  if (!status || failures > 0 || !view.primary) return undefined;
  if (instance.name === view.primary) return undefined;
  if (status.seenTerm > view.term) return undefined;
  if (status.role === "primary") return "former primary";
  if (status.role === "fenced") return "fenced";
  if (status.seenTerm < view.term) return "other source";
  if (status.source !== view.primary) return "other source";
  return status.hearsSource ? undefined : "deaf";
}
