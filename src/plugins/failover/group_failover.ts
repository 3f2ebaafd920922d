/**
 * Failover task of one group: replaces a failed primary, carries out planned
 * switchovers, and reattaches instances that return.
 *
 * @module
 */
import { setTimeout as sleep } from "node:timers/promises";
import { clock } from "../../kernel/clock.ts";
import { type EventLog, Events } from "../../kernel/events.ts";
import type { GroupView, Health } from "../health/health.ts";
import type { DatabaseGroup } from "../upstream/database_group.ts";
import type { FailoverTimings } from "./failover.ts";
import { ConditionTimer } from "./condition_timer.ts";
import { orderFollow, promote, type PromotionOutcome } from "./promotion.ts";
import type { ProposerRanking } from "./proposer_ranking.ts";
import { Reconciliation } from "./reconciliation.ts";
import {
  assess,
  highestTermOf,
  type SuspicionReason,
  type Verdict,
} from "./suspicion.ts";
import {
  switchOver,
  type SwitchoverOptions,
  switchoverTarget,
} from "./switchover.ts";

/** Interval between checks of a group while its primary responds, and while it does not. */
const CHECK_INTERVAL_MS = 100;
const FAST_CHECK_INTERVAL_MS = 20;
/** Time for which each suspicion has to last before a promotion is proposed. */
const SUSPICION_MIN_MS: Readonly<Record<SuspicionReason, number>> = {
  silent: 0,
  isolated: 1_000,
  absent: 0,
};
/** Time for which a failover has to be withheld before it is logged. */
const WITHHELD_LOG_DELAY_MS = 500;
/** Time for which this proxy defers to another proxy's proposal, and the random part added to it. */
const PROPOSAL_GRACE_MS = 300;
const PROPOSAL_JITTER_MS = 150;
/** Proposal delay for each rank among the proposers, and the random part added to it. */
const RANK_DELAY_MS = 100;
const RANK_JITTER_MS = 50;
/** Upper bound of the random proposal delay of a proxy that knows of no other proxy. */
const ALONE_JITTER_MS = 150;
/** Time for which a switchover has to be due, additional time for each rank, and cooldown after a change of primary. */
const SWITCHOVER_DELAY_MS = 1_000;
const SWITCHOVER_RANK_DELAY_MS = 3_000;
const SWITCHOVER_COOLDOWN_MS = 5_000;
/** Number of times that a switchover is postponed for a proxy that does not drain, and the delay before the next attempt. */
const MAX_POSTPONEMENTS = 3;
const POSTPONEMENT_DELAY_MS = 500;
/** Longest expected wait for a candidate to catch up at which a switchover starts. */
const MAX_CANDIDATE_WAIT_MS = 500;

/** Dependencies of a group's failover task. */
export interface GroupFailoverOptions {
  readonly database: string;
  readonly health: Health;
  readonly control: DatabaseGroup;
  readonly log: EventLog;
  readonly ranking: ProposerRanking;
  readonly timings: FailoverTimings;
  readonly switchover: SwitchoverOptions;
  /** Called after each promotion that this proxy carried out. */
  readonly onPromoted: (promoted: PromotionOutcome) => void;
}

/** Checks one group periodically and reacts to what it finds. */
export class GroupFailover {
  readonly #options: GroupFailoverOptions;
  readonly #conditions = new ConditionTimer();
  readonly #reconciliation: Reconciliation;
  #stopped = false;
  #highestTerm = 0;
  #deferUntil = -Infinity;
  #cooldownUntil = -Infinity;
  #postponements = 0;
  #withheldReason: string | undefined;

  constructor(options: GroupFailoverOptions) {
    this.#options = options;
    this.#reconciliation = new Reconciliation(options);
  }

  /** Checks the group until `stop` is called. */
  async run(): Promise<void> {
    while (!this.#stopped) {
      await sleep(this.#checkInterval());
      const view = this.#view();
      if (view) await this.#check(view);
    }
  }

  #checkInterval(): number {
    const view = this.#view();
    const primary = view?.instances.find((item) =>
      item.instance.name === view.primary
    );
    return primary?.failures === 0 ? CHECK_INTERVAL_MS : FAST_CHECK_INTERVAL_MS;
  }

  /** Stops the task after its current step. */
  stop(): void {
    this.#stopped = true;
  }

  /** Restarts all durations, because a pause of this process would count towards them. */
  resetConditions(): void {
    this.#conditions.restartAll();
  }

