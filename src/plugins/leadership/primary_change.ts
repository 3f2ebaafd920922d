/**
 * One change of a group's primary, from the row in the store to the new primary.
 *
 * 1. The row is set to `changing`: no proxy starts work on the old primary.
 * 2. Each proxy acknowledges the row, or its lease expires.
 * 3. The other instances are paused, which shows a proxy without access to the
 *    store that a promotion is in progress.
 * 4. The instance with the most advanced log is promoted, and the row names it.
 *
 * @module
 */
import { randomUUID } from "node:crypto";
import { clock } from "../../kernel/clock.ts";
import { type EventLog, Events } from "../../kernel/events.ts";
import { sleep } from "../../utils/sleep.ts";
import type { LinkProvider } from "../connections/link_pools.ts";
import type { InstanceDirectory } from "../deployment/instance_directory.ts";
import { comparePositions, formatPosition } from "../upstream/position.ts";
import {
  type Candidate,
  CandidateSearch,
  POLL_INTERVAL_MS,
  type Survey,
} from "./candidate_search.ts";
import { ChangeAcknowledgements } from "./change_acknowledgements.ts";
import type {
  Coordination,
  GroupRecord,
  PromotionOrder,
} from "./coordination.ts";
import { CHANGE_TIMEOUT_MS } from "./era_settling.ts";
import type { GroupLeadership } from "./group_leadership.ts";
import { eraOf } from "./store_era.ts";

/**
 * Remaining time of a change below which no promotion is ordered, in ms; covers
 * a call that is delayed in transit.
 */
const ORDER_MARGIN_MS = 1_500;

/** Timeout of one call that orders a promotion, in ms. */
const PROMOTE_TIMEOUT_MS = 1_000;

/**
 * How long an order without a reply may take to show its effect before it is
 * repeated, in ms: the slowest users' databases take 1,000 ms.
 */
const SETTLE_TIMEOUT_MS = 1_500;

/**
 * Delay before the first status request to an instance that was ordered to
 * lead, in ms; the fastest users' databases take 300 ms.
 */
const FIRST_STATUS_DELAY_MS = 200;

/** How long a change goes on whose order can't be sent, in ms; another proxy may reach the platform. */
const UNSENT_ORDER_LIMIT_MS = 1_500;

/** Delay before the row that ends the change is written again after a failure, in ms. */
const FINISH_RETRY_DELAY_MS = 150;

/** Id of the primary in the row of a change whose former primary nobody knows. */
const NO_PRIMARY = "";

/** Dependencies of a primary change. */
export interface PrimaryChangeOptions {
  /** Name of this proxy. */
  readonly proxy: string;
  readonly leadership: GroupLeadership;
  readonly coordination: Coordination;
  readonly directory: InstanceDirectory;
  readonly pools: LinkProvider;
  readonly order: PromotionOrder;
  /** Replicas of the group that have received a commit before it is acknowledged. */
  readonly synchronousReplicas: number;
  readonly log: EventLog;
}

/** The reason for a change. */
export interface ChangeReason {
  /** True if the primary is alive and hands over; false if it is considered dead. */
  readonly planned: boolean;
  /** Whether another instance may lead already. */
  readonly searches?: boolean;
  readonly text: string;
}

/**
 * Outcome of a change; `lost` means that this proxy could not start it or may not
 * continue it, `postponed` that it was not started since no replica was ready.
 */
export type ChangeOutcome = "changed" | "abandoned" | "lost" | "postponed";

/** Carries out one change of one group's primary. */
export class PrimaryChange {
  readonly #options: PrimaryChangeOptions;
  readonly #reason: ChangeReason;
  readonly #search: CandidateSearch;
  #version = 0;
  #record: GroupRecord | undefined;

  constructor(options: PrimaryChangeOptions, reason: ChangeReason) {
    this.#options = options;
    this.#reason = reason;
    const { leadership, directory, pools, log } = options;
    const { group } = leadership;
    this.#search = new CandidateSearch({ group, directory, pools, log });
  }

