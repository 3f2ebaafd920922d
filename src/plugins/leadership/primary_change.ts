/**
 * One change of a group's primary, from the row in the store to the new primary.
 *
 * 1. The row says `changing`: no proxy begins work with the old primary.
 * 2. Each proxy heeds the row, or its lease runs out.
 * 3. Where a proxy was not heard, the other instances are paused first, which
 *    tells a proxy without the store that a promotion is under way.
 * 4. The instance with the furthest log is promoted, and the row names it.
 *
 * @module
 */
import { randomUUID } from "node:crypto";
import { type EventLog, Events } from "../../kernel/events.ts";
import { sleep } from "../../utils/sleep.ts";
import type { LinkProvider } from "../connections/upstream_pools.ts";
import type { InstanceDirectory } from "../deployment/instance_directory.ts";
import { formatPosition } from "../upstream/position.ts";
import {
  type Candidate,
  CandidateSearch,
  POLL_MS,
} from "./candidate_search.ts";
import type {
  Coordination,
  GroupRecord,
  HostRecord,
  PromotionOrder,
} from "./coordination.ts";
import {
  type GroupLeadership,
  HEARD_WITHIN_MS,
  LEASE_EXPIRY_WAIT_MS,
} from "./group_leadership.ts";

/** Time that a change may take before another proxy takes it over, in ms: the wait for leases, then one promotion. */
export const CHANGE_TIME_MS = 9_000;

/** Time left of a change below which nothing is ordered any more, in ms; covers a call that is held up on its way. */
const ORDER_MARGIN_MS = 1_500;

/** Time for one call that orders a promotion, in ms. */
const PROMOTE_TIMEOUT_MS = 1_000;

/** How long an order whose reply was lost is given to show its effect, in ms, before it is given again: the slowest users' databases take 1,000 ms. */
const SETTLE_TIME_MS = 1_500;

/** First look at an instance that was ordered to lead, in ms; the fastest users' databases take 300 ms. */
const FIRST_LOOK_MS = 200;

/** What a change is made with. */
export interface PrimaryChangeOptions {
  /** Name of this proxy. */
  readonly proxy: string;
  readonly leadership: GroupLeadership;
  readonly coordination: Coordination;
  readonly directory: InstanceDirectory;
  readonly pools: LinkProvider;
  readonly order: PromotionOrder;
  readonly log: EventLog;
}

/** Why a change is made. */
export interface ChangeReason {
  /** The primary lives and hands over; else it counts as dead. */
  readonly planned: boolean;
  readonly text: string;
}

