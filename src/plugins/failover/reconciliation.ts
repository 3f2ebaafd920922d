/**
 * Puts instances that came back, or that missed a change of primary, behind the present one.
 *
 * @module
 */
import { type EventLog, Events } from "../../kernel/events.ts";
import type { GroupView, InstanceView } from "../health/health.ts";
import type { DatabaseGroup } from "../upstream/database_group.ts";
import { Persistence } from "./persistence.ts";
import { orderFollow } from "./promotion.ts";
import type { Proposers } from "./proposers.ts";

/** Time that an instance is out of place before the first proxy acts, and further time for each rank. */
const MISPLACED_MS = 200;
const RANK_DELAY_MS = 1_000;
/** Time without a word from its source before a replica is told to follow anew. */
const DEAF_MS = 3_000;
/** Age of the primary's confirmation up to which instances are put behind it. */
const CONFIRMATION_VALID_MS = 500;

/** Why an instance has to be told to follow. */
type Displacement = "former primary" | "fenced" | "other source" | "deaf";

/** What reconciliation needs. */
export interface ReconciliationOptions {
  readonly control: DatabaseGroup;
  readonly log: EventLog;
  readonly proposers: Proposers;
}

/** Looks after the instances of one group. */
export class Reconciliation {
  readonly #options: ReconciliationOptions;
  readonly #persistence = new Persistence();
  /** Instances whose order is outstanding. */
  readonly #ordered = new Set<string>();

  constructor(options: ReconciliationOptions) {
    this.#options = options;
  }

  /** Orders each instance that is out of place long enough to follow the primary. */
  async step(view: GroupView, now: number): Promise<void> {
    if (now - view.confirmedAt > CONFIRMATION_VALID_MS) return;
    const orders = view.instances.map((item) => this.#attend(view, item, now));
    await Promise.all(orders);
  }

  async #attend(
    view: GroupView,
    item: InstanceView,
    now: number,
  ): Promise<void> {
    const { instance } = item;
    if (this.#ordered.has(instance.name)) return;
    const displacement = displacementOf(view, item);
    const held = this.#persistence.observe(
      instance.name,
      displacement !== undefined,
      now,
    );
    if (displacement === undefined || held < this.#patience(displacement)) {
      return;
    }
    const primary = view.instances.find((one) =>
      one.instance.name === view.primary
    );
    if (!primary) return;
    this.#persistence.restart(instance.name);
    const { log, control } = this.#options;
    if (displacement === "former primary") {
      log.write(Events.FORMER_PRIMARY_RETURNED, {
        database: view.group.database,
        instance: instance.name,
        term: item.status?.seenTerm,
        received: String(item.status?.received),
      });
    }
    const { group, term } = view;
    const order = { group, control, log, term };
    this.#ordered.add(instance.name);
    await orderFollow(order, instance, primary.instance);
    this.#ordered.delete(instance.name);
  }

  #patience(displacement: Displacement): number {
    const rank = this.#options.proposers.rank(undefined);
    const first = displacement === "deaf" ? DEAF_MS : MISPLACED_MS;
    return first + rank * RANK_DELAY_MS;
  }
}

/** Whether an instance is out of place; one that has seen a higher term can't be told to follow. */
function displacementOf(
  view: GroupView,
  { instance, status, failures }: InstanceView,
): Displacement | undefined {
  if (!status || failures > 0 || !view.primary) return undefined;
  if (instance.name === view.primary) return undefined;
  if (status.seenTerm > view.term) return undefined;
  if (status.role === "primary") return "former primary";
  if (status.role === "fenced") return "fenced";
  if (status.seenTerm < view.term) return "other source";
  if (status.source !== view.primary) return "other source";
  return status.hearsSource ? undefined : "deaf";
}