  /** Runs the change to completion. */
  async run(): Promise<ChangeOutcome> {
    const startedAt = clock.now();
    const outcome = await this.#run();
    this.#write(Events.SWITCHOVER_ENDED, {
      outcome,
      elapsed: Math.round(clock.now() - startedAt),
    });
    return outcome;
  }

  async #run(): Promise<ChangeOutcome> {
    const { leadership, synchronousReplicas } = this.#options;
    const { planned } = this.#reason;
    // Work stops for as long as the change lasts, so the replicas are asked before.
    if (planned && !await this.#search.isReady(leadership.primary)) {
      return "postponed";
    }
    const { searches } = this.#reason;
    const survey = await this.#survey();
    if (searches && survey?.primary) return await this.#adopt(survey.primary);
    if (!await this.#announce(formerTerm(survey))) return "lost";
    const acknowledgements = new ChangeAcknowledgements({
      ...this.#options,
      group: leadership.group,
      version: this.#version,
    });
    const unheard = await acknowledgements.wait();
    if (!planned && !searches && acknowledgements.isPrimaryHeard()) {
      await this.#finish(this.#record!.primary, this.#record!.term);
      return "abandoned";
    }
    const candidates = await this.#search.find({
      primary: this.#record!.primary,
      term: this.#record!.term + 1,
      planned,
      fencesPrimary: unheard.length > 0,
      hearsAll: synchronousReplicas > 0,
      mayContinue: () => this.#mayOrder(),
    });
    for (const [index, candidate] of candidates.entries()) {
      const promoted = await this.#promote(candidate);
      if (promoted === "lost") return "lost";
      if (promoted === undefined && this.#isOnlyHolder(candidates, index)) {
        break;
      }
      if (promoted !== undefined) {
        await this.#finish(candidate.id, promoted);
        await this.#search.resume(candidate.id);
        if (unheard.length > 0) {
          await this.#options.coordination.markAbsent(unheard);
        }
        return "changed";
      }
    }
    await this.#search.resume();
    return await this.#abandon();
  }

  /** Ends a change without a candidate. An old primary that has stepped down leads again only after a promotion. */
  async #abandon(): Promise<ChangeOutcome> {
    const { formerPrimary } = this.#search;
    const { primary, term } = this.#record!;
    if (!formerPrimary) {
      await this.#finish(primary, term);
      return "abandoned";
    }
    const promoted = await this.#promote(formerPrimary);
    if (typeof promoted === "number") {
      await this.#finish(primary, promoted);
      return "abandoned";
    }
    if (promoted === undefined) await this.#giveUp();
    return "lost";
  }

  /** Whether a candidate that can't be promoted may be the only one to have a commit that was acknowledged. */
  #isOnlyHolder(candidates: readonly Candidate[], index: number): boolean {
    const next = candidates[index + 1];
    if (!next || this.#options.synchronousReplicas === 0) return false;
    const { received } = candidates[index]!.status;
    return comparePositions(next.status.received, received) < 0;
  }

  /** Asks the instances for what this proxy doesn't know: who leads, or under which term. */
  async #survey(): Promise<Survey | undefined> {
    const { leadership } = this.#options;
    if (this.#reason.searches) return await this.#search.survey();
    if (leadership.term > 0) return undefined;
    return await this.#search.survey(leadership.primary);
  }

  /** Names an instance that leads already in the group's row. */
  async #adopt({ id, status }: Candidate): Promise<ChangeOutcome> {
    const { leadership, coordination } = this.#options;
    const current = coordination.group(leadership.group);
    const written = await coordination.putGroup(
      leadership.group,
      current?.version ?? 0,
      this.#createRecord("steady", id, status.term),
    );
    this.#write(Events.CHANGE_SETTLED, {
      primary: id,
      term: status.term,
      reason: this.#reason.text,
      outcome: written.isOk() ? "done" : written.error.kind,
    });
    return written.isOk() ? "changed" : "lost";
  }

  #createRecord(
    phase: GroupRecord["phase"],
    primary: string,
    term: number,
  ): GroupRecord {
    const { coordination, proxy } = this.#options;
    return {
      phase,
      primary,
      term,
      holder: proxy,
      holderLife: coordination.incarnation,
      planned: this.#reason.planned,
      expiresAt: coordination.clock() + CHANGE_TIMEOUT_MS,
      operation: randomUUID(),
    };
  }

  /** Writes the row that announces the change to all proxies; `seenTerm` is the former primary's term as far as the instances know. */
  async #announce(seenTerm: number): Promise<boolean> {
    const { leadership, coordination } = this.#options;
    const current = coordination.group(leadership.group);
    const primary = leadership.primary ?? NO_PRIMARY;
    this.#record = this.#createRecord(
      "changing",
      primary,
      Math.max(leadership.term, seenTerm),
    );
    const written = await coordination.putGroup(
      leadership.group,
      current?.version ?? 0,
      this.#record,
    );
    this.#write(Events.SWITCHOVER_STARTED, {
      primary,
      planned: this.#reason.planned,
      reason: this.#reason.text,
      before: current?.version ?? 0,
      outcome: written.isOk() ? "announced" : written.error.kind,
    });
    if (written.isErr()) return false;
    this.#version = written.value.version;
    void coordination.refresh();
    return true;
  }

  /**
   * Promotes a candidate and returns the new term; undefined if the candidate
   * cannot lead, "lost" if this proxy may not continue the change.
   */
  async #promote(candidate: Candidate): Promise<number | "lost" | undefined> {
    const { leadership, order, proxy } = this.#options;
    if (
      candidate.status.role === "primary" &&
      candidate.status.term > this.#record!.term
    ) return candidate.status.term;
    const startedAt = clock.now();
    let wasSent = false;
    while (this.#mayOrder()) {
      const reply = await order.promote(
        {
          group: leadership.group,
          instance: candidate.id,
          holder: proxy,
          token: this.#version,
        },
        clock.now() + PROMOTE_TIMEOUT_MS,
        () => this.#mayOrder(),
      );
      this.#write(Events.PROMOTED, {
        instance: candidate.id,
        token: this.#version,
        received: formatPosition(candidate.status.received),
        reply: reply.kind,
        reason: "reason" in reply ? reply.reason : undefined,
      });
      if (reply.kind === "rejected") return undefined;
      wasSent ||= reply.kind !== "not sent";
      // An order that was sent may still arrive, with a lower token than that of another proxy.
      if (!wasSent && clock.now() - startedAt > UNSENT_ORDER_LIMIT_MS) {
        await this.#giveUp();
        return "lost";
      }
      if (reply.kind !== "not sent") {
        const timeout = reply.kind === "accepted"
          ? Infinity
          : SETTLE_TIMEOUT_MS;
        const until = clock.now() + timeout;
        const term = await this.#waitForTerm(candidate.id, until);
        if (term !== undefined) return term;
      }
      await sleep(POLL_INTERVAL_MS);
    }
    return "lost";
  }

  /** Lets another proxy take over the change at once. */
  async #giveUp(): Promise<void> {
    const { coordination, leadership } = this.#options;
    const record = {
      ...this.#record!,
      expiresAt: Math.round(coordination.clock()),
      operation: randomUUID(),
    };
    const written = await coordination
      .putGroup(leadership.group, this.#version, record);
    this.#write(Events.CHANGE_GIVEN_UP, {
      version: this.#version,
      outcome: written.isOk() ? "done" : written.error.kind,
    });
  }

  /** Waits until an instance leads under a higher term, at most until a time (monotonic ms). */
  async #waitForTerm(id: string, until: number): Promise<number | undefined> {
    const { directory } = this.#options;
    await sleep(FIRST_STATUS_DELAY_MS);
    while (this.#mayOrder() && clock.now() < until) {
      const instance = directory.get(id);
      if (!instance) return undefined;
      const status = await this.#search.status(instance);
      if (
        status.isOk() && status.value.role === "primary" &&
        status.value.term > this.#record!.term
      ) return status.value.term;
      await sleep(POLL_INTERVAL_MS);
    }
    return undefined;
  }

  /** Whether this proxy still owns the change and has enough time left for another order. */
  #mayOrder(): boolean {
    const { coordination, leadership } = this.#options;
    const current = coordination.group(leadership.group);
    if (current && current.version > this.#version) return false;
    // The row of the change is lost, and others may start one that they can't tell from it.
    if (eraOf(coordination.version) > eraOf(this.#version)) return false;
    const remaining = this.#record!.expiresAt - coordination.clock();
    return remaining > ORDER_MARGIN_MS;
  }

  /** Writes the row that ends the change and names the primary; repeats it until the change expires. */
  async #finish(primary: string, term: number): Promise<void> {
    const { coordination, leadership } = this.#options;
    const record: GroupRecord = {
      ...this.#createRecord("steady", primary, term),
      expiresAt: this.#record!.expiresAt,
    };
    for (;;) {
      const written = await coordination.putGroup(
        leadership.group,
        this.#version,
        record,
      );
      this.#write(Events.CHANGE_SETTLED, {
        primary,
        term,
        outcome: written.isOk() ? "done" : written.error.kind,
      });
      if (written.isOk() || written.error.kind === "conflict") return;
      if (coordination.clock() >= record.expiresAt) return;
      await sleep(FINISH_RETRY_DELAY_MS);
    }
  }

  #write(
    kind: Parameters<EventLog["write"]>[0],
    fields: Readonly<Record<string, unknown>>,
  ): void {
    const { group } = this.#options.leadership;
    this.#options.log.write(kind, { group, ...fields });
  }
}

/** The former primary's term as far as the instances know it; 0 if none answered. */
function formerTerm(survey: Survey | undefined): number {
  if (!survey) return 0;
  // An instance that leads already does so under a later term.
  return survey.primary ? survey.term - 1 : survey.term;
}