/** How a change ended. */
export type ChangeOutcome = "changed" | "abandoned" | "lost";

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

  /** Runs the change to its end. */
  async run(): Promise<ChangeOutcome> {
    const begun = performance.now();
    const outcome = await this.#run();
    this.#write(Events.SWITCHOVER_ENDED, {
      outcome,
      elapsed: Math.round(performance.now() - begun),
    });
    return outcome;
  }

  async #run(): Promise<ChangeOutcome> {
    if (!await this.#announce()) return "lost";
    const absent = await this.#waitUntilHeeded();
    if (!this.#reason.planned && this.#someoneHears()) {
      await this.#settle(this.#record!.primary, this.#record!.term);
      return "abandoned";
    }
    const candidates = await this.#search.find({
      primary: this.#record!.primary,
      term: this.#record!.term + 1,
      planned: this.#reason.planned,
      pausing: absent.length > 0,
    });
    for (const candidate of candidates) {
      const promoted = await this.#promote(candidate);
      if (promoted === "lost") return "lost";
      if (promoted !== undefined) {
        await this.#settle(candidate.id, promoted);
        await this.#search.resume(candidate.id);
        if (absent.length > 0) {
          await this.#options.coordination.markAbsent(absent);
        }
        return "changed";
      }
    }
    await this.#search.resume();
    await this.#settle(this.#record!.primary, this.#record!.term);
    return "abandoned";
  }

  /** Puts the row that tells everyone of the change. */
  async #announce(): Promise<boolean> {
    const { leadership, coordination, proxy } = this.#options;
    const present = coordination.group(leadership.group);
    const primary = leadership.primary;
    if (!primary) return false;
    this.#record = {
      phase: "changing",
      primary,
      term: leadership.term,
      holder: proxy,
      holderLife: coordination.incarnation,
      planned: this.#reason.planned,
      expiresAt: coordination.clock() + CHANGE_TIME_MS,
      operation: randomUUID(),
    };
    const written = await coordination.putGroup(
      leadership.group,
      present?.version ?? 0,
      this.#record,
    );
    this.#write(Events.SWITCHOVER_STARTED, {
      primary,
      planned: this.#reason.planned,
      reason: this.#reason.text,
      before: present?.version ?? 0,
      outcome: written.isOk() ? "announced" : written.error.kind,
    });
    if (written.isErr()) return false;
    this.#version = written.value.version;
    return true;
  }

  /** Waits until every proxy has heeded the change or can't hold a lease any more; gives those that were not heard. */
  async #waitUntilHeeded(): Promise<readonly string[]> {
    const { leadership, coordination } = this.#options;
    const until = performance.now() + LEASE_EXPIRY_WAIT_MS;
    const missing = () =>
      [...coordination.hosts()]
        .filter(([name, { value }]) => {
          if (isLongAbsent(value, coordination.clock())) return false;
          const heeded = coordination.acknowledgement(leadership.group, name);
          return heeded?.version !== this.#version;
        })
        .map(([name]) => name);
    while (missing().length > 0 && performance.now() < until) {
      await sleep(POLL_MS);
    }
    const unheard = missing();
    // A proxy that is long absent has no lease, but may go on with rounds.
    const absent = [...coordination.hosts()]
      .filter(([, { value }]) => value.absentSince !== undefined)
      .map(([name]) => name);
    this.#write(Events.CHANGE_AWAITED, {
      version: this.#version,
      proxies: coordination.hosts().size,
      unheard,
      absent,
    });
    return [...new Set([...unheard, ...absent])];
  }

  /** Whether a proxy has had an answer of the primary just before it heeded the change. */
  #someoneHears(): boolean {
    const { leadership, coordination, proxy } = this.#options;
    const witness = [...coordination.hosts().keys()].find((name) => {
      if (name === proxy) return false;
      const heeded = coordination.acknowledgement(leadership.group, name);
      if (heeded?.version !== this.#version) return false;
      return heeded.heardAgo !== null && heeded.heardAgo < HEARD_WITHIN_MS;
    });
    if (!witness) return false;
    this.#write(Events.FAILOVER_WITHHELD, { witness });
    return true;
  }

  /** The new term; undefined when the candidate can't lead, "lost" when this proxy may not go on. */
  async #promote(candidate: Candidate): Promise<number | "lost" | undefined> {
    const { leadership, order, proxy } = this.#options;
    if (
      candidate.status.role === "primary" &&
      candidate.status.term > this.#record!.term
    ) return candidate.status.term;
    while (this.#mayOrder()) {
      const reply = await order.promote(
        {
          group: leadership.group,
          instance: candidate.id,
          holder: proxy,
          token: this.#version,
        },
        performance.now() + PROMOTE_TIMEOUT_MS,
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
      if (reply.kind !== "not sent") {
        const patience = reply.kind === "accepted" ? Infinity : SETTLE_TIME_MS;
        const until = performance.now() + patience;
        const term = await this.#waitForTerm(candidate.id, until);
        if (term !== undefined) return term;
      }
      await sleep(POLL_MS);
    }
    return "lost";
  }

  /** Waits until an instance leads under a higher term, until a time (monotonic ms). */
  async #waitForTerm(id: string, until: number): Promise<number | undefined> {
    const { directory } = this.#options;
    await sleep(FIRST_LOOK_MS);
    while (this.#mayOrder() && performance.now() < until) {
      const instance = directory.get(id);
      if (!instance) return undefined;
      const status = await this.#search.status(instance);
      if (
        status.isOk() && status.value.role === "primary" &&
        status.value.term > this.#record!.term
      ) return status.value.term;
      await sleep(POLL_MS);
    }
    return undefined;
  }

  /** Whether the change is still this proxy's, with time to spare for one more order. */
  #mayOrder(): boolean {
    const { coordination, leadership } = this.#options;
    const present = coordination.group(leadership.group);
    if (present && present.version > this.#version) return false;
    const left = this.#record!.expiresAt - coordination.clock();
    return left > ORDER_MARGIN_MS;
  }

  /** Puts the row that names the primary from now on. */
  async #settle(primary: string, term: number): Promise<void> {
    const { coordination, leadership, proxy } = this.#options;
    const written = await coordination.putGroup(
      leadership.group,
      this.#version,
      {
        phase: "steady",
        primary,
        term,
        holder: proxy,
        holderLife: coordination.incarnation,
        planned: this.#reason.planned,
        expiresAt: this.#record!.expiresAt,
        operation: randomUUID(),
      },
    );
    this.#write(Events.CHANGE_SETTLED, {
      primary,
      term,
      outcome: written.isOk() ? "done" : written.error.kind,
    });
  }

  #write(
    kind: Parameters<EventLog["write"]>[0],
    fields: Readonly<Record<string, unknown>>,
  ): void {
    const { group } = this.#options.leadership;
    this.#options.log.write(kind, { group, ...fields });
  }
}

/** Whether a proxy was marked absent so long ago that it holds no lease. */
function isLongAbsent(host: HostRecord, clock: number): boolean {
  const { absentSince } = host;
  return absentSince !== undefined &&
    clock - absentSince > LEASE_EXPIRY_WAIT_MS;
}
