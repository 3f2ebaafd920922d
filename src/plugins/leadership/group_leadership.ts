/**
 * Tracks the leader of a group and decides whether its answers may be forwarded.
 *
 * Nothing fences the old primary when another instance is promoted. An answer
 * that depends on the primary is therefore forwarded only while a lease is valid,
 * or after a confirmation that was requested after the answer arrived. Before a
 * promotion, a proxy changes the group's row and waits until every other proxy
 * has acknowledged the change or its lease has expired. While the store is
 * unreachable, a status round among the other instances replaces the
 * confirmation, since a promotion pauses those instances first.
 *
 * @module
 */
import { clock } from "../../kernel/clock.ts";
import { type EventLog, Events } from "../../kernel/events.ts";
import type { InstanceDirectory } from "../deployment/instance_directory.ts";
import { ChangeEstimate } from "./change_estimate.ts";
import type { Coordination } from "./coordination.ts";
import { isEraSettled } from "./era_settling.ts";

/**
 * How long an answer of the store lets this proxy use the primaries, in ms,
 * counted from the sending of the call. Covers two missed calls of the usual interval.
 */
export const LEASE_MS = 3_000;

/**
 * Margin for a proxy whose timers or answers are late, in ms; the lease starts
 * before its last call is sent, and the wait starts after the row is written.
 */
const LEASE_MARGIN_MS = 600;

/** How long a promotion waits for a proxy that does not acknowledge the change, in ms. */
export const LEASE_EXPIRY_WAIT_MS = LEASE_MS + LEASE_MARGIN_MS;

/** The primary of a group under one version of its row. */
export interface Leader {
  readonly instance: string;
  /** Identifies one leadership period; differs after each change of primary. */
  readonly epoch: string;
}

/** Checks with the instances of a group whether a promotion is in progress. */
export interface StatusRounds {
  /** Resolves to true if a round that starts now shows that the leader was not replaced. */
  confirm(
    group: string,
    leader: Leader,
    deadline: number,
  ): Promise<boolean>;
}

/** Dependencies of a group's leadership. */
export interface GroupLeadershipOptions {
  readonly group: string;
  readonly coordination: Coordination;
  readonly directory: InstanceDirectory;
  readonly rounds: StatusRounds;
  /** Terminates the statements that run on a primary considered dead. */
  readonly terminateStatements: (instance: string) => void;
  readonly log: EventLog;
}

/** How long running work may continue after a planned change is seen, in ms; shorter than the lease. */
const PLANNED_RELEASE_TIMEOUT_MS = 1_200;

/** An answer older than this, in ms, is no evidence that the primary is alive. */
export const RECENT_ANSWER_MS = 400;

/** Interval at which held work checks whether a leader is still expected in time, in ms. */
const HOLD_CHECK_INTERVAL_MS = 100;

/**
 * How long to wait for a confirmation of the store before status rounds start,
 * in ms; a slow store still answers within it.
 */
const ROUND_DELAY_MS = 150;

/** Leader, lease and confirmations of one group, as this proxy knows them. */
export class GroupLeadership {
  readonly #options: GroupLeadershipOptions;
  readonly #estimate = new ChangeEstimate();
  readonly #waiters = new Set<() => void>();
  #runningCount = 0;
  /** Row version of the last change that was acknowledged. */
  #acknowledgedVersion = 0;
  /** Whether this proxy has released the leader for a change, so that its answers are no longer valid. */
  #released = false;
  /** Monotonic ms at which the current change was first seen. */
  #changeSeenAt = -Infinity;
  /** Time of the latest confirmation before the change was seen. */
  #steadyConfirmedAt = -Infinity;
  #lastEpoch = "";
  /** Term reported by the leader's answers in this epoch. */
  #term = 0;
  /**
   * Whether the leader has reported a later term than its own, which means that
   * it follows another primary.
   */
  #replaced = false;
  #lastAnswerAt = -Infinity;
  /** The instance that last was the only one to claim the lead. */
  #lastClaimant: string | undefined;

  constructor(options: GroupLeadershipOptions) {
    this.#options = options;
  }

  get group(): string {
    return this.#options.group;
  }

  /** Term of the current leader; 0 if unknown. */
  get term(): number {
    return this.#record?.value.term || this.#term;
  }

  /** Monotonic ms at which the leader last answered this proxy. */
  get lastAnswerAt(): number {
    return this.#lastAnswerAt;
  }

