/**
 * Puts instances that came back, or that missed a change of primary, behind the present one.
 *
 * @module
 */
import { type EventLog, Events } from "../../kernel/events.ts";
import type { GroupView, InstanceView } from "../health/health.ts";
import type { DatabaseGroup } from "../upstream/database_group.ts";
import { ConditionTimer } from "./condition_timer.ts";
import { orderFollow } from "./promotion.ts";
import type { ProposerRanking } from "./proposer_ranking.ts";

/** Time that an instance is out of place before the first proxy acts, and further time for each rank. */
const RECONCILIATION_DELAY_MS = 200;
const RANK_DELAY_MS = 1_000;
/** Time without a word from its source before a replica is told to follow anew. */
const SOURCE_LOST_MS = 3_000;
/** Age of the primary's confirmation up to which instances are put behind it. */
const CONFIRMATION_VALID_MS = 500;

/** Why an instance has to be told to follow. */
type FollowReason = "former primary" | "fenced" | "other source" | "deaf";

/** What reconciliation needs. */
export interface ReconciliationOptions {
  readonly control: DatabaseGroup;
  readonly log: EventLog;
  readonly ranking: ProposerRanking;
}

/** Looks after the instances of one group. */
export class Reconciliation {
  readonly #options: ReconciliationOptions;
  readonly #conditions = new ConditionTimer();
  /** Instances whose order is outstanding. */
  readonly #pending = new Set<string>();

  constructor(options: ReconciliationOptions) {
    this.#options = options;
  }

  /** Orders each instance that is out of place long enough to follow the primary. */
  async step(view: GroupView, now: number): Promise<void> {
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

/** Whether an instance is out of place; one that has seen a higher term can't be told to follow. */
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
