/**
 * Looks after one group: a new primary when the present one is lost, the planned
 * changes, and the instances that come back.
 *
 * @module
 */
import { setTimeout as sleep } from "node:timers/promises";
import { type EventLog, Events } from "../../kernel/events.ts";
import type { GroupView, Health } from "../health/health.ts";
import type { DatabaseGroup } from "../upstream/database_group.ts";
import type { FailoverTimings } from "./failover.ts";
import { Persistence } from "./persistence.ts";
import { orderFollow, promote, type Promoted } from "./promotion.ts";
import type { Proposers } from "./proposers.ts";
import { Reconciliation } from "./reconciliation.ts";
import {
  highestTermOf,
  judge,
  type SuspicionReason,
  type Verdict,
} from "./suspicion.ts";
import {
  switchOver,
  type SwitchoverOptions,
  wantedPrimary,
} from "./switchover.ts";

/** Distance of the looks at a group while all is well, and while its primary is in doubt. */
const CALM_INTERVAL_MS = 100;
const DOUBT_INTERVAL_MS = 20;
/** Time that a reason has to hold before a promotion is ordered. */
const PATIENCE_MS: Readonly<Record<SuspicionReason, number>> = {
  silent: 0,
  isolated: 1_000,
  absent: 0,
};
/** Time that a promotion has to be withheld before it is logged. */
const WITHHELD_MS = 500;
/** Time that a proposal of another proxy is left alone, and its random part. */
const PROPOSAL_GRACE_MS = 300;
const PROPOSAL_JITTER_MS = 150;
/** Delay for each place in the order of proposers, and its random part. */
const RANK_DELAY_MS = 100;
const RANK_JITTER_MS = 50;
/** Random delay of a proxy that knows of no other. */
const ALONE_JITTER_MS = 150;
/** Time that a planned change has to be wanted, further time for each rank, and pause after a change. */
const SWITCHOVER_PATIENCE_MS = 1_000;
const SWITCHOVER_RANK_DELAY_MS = 3_000;
const SWITCHOVER_PAUSE_MS = 5_000;
/** Expected wait of a candidate up to which a planned change begins. */
const CANDIDATE_WAIT_MS = 500;

/** What the task of a group needs. */
export interface GroupFailoverOptions {
  readonly database: string;
  readonly health: Health;
  readonly control: DatabaseGroup;
  readonly log: EventLog;
  readonly proposers: Proposers;
  readonly timings: FailoverTimings;
  readonly switchover: SwitchoverOptions;
  /** Called with each promotion that this proxy ordered. */
  readonly promoted: (promoted: Promoted) => void;
}

/** The task of one group. */
export class GroupFailover {
  readonly #options: GroupFailoverOptions;
  readonly #persistence = new Persistence();
  readonly #reconciliation: Reconciliation;
  #stopped = false;
  #highestTerm = 0;
  #leaveAloneUntil = -Infinity;
  #noSwitchoverUntil = -Infinity;
  #withheld: string | undefined;

  constructor(options: GroupFailoverOptions) {
    this.#options = options;
    this.#reconciliation = new Reconciliation(options);
  }

  /** Looks at the group until `stop`. */
  async run(): Promise<void> {
    while (!this.#stopped) {
      await sleep(this.#interval());
      const view = this.#view();
      if (view) await this.#look(view);
    }
  }

  #interval(): number {
    const view = this.#view();
    const primary = view?.instances.find((item) =>
      item.instance.name === view.primary
    );
    return primary?.failures === 0 ? CALM_INTERVAL_MS : DOUBT_INTERVAL_MS;
  }

  /** Ends the task after its present step. */
  stop(): void {
    this.#stopped = true;
  }

  /** A pause of this process starts all waiting times anew. */
  forgive(): void {
    this.#persistence.clear();
  }