  /** Whether the primary is being replaced. */
  get changing(): boolean {
    return this.#record?.value.phase === "changing";
  }

  /**
   * The last known leader, also while it is being replaced. Taken from the
   * group's row, or without one from the only instance that claims to be the
   * primary, also once its entry is gone; undefined if none or several claim it.
   */
  get primary(): string | undefined {
    const record = this.#record;
    if (record) return record.value.primary || undefined;
    const claimants = this.#options.directory.group(this.group)
      .filter((instance) => instance.claimsPrimary);
    if (claimants.length > 1) return undefined;
    this.#lastClaimant = claimants[0]?.id ?? this.#lastClaimant;
    if (claimants.length === 1) return this.#lastClaimant;
    const isListed = this.#lastClaimant !== undefined &&
      this.#options.directory.get(this.#lastClaimant) !== undefined;
    return isListed ? undefined : this.#lastClaimant;
  }

  /** Whether the last known leader follows another primary, which the group's row doesn't name. */
  get isReplaced(): boolean {
    return this.#replaced && !this.changing;
  }

  /** The leader that new work may use; undefined if there is none or it is being replaced. */
  current(): Leader | undefined {
    if (this.changing) return undefined;
    const instance = this.primary;
    if (!instance) return undefined;
    const epoch = this.#epochOf(instance);
    if (epoch !== this.#lastEpoch) this.#startEpoch(epoch);
    if (this.#replaced || this.isDrained(instance)) return undefined;
    return { instance, epoch };
  }

  /**
   * Whether an instance has been leaving for so long that it gets no more work.
   * A proxy that the store doesn't answer goes on, since nobody could replace a
   * primary for it.
   */
  isDrained(instance: string): boolean {
    const { coordination, directory } = this.#options;
    return directory.isDrained(instance) &&
      clock.now() - coordination.confirmedAt < LEASE_MS;
  }

  /** Expected time until a leader is usable, in ms; undefined if unknown. */
  expectedIn(now = clock.now()): number | undefined {
    return this.#estimate.remaining(now);
  }

  /**
   * Waits for a leader that new work may use; resolves to undefined at once if
   * none is expected before the deadline (monotonic ms).
   */
  async waitForLeader(deadline: number): Promise<Leader | undefined> {
    for (;;) {
      const leader = this.current();
      const now = clock.now();
      if (leader) {
        this.#estimate.finish(now);
        return leader;
      }
      this.#estimate.start(now);
      const wait = this.#estimate.remaining(now);
      if (wait === undefined || now + wait > deadline) return undefined;
      if (
        !await this.#waitForRefresh(
          Math.min(deadline, now + HOLD_CHECK_INTERVAL_MS),
        )
      ) {
        if (clock.now() >= deadline) return undefined;
      }
    }
  }

  /** Registers work on the leader; returns a function that marks the work as finished. */
  beginWork(): () => void {
    this.#runningCount += 1;
    let ended = false;
    return () => {
      if (ended) return;
      ended = true;
      this.#runningCount -= 1;
      if (this.#runningCount === 0) this.#release();
    };
  }

  /** Records an answer of the leader and the term that it reported. */
  recordAnswer(term: number | undefined): void {
    this.#lastAnswerAt = clock.now();
    if (term === undefined) return;
    if (this.term === 0) this.#term = term;
    if (term <= this.term || this.#replaced) return;
    this.#replaced = true;
    this.#options.log.write(Events.FORMER_PRIMARY_RETURNED, {
      group: this.group,
      epoch: this.#lastEpoch,
      term,
      reign: this.term,
    });
  }

  /** Whether an answer received in this epoch up to now may be forwarded without a further confirmation. */
  isConfirmed(epoch: string): boolean {
    if (!this.#isCurrent(epoch)) return false;
    return clock.now() < this.#leaseEnd();
  }

  /**
   * Whether an answer received in this epoch up to now may be forwarded;
   * requests a confirmation if needed, until the deadline (monotonic ms).
   */
  async confirm(leader: Leader, deadline: number): Promise<boolean> {
    const startedAt = clock.now();
    let hasWaited = false;
    while (this.#isCurrent(leader.epoch)) {
      if (clock.now() < this.#leaseEnd()) return true;
      if (this.#confirmedAt >= startedAt) return true;
      const now = clock.now();
      if (now >= deadline) return false;
      if (hasWaited || now - startedAt >= ROUND_DELAY_MS) {
        if (await this.#runRound(leader, deadline)) return true;
        if (!this.#isCurrent(leader.epoch)) return false;
      }
      hasWaited = true;
      await this.#waitForRefresh(Math.min(deadline, now + ROUND_DELAY_MS));
    }
    return false;
  }

  /** Applies new rows and instance entries; called after each answer of the store. */
  refresh(): void {
    this.current();
    if (!this.changing) this.#steadyConfirmedAt = this.#confirmedAt;
    this.#release();
    for (const wake of [...this.#waiters]) wake();
  }

  get #record() {
    return this.#options.coordination.group(this.group);
  }

  /** Whether the epoch is current, or is being replaced but was not released yet and still has a lease. */
  #isCurrent(epoch: string): boolean {
    if (epoch !== this.#lastEpoch || this.#replaced) return false;
    if (!this.changing) {
      const instance = this.primary;
      return instance !== undefined && epoch === this.#epochOf(instance);
    }
    return !this.#released && clock.now() < this.#leaseEnd();
  }

  /** Monotonic ms until which answers count as confirmed. */
  #leaseEnd(): number {
    // An answer that reports a change may have been requested after the change began.
    const at = this.changing ? this.#steadyConfirmedAt : this.#confirmedAt;
    return at + LEASE_MS;
  }

  /**
   * When the store last confirmed the rows. While a new era is not settled they
   * may lack a change in progress, which only the instances show.
   */
  get #confirmedAt(): number {
    const { coordination } = this.#options;
    return isEraSettled(coordination) ? coordination.confirmedAt : -Infinity;
  }

  /** Identifies the write that named the leader, which may have been repeated under another version. */
  #epochOf(instance: string): string {
    return `${this.#record?.value.operation ?? "none"}:${instance}`;
  }

  async #runRound(leader: Leader, deadline: number): Promise<boolean> {
    if (this.changing) return false;
    const { rounds } = this.#options;
    return await rounds.confirm(this.group, leader, deadline);
  }

  #startEpoch(epoch: string): void {
    const before = this.#lastEpoch;
    this.#lastEpoch = epoch;
    this.#changeSeenAt = -Infinity;
    this.#released = false;
    this.#replaced = false;
    this.#term = 0;
    this.#lastAnswerAt = -Infinity;
    this.#options.log.write(Events.PRIMARY_FOUND, {
      group: this.group,
      epoch,
      before,
      term: this.term,
    });
  }

