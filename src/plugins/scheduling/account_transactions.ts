/**
 * Limits the open transactions at one instance, for all accounts together and
 * for each. A transaction holds its connection while its caller rests, so a few
 * accounts with many transactions would keep all others from a connection.
 *
 * @module
 */
import { clock } from "../../kernel/clock.ts";
import { MeanDuration } from "../connections/mean_duration.ts";
import {
  computeTransactionSlots,
  type ReleaseSlot,
} from "../connections/transaction_limit.ts";
import { NO_ACCOUNT } from "./account_connections.ts";
import {
  type AdmissionRequest,
  longestWait,
  stayUntil,
} from "./fair_admission.ts";
import { FairQueue, type QueueRequest } from "./fair_queue.ts";

/**
 * An account may hold this many times the slots that are free (dynamic threshold of Choudhury and
 * Hahne, 1998). One account alone gets two thirds of the slots, and others always find some.
 */
const FREE_SLOTS_FACTOR = 2;

/** Slots for open transactions at one instance; at least one. */
export class AccountTransactions {
  readonly #queue: FairQueue<ReleaseSlot | undefined>;
  readonly #held = new Map<string, number>();
  readonly #duration = new MeanDuration();
  #slots: number;
  #inUse = 0;

  /** `share` is the number of connections that this proxy may hold. */
  constructor(share: number, queueLength: number) {
    this.#slots = computeTransactionSlots(share);
    this.#queue = new FairQueue(queueLength);
  }

  /** Number of slots in use. */
  get inUse(): number {
    return this.#inUse;
  }

  /** Adapts the number of slots to a new share. */
  setShare(share: number): void {
    this.#slots = computeTransactionSlots(share);
    this.#grant();
  }

  /** Forgets what no longer matters to the order; to be called at intervals. */
  maintain(): void {
    this.#queue.prune();
    this.#grant();
  }

  /** Acquires a slot; undefined if it would come too late. */
  async acquire(request: AdmissionRequest): Promise<ReleaseSlot | undefined> {
    const { account, rank } = request;
    // Others that wait have reached their limit, or there is no free slot.
    const isFirst = this.#queue.countOf(account) === 0;
    if (isFirst && this.#mayHold(account)) return this.#take(request);
    const ahead = this.#queue.timeAhead(
      account,
      rank,
      () => Math.max(1, this.#duration.mean),
    );
    const wait = ahead / this.#slots;
    if (wait > longestWait(request, this.#duration.mean)) return undefined;
    const evicted = this.#queue.makeRoom(account, rank);
    if (evicted === "refuse") return undefined;
    evicted?.settle(undefined);
    const waiting = { account, rank, deadline: stayUntil(request) };
    return await this.#queue.wait(waiting, () => undefined);
  }

  #mayHold(account: string): boolean {
    const free = this.#slots - this.#inUse;
    if (free <= 0) return false;
    const held = this.#held.get(account) ?? 0;
    return account === NO_ACCOUNT || held < FREE_SLOTS_FACTOR * free;
  }

  #grant(): void {
    for (;;) {
      const next = this.#queue.order()
        .find(({ account }) => this.#mayHold(account));
      if (!next) return;
      this.#queue.serve(next, 0);
      next.settle(this.#take(next));
    }
  }

  #take(
    { account, rank }: Pick<QueueRequest, "account" | "rank">,
  ): ReleaseSlot {
    const takenAt = clock.now();
    const charged = this.#duration.mean;
    this.#queue.charge(account, rank, charged);
    this.#count(account, 1);
    let isReleased = false;
    return () => {
      if (isReleased) return;
      isReleased = true;
      const duration = clock.now() - takenAt;
      this.#duration.record(duration);
      this.#queue.charge(account, rank, duration - charged);
      this.#count(account, -1);
      this.#grant();
    };
  }

  #count(account: string, change: 1 | -1): void {
    this.#inUse += change;
    const held = (this.#held.get(account) ?? 0) + change;
    if (held === 0) this.#held.delete(account);
    else this.#held.set(account, held);
  }
}