  async #check(view: GroupView): Promise<void> {
    const now = clock.now();
    this.#trackTerm(view, now);
    const verdict = assess(view, now);
    this.#logWithheld(view, verdict, now);
    if (verdict.kind === "suspected") return await this.#propose(view, verdict);
    this.#conditions.observe("suspected", false, now);
    if (verdict.kind === "withheld") return;
    void this.#reconciliation.reconcileAll(view, now);
    await this.#switchOverIfDue(view, now);
  }

  async #propose(
    view: GroupView,
    verdict: Verdict & { kind: "suspected" },
  ): Promise<void> {
    const { database, log } = this.#options;
    const now = clock.now();
    const heldMs = this.#conditions.observe("suspected", true, now);
    if (heldMs < SUSPICION_MIN_MS[verdict.reason] || now < this.#deferUntil) {
      return;
    }
    const { reason } = verdict;
    const { primary, term } = view;
    log.write(Events.PRIMARY_SUSPECTED, { database, primary, term, reason });
    const suspectedAt = now;
    const highest = highestTermOf(view);
    await sleep(this.#proposalDelay(view));
    const current = this.#view();
    if (!current) return;
    if (highestTermOf(current) > highest) {
      return this.#abandon("another proposal is in progress");
    }
    if (assess(current, clock.now()).kind !== "suspected") {
      return this.#abandon("the primary is no longer suspected");
    }
    await this.#promote(current, highest + 1, suspectedAt);
  }

  async #promote(
    view: GroupView,
    term: number,
    suspectedAt: number,
  ): Promise<void> {
    const { control, log, timings, health, database } = this.#options;
    const { group } = view;
    const former = view.instances.find((item) =>
      item.instance.name === view.primary
    );
    const leaving = new Set(
      view.instances.filter((item) => item.leaving)
        .map((item) => item.instance.name),
    );
    const weight = (name: string) =>
      Number(leaving.has(name)) * 2 - Number(name === group.preferredPrimary);
    const result = await promote({
      group,
      control,
      log,
      term,
      preference: (a, b) => weight(a.name) - weight(b.name),
    });
    health.reportFailure(database, view.primary ?? "");
    if (result.isErr()) return this.#abandon(result.error.message);
    const { fencedAt, promotedAt } = result.value;
    if (former) recordMs(timings.detection, suspectedAt - former.statusAt);
    recordMs(timings.fencing, fencedAt - suspectedAt);
    recordMs(timings.promotion, promotedAt - fencedAt);
    this.#completePromotion(view, result.value);
  }

  /** Redirects the other instances to the new primary and publishes it. */
  #completePromotion(view: GroupView, promoted: PromotionOutcome): void {
    const { control, log, health, database } = this.#options;
    const { primary, term } = promoted;
    this.#cooldownUntil = clock.now() + SWITCHOVER_COOLDOWN_MS;
    for (const { instance } of view.instances) {
      if (instance.name === primary.name) continue;
      const order = { group: view.group, control, log, term };
      void orderFollow(order, instance, primary);
    }
    health.reportFailure(database, primary.name);
    this.#options.onPromoted(promoted);
  }

  async #switchOverIfDue(view: GroupView, now: number): Promise<void> {
    const target = switchoverTarget(view, now);
    const ready = target !== undefined && now >= this.#cooldownUntil &&
      this.#isNearlyCaughtUp(view, target.name);
    const heldMs = this.#conditions.observe("switchover", ready, now);
    const rank = this.#options.ranking.rank(undefined);
    const requiredMs = SWITCHOVER_DELAY_MS + rank * SWITCHOVER_RANK_DELAY_MS;
    if (!target || heldMs < requiredMs) return;
    this.#cooldownUntil = now + SWITCHOVER_COOLDOWN_MS;
    this.#conditions.restart("switchover");
    const { switchover } = this.#options;
    const force = this.#postponements >= MAX_POSTPONEMENTS;
    const outcome = await switchOver(switchover, view, target, force);
    if (outcome === "postponed") {
      this.#postponements += 1;
      this.#cooldownUntil = clock.now() + POSTPONEMENT_DELAY_MS;
      return;
    }
    this.#postponements = 0;
    if (outcome) this.#completePromotion(view, outcome);
  }

  #isNearlyCaughtUp(view: GroupView, candidate: string): boolean {
    const primary = view.instances.find((item) =>
      item.instance.name === view.primary
    );
    const lsn = primary?.status?.received;
    if (lsn === undefined) return false;
    if (candidate === view.primary) return true;
    const { health, database } = this.#options;
    const position = { term: view.term, lsn };
    return health.expectedWait(database, candidate, position) <=
      MAX_CANDIDATE_WAIT_MS;
  }

  #view(): GroupView | undefined {
    return this.#options.health.view(this.#options.database);
  }

  /** A higher term indicates another proposal, which gets a grace period before it counts as abandoned. */
  #trackTerm(view: GroupView, now: number): void {
    const term = highestTermOf(view);
    if (term <= this.#highestTerm) return;
    this.#highestTerm = term;
    this.#deferUntil = now + PROPOSAL_GRACE_MS +
      Math.random() * PROPOSAL_JITTER_MS;
  }

  #logWithheld(view: GroupView, verdict: Verdict, now: number): void {
    const isWithheld = verdict.kind === "withheld";
    const heldMs = this.#conditions.observe("withheld", isWithheld, now);
    const reason = isWithheld && heldMs >= WITHHELD_LOG_DELAY_MS
      ? verdict.reason
      : undefined;
    if (reason === this.#withheldReason) return;
    this.#withheldReason = reason;
    if (reason === undefined) return;
    const { log, database } = this.#options;
    const { primary, term } = view;
    log.write(Events.FAILOVER_WITHHELD, { database, primary, term, reason });
  }

  #abandon(reason: string): void {
    const { log, database } = this.#options;
    log.write(Events.FAILOVER_ABANDONED, { database, reason });
  }

  #proposalDelay(view: GroupView): number {
    const { ranking } = this.#options;
    if (ranking.isAlone) return Math.random() * ALONE_JITTER_MS;
    const rank = ranking.rank(zoneOfCandidate(view));
    if (rank === 0) return 0;
    return rank * RANK_DELAY_MS + Math.random() * RANK_JITTER_MS;
  }
}

/** Availability zone of the instance that is most likely to be promoted. */
function zoneOfCandidate(view: GroupView): string | undefined {
  const others = view.instances.filter((item) =>
    item.instance.name !== view.primary && item.status && item.failures === 0
  );
  others.sort((a, b) =>
    b.status!.lastTerm - a.status!.lastTerm ||
    Number(b.status!.received - a.status!.received)
  );
  return others[0]?.instance.zone;
}

function recordMs(
  histogram: { recordValue(value: number): void },
  duration: number,
): void {
  if (Number.isFinite(duration)) {
    histogram.recordValue(Math.max(0, Math.round(duration)));
  }
}