  /**
   * Releases a primary that is being replaced and acknowledges the change; a
   * planned change first lets running work finish.
   */
  #release(): void {
    const record = this.#record;
    if (record?.value.phase !== "changing") return;
    if (this.#acknowledgedVersion === record.version) return;
    const now = clock.now();
    if (this.#changeSeenAt === -Infinity) this.#changeSeenAt = now;
    const timeout = record.value.planned ? PLANNED_RELEASE_TIMEOUT_MS : 0;
    const waited = now - this.#changeSeenAt;
    if (this.#runningCount > 0 && waited < timeout) {
      setTimeout(() => this.#release(), timeout - waited + 1);
      return;
    }
    this.#acknowledgedVersion = record.version;
    this.#released = true;
    const heardAgo = this.#lastAnswerAt === -Infinity
      ? null
      : Math.round(now - this.#lastAnswerAt);
    const silent = heardAgo === null || heardAgo > RECENT_ANSWER_MS;
    if (!record.value.planned && silent) {
      this.#options.terminateStatements(record.value.primary);
    }
    void this.#acknowledge(record.version, heardAgo);
  }

  async #acknowledge(version: number, heardAgo: number | null): Promise<void> {
    const { coordination, log } = this.#options;
    const written = await coordination.acknowledge(this.group, {
      version,
      heardAgo,
    });
    log.write(Events.CHANGE_HEEDED, {
      group: this.group,
      version,
      heardAgo,
      running: this.#runningCount,
      outcome: written.isOk() ? "told" : written.error.kind,
    });
  }

  /** Waits for the next refresh; resolves to false at the deadline. */
  #waitForRefresh(deadline: number): Promise<boolean> {
    const remaining = deadline - clock.now();
    if (remaining <= 0) return Promise.resolve(false);
    return new Promise((resolve) => {
      const wake = () => {
        clearTimeout(timer);
        this.#waiters.delete(wake);
        resolve(true);
      };
      const timer = setTimeout(() => {
        this.#waiters.delete(wake);
        resolve(false);
      }, remaining);
      this.#waiters.add(wake);
    });
  }
}
