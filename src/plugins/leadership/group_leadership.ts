/**
 * Which instance leads a group, and whether an answer of it may be passed on.
 *
 * Nothing fences the old primary when another is promoted. So an answer that
 * depends on the primary is passed on only after a confirmation that was asked
 * for after the answer had come, or within a lease: whoever wants to promote
 * first changes the group's row and then waits until every proxy has heeded
 * that or its lease has run out. While the store is out of reach, a status round
 * among the other instances stands in for it, since a promotion pauses them first.
 *
 * @module
 */
import { ClockGapDetector } from "../../kernel/clock_gap_detector.ts";
import { type EventLog, Events } from "../../kernel/events.ts";
import type { InstanceDirectory } from "../deployment/instance_directory.ts";
import { ChangeEstimate } from "./change_estimate.ts";
import type { Coordination } from "./coordination.ts";

/**
 * How long after a call to the store was sent its answer lets this proxy use
 * the primaries, in ms. Covers two missed calls of the usual interval.
 */
export const LEASE_MS = 3_000;

/** Margin for a proxy whose timers or answers are late, in ms; the lease is counted from before its last call was sent, and the wait from after the row was written. */
const LEASE_MARGIN_MS = 600;

/** How long a promotion waits for a proxy that does not answer, in ms. */
export const LEASE_EXPIRY_WAIT_MS = LEASE_MS + LEASE_MARGIN_MS;

/** The primary of a group under one version of its row. */
export interface Leader {
  readonly instance: string;
  /** Changes with each change of the primary; equal epochs mean the same reign. */
  readonly epoch: string;
}

/** Asks the other instances of a group whether a promotion is under way. */
export interface StatusRounds {
  /** Resolves true when a round that begins now shows that the leader was not replaced. */
  confirm(
    group: string,
    leader: Leader,
    deadline: number,
  ): Promise<boolean>;
}

/** What the leadership of a group is made with. */
export interface GroupLeadershipOptions {
  readonly group: string;
  readonly coordination: Coordination;
  readonly directory: InstanceDirectory;
  readonly rounds: StatusRounds;
  /** Ends the statements at a primary that counts as dead. */
  readonly abandon: (instance: string) => void;
  readonly log: EventLog;
}

/** How long a heeded planned change lets running work go on, in ms; below the lease. */
const PLANNED_PATIENCE_MS = 1_200;

/** An answer of the primary older than this, in ms, does not speak against its death. */
export const HEARD_WITHIN_MS = 400;

/** Held work asks this often, in ms, whether a leader is still expected in time. */
const HOLD_LOOK_MS = 100;

/** How long without a confirmation before status rounds are begun, in ms; a store that is merely slow answers within it. */
const ROUND_AFTER_MS = 150;

/** Leadership of one group. */
export class GroupLeadership {
  readonly #options: GroupLeadershipOptions;
  readonly #estimate = new ChangeEstimate();
  readonly #gap = new ClockGapDetector();
  readonly #waiters = new Set<() => void>();
  #gapCount = 0;
  /** Confirmations sent before this do not count. */
  #validFrom = -Infinity;
  #running = 0;
  /** Version of the change that was last heeded. */
  #heeded = 0;
  /** Whether the reign was given up for a change, so that no answer of it counts any more. */
  #released = false;
  /** Monotonic ms since which a change is known. */
  #closingSince = -Infinity;
  /** The newest confirmation before the change was known. */
  #steadyConfirmedAt = -Infinity;
  #lastEpoch = "";
  /** Term that the leader's answers have shown in this reign. */
  #term = 0;
  /** The leader has shown a later term than its own: it follows another primary. */
  #replaced = false;
  #heardAt = -Infinity;

  constructor(options: GroupLeadershipOptions) {
    this.#options = options;
    this.#gapCount = this.#gap.count();
  }

  get group(): string {
    return this.#options.group;
  }

  /** Term of the present reign; 0 while it is not known. */
  get term(): number {
    return this.#record?.value.term || this.#term;
  }

  /** Monotonic ms of the leader's last answer to this proxy. */
  get heardAt(): number {
    return this.#heardAt;
  }

  /** Whether the primary is being replaced. */
  get changing(): boolean {
    return this.#record?.value.phase === "changing";
  }

  /** The instance that leads by all that is known; also while it is being replaced. */
  get primary(): string | undefined {
    const record = this.#record;
    if (record) return record.value.primary;
    const claimants = this.#options.directory.group(this.group)
      .filter((instance) => instance.claimsPrimary);
    return claimants.length === 1 ? claimants[0]!.id : undefined;
  }

