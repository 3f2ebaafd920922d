/**
 * How long a new request is expected to wait at one instance, from the measured
 * slot times and what is queued ahead of it.
 *
 * @module
 */
import { clock } from "../../kernel/clock.ts";
import { MeanDuration } from "../connections/mean_duration.ts";
import type { AccountConnections } from "./account_connections.ts";
import { URGENT_RANK } from "./dispatcher.ts";
import type { FairQueue } from "./fair_queue.ts";
import type { SlotTimes } from "./slot_times.ts";
import type { StatementLimit } from "./statement_limit.ts";

/** Least part of the slots that a rank is assumed to get: the exception for starved waiters gives it one grant of eight. */
const LEAST_RANK_PART = 1 / 8;

/** What the estimate is made from. */
export interface WaitSources {
  readonly queue: Pick<FairQueue<unknown>, "size" | "timeAhead" | "waitOf">;
  /** Statements of open transactions, which go first. */
  readonly continuing: Pick<FairQueue<unknown>, "size">;
  readonly connections: Pick<
    AccountConnections,
    "allocated" | "share" | "idleCount" | "openCount"
  >;
  readonly slotTimes: SlotTimes;
  readonly limit: StatementLimit;
  /** Whether another statement may be sent now. */
  readonly hasRoom: () => boolean;
}

/** Estimates waits at one instance. */
export class WaitEstimate {
  readonly #sources: WaitSources;
  readonly #holdTime = new MeanDuration();

  constructor(sources: WaitSources) {
    this.#sources = sources;
  }

  /** Records for how long, in ms, a connection was in use. */
  recordHold(duration: number): void {
    this.#holdTime.record(duration);
  }

  /** Expected wait in ms; `account` is undefined for one that has used little. */
  expect(account: string | undefined, rank: number): number {
    const now = clock.now();
    const waited = account === undefined
      ? 0
      : this.#sources.queue.waitOf(account, rank, now);
    return Math.max(
      waited,
      this.#expectSlot(account, rank, now),
      this.#expectConnection(),
    );
  }

  #expectSlot(account: string | undefined, rank: number, now: number): number {
    const { queue, continuing, slotTimes, limit, hasRoom } = this.#sources;
    const isUrgent = rank === URGENT_RANK;
    const isNext = hasRoom() || (isUrgent && limit.current < 1);
    const ahead = queue.timeAhead(account, rank, (one) => slotTimes.of(one)) +
      continuing.size * slotTimes.mean + (isNext ? 0 : slotTimes.of(rank));
    // Work of the ranks before goes on to arrive while the request waits.
    const slots = Math.max(
      LEAST_RANK_PART * limit.current,
      limit.current - slotTimes.slotsUsedBefore(rank, now),
    );
    return limit.remainingPause(now, isUrgent) + ahead / slots;
  }

  /** Expected wait for a connection when all are in use, also by transactions that rest. */
  #expectConnection(): number {
    const { queue, connections } = this.#sources;
    const { allocated, share, idleCount, openCount } = connections;
    if (allocated < share || idleCount > 0) return 0;
    return this.#holdTime.mean * (queue.size + 1) / Math.max(1, openCount);
  }
}