  async #look(view: GroupView): Promise<void> {
    const now = performance.now();
    this.#noteTerm(view, now);
    const verdict = judge(view, now);
    this.#noteWithheld(view, verdict, now);
    if (verdict.kind === "suspected") return await this.#suspect(view, verdict);
    this.#persistence.observe("suspected", false, now);
    if (verdict.kind === "withheld") return;
    void this.#reconciliation.step(view, now);
    await this.#considerSwitchover(view, now);
  }

  async #suspect(
    view: GroupView,
    verdict: Verdict & { kind: "suspected" },
  ): Promise<void> {
    const { database, log } = this.#options;
    const now = performance.now();
    const held = this.#persistence.observe("suspected", true, now);
    if (held < PATIENCE_MS[verdict.reason] || now < this.#leaveAloneUntil) {
      return;
    }
    const { reason } = verdict;
    const { primary, term } = view;
    log.write(Events.PRIMARY_SUSPECTED, { database, primary, term, reason });
    const suspectedAt = now;
    const highest = highestTermOf(view);
    await sleep(this.#delay(view));
    const present = this.#view();
    if (!present) return;
    if (highestTermOf(present) > highest) {
      return this.#abandon("another proposal is under way");
    }
    if (judge(present, performance.now()).kind !== "suspected") {
      return this.#abandon("the suspicion has passed");
    }
    await this.#promote(present, highest + 1, suspectedAt);
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
    if (former) record(timings.detection, suspectedAt - former.statusAt);
    record(timings.fencing, fencedAt - suspectedAt);
    record(timings.promotion, promotedAt - fencedAt);
    this.#finish(view, result.value);
  }

  /** Lets the others follow a new primary and makes it known. */
  #finish(view: GroupView, promoted: Promoted): void {
    const { control, log, health, database } = this.#options;
    const { primary, term } = promoted;
    this.#noSwitchoverUntil = performance.now() + SWITCHOVER_PAUSE_MS;
    for (const { instance } of view.instances) {
      if (instance.name === primary.name) continue;
      const order = { group: view.group, control, log, term };
      void orderFollow(order, instance, primary);
    }
    health.reportFailure(database, primary.name);
    this.#options.promoted(promoted);
  }

  async #considerSwitchover(view: GroupView, now: number): Promise<void> {
    const wanted = wantedPrimary(view, now);
    const ready = wanted !== undefined && now >= this.#noSwitchoverUntil &&
      this.#isNear(view, wanted.name);
    const held = this.#persistence.observe("switchover", ready, now);
    const rank = this.#options.proposers.rank(undefined);
    const patience = SWITCHOVER_PATIENCE_MS + rank * SWITCHOVER_RANK_DELAY_MS;
    if (!wanted || held < patience) return;
    this.#noSwitchoverUntil = now + SWITCHOVER_PAUSE_MS;
    this.#persistence.restart("switchover");
    const { switchover } = this.#options;
    const promoted = await switchOver(switchover, view, wanted);
    if (promoted) this.#finish(view, promoted);
  }

  #isNear(view: GroupView, candidate: string): boolean {
    const primary = view.instances.find((item) =>
      item.instance.name === view.primary
    );
    const lsn = primary?.status?.received;
    if (lsn === undefined) return false;
    if (candidate === view.primary) return true;
    const { health, database } = this.#options;
    const position = { term: view.term, lsn };
    return health.expectedWait(database, candidate, position) <=
      CANDIDATE_WAIT_MS;
  }

  #view(): GroupView | undefined {
    return this.#options.health.view(this.#options.database);
  }

  /** A higher term shows a proposal; it gets some time before it counts as given up. */
  #noteTerm(view: GroupView, now: number): void {
    const term = highestTermOf(view);
    if (term <= this.#highestTerm) return;
    this.#highestTerm = term;
    this.#leaveAloneUntil = now + PROPOSAL_GRACE_MS +
      Math.random() * PROPOSAL_JITTER_MS;
  }

  #noteWithheld(view: GroupView, verdict: Verdict, now: number): void {
    const withheld = verdict.kind === "withheld";
    const held = this.#persistence.observe("withheld", withheld, now);
    const reason = withheld && held >= WITHHELD_MS ? verdict.reason : undefined;
    if (reason === this.#withheld) return;
    this.#withheld = reason;
    if (reason === undefined) return;
    const { log, database } = this.#options;
    const { primary, term } = view;
    log.write(Events.FAILOVER_WITHHELD, { database, primary, term, reason });
  }

  #abandon(reason: string): void {
    const { log, database } = this.#options;
    log.write(Events.FAILOVER_ABANDONED, { database, reason });
  }

  #delay(view: GroupView): number {
    const { proposers } = this.#options;
    if (proposers.alone) return Math.random() * ALONE_JITTER_MS;
    const rank = proposers.rank(zoneOfCandidate(view));
    if (rank === 0) return 0;
    return rank * RANK_DELAY_MS + Math.random() * RANK_JITTER_MS;
  }
}

/** Availability zone of the instance that is likely to lead next. */
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

function record(
  histogram: { recordValue(value: number): void },
  duration: number,
): void {
  if (Number.isFinite(duration)) {
    histogram.recordValue(Math.max(0, Math.round(duration)));
  }
}