  /** The leader that new work may use; undefined while there is none or it is being replaced. */
  current(): Leader | undefined {
    if (this.changing) return undefined;
    const instance = this.primary;
    if (!instance) return undefined;
    const epoch = `${this.#record?.version ?? 0}:${instance}`;
    if (epoch !== this.#lastEpoch) this.#begin(epoch);
    return this.#replaced ? undefined : { instance, epoch };
  }

  /** Time, in ms, after which a leader is expected; undefined when that is not known. */
  expectedIn(now = performance.now()): number | undefined {
    return this.#estimate.left(now);
  }

  /** Waits for a leader that new work may use; undefined at once when none is expected before the deadline (monotonic ms). */
  async usable(deadline: number): Promise<Leader | undefined> {
    for (;;) {
      const leader = this.current();
      const now = performance.now();
      if (leader) {
        this.#estimate.ended(now);
        return leader;
      }
      this.#estimate.began(now);
      const left = this.#estimate.left(now);
      if (left === undefined || now + left > deadline) return undefined;
      if (!await this.#changed(Math.min(deadline, now + HOLD_LOOK_MS))) {
        if (performance.now() >= deadline) return undefined;
      }
    }
  }

  /** Notes that work with the leader begins; the function that it gives notes the end. */
  enter(): () => void {
    this.#running += 1;
    let ended = false;
    return () => {
      if (ended) return;
      ended = true;
      this.#running -= 1;
      if (this.#running === 0) this.#heed();
    };
  }

  /** Notes an answer of the leader. */
  heard(term: number | undefined): void {
    this.#heardAt = performance.now();
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

  /** Whether an answer of this reign that has come by now may be passed on without asking anybody. */
  isConfirmed(epoch: string): boolean {
    if (!this.#isCurrent(epoch)) return false;
    return performance.now() < this.#leaseEnd();
  }

  /** Whether an answer of this reign that has come by now may be passed on; asks where it must, until the deadline. */
  async confirm(leader: Leader, deadline: number): Promise<boolean> {
    const asked = performance.now();
    let rounds = false;
    while (this.#isCurrent(leader.epoch)) {
      if (performance.now() < this.#leaseEnd()) return true;
      if (this.#options.coordination.confirmedAt >= asked) return true;
      const now = performance.now();
      if (now >= deadline) return false;
      if (rounds || now - asked >= ROUND_AFTER_MS) {
        if (await this.#round(leader, deadline)) return true;
        if (!this.#isCurrent(leader.epoch)) return false;
      }
      rounds = true;
      await this.#changed(Math.min(deadline, now + ROUND_AFTER_MS));
    }
    return false;
  }

  /** Takes note of new rows or entries; called after each answer of the store. */
  refresh(): void {
    this.current();
    if (!this.changing) {
      this.#steadyConfirmedAt = this.#options.coordination.confirmedAt;
    }
    this.#heed();
    for (const wake of [...this.#waiters]) wake();
  }

  get #record() {
    return this.#options.coordination.group(this.group);
  }

  /** Whether the reign is the present one, or the one that a planned change lets end its work. */
  #isCurrent(epoch: string): boolean {
    if (epoch !== this.#lastEpoch || this.#replaced) return false;
    if (!this.changing) {
      const instance = this.primary;
      return epoch === `${this.#record?.version ?? 0}:${instance}`;
    }
    return !this.#released && performance.now() < this.#leaseEnd();
  }

  /** Monotonic ms up to which answers count as confirmed. */
  #leaseEnd(): number {
    const gaps = this.#gap.count();
    if (gaps !== this.#gapCount) {
      this.#gapCount = gaps;
      this.#validFrom = performance.now();
      this.#options.log.write(Events.LEASE_DROPPED, {
        group: this.group,
        reason: "the time of day and the steady clock went apart",
      });
    }
    const { confirmedAt } = this.#options.coordination;
    // An answer that shows a change may have been asked for after the change began.
    const at = this.changing ? this.#steadyConfirmedAt : confirmedAt;
    if (at < this.#validFrom) return -Infinity;
    return at + LEASE_MS;
  }

  async #round(leader: Leader, deadline: number): Promise<boolean> {
    if (this.changing) return false;
    const { rounds } = this.#options;
    return await rounds.confirm(this.group, leader, deadline);
  }

  #begin(epoch: string): void {
    const before = this.#lastEpoch;
    this.#lastEpoch = epoch;
    this.#closingSince = -Infinity;
    this.#released = false;
    this.#replaced = false;
    this.#term = 0;
    this.#heardAt = -Infinity;
    this.#options.log.write(Events.PRIMARY_FOUND, {
      group: this.group,
      epoch,
      before,
      term: this.term,
    });
  }

  /** Tells the others that this proxy has let go of a primary that is being replaced. */
  #heed(): void {
    const record = this.#record;
    if (record?.value.phase !== "changing") return;
    if (this.#heeded === record.version) return;
    const now = performance.now();
    if (this.#closingSince === -Infinity) this.#closingSince = now;
    const patience = record.value.planned ? PLANNED_PATIENCE_MS : 0;
    const waited = now - this.#closingSince;
    if (this.#running > 0 && waited < patience) {
      setTimeout(() => this.#heed(), patience - waited + 1);
      return;
    }
    this.#heeded = record.version;
    this.#released = true;
    const heardAgo = this.#heardAt === -Infinity
      ? null
      : Math.round(now - this.#heardAt);
    const silent = heardAgo === null || heardAgo > HEARD_WITHIN_MS;
    if (!record.value.planned && silent) {
      this.#options.abandon(record.value.primary);
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
      running: this.#running,
      outcome: written.isOk() ? "told" : written.error.kind,
    });
  }

  /** Waits for the next change; false at the deadline. */
  #changed(deadline: number): Promise<boolean> {
    const left = deadline - performance.now();
    if (left <= 0) return Promise.resolve(false);
    return new Promise((resolve) => {
      const wake = () => {
        clearTimeout(timer);
        this.#waiters.delete(wake);
        resolve(true);
      };
      const timer = setTimeout(() => {
        this.#waiters.delete(wake);
        resolve(false);
      }, left);
      this.#waiters.add(wake);
    });
  }
}
