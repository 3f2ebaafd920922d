/**
 * Decides the operations of a shard's accounts on one host: from tokens in
 * stock, from the host's own part, or by asking the coordinator.
 *
 * @module
 */
import type { Failure } from "../../kernel/result_codes.ts";
import { AccountQueue, type Settle } from "./account_queue.ts";
import {
  CoordinatorLink,
  type LinkAnswer,
  type LinkEvents,
  type LinkOptions,
} from "./coordinator_link.ts";
import type { LimitedAccount } from "./limited_accounts.ts";
import type { Grant, Wake, Want } from "./messages.ts";
import {
  DECISION_MS,
  ENGAGED_MS,
  REFRESH_MS,
  RENEWAL_MS,
  REQUEST_GAP_MS,
} from "./timing.ts";

/**
 * Requests that may be under way at the same time, so that an operation doesn't
 * wait for the answer to an earlier one; enough for a round trip between regions
 * (24 ms) with a request every 10 ms.
 */
const MAX_REQUESTS = 3;

/** What is true of an account that an answer doesn't contain. */
const UNCHANGED = { granted: 0, extended: true };

/** Stands for an operation that has to wait for its decision. */
export const WAITS = Symbol("waits");

/** Receives what an operator may want to know. */
export interface ClientEvents extends LinkEvents {
  /** Operations of an account were refused. */
  refused(account: string, count: number): void;
}

/** What the client of a shard needs. */
export interface ClientOptions extends LinkOptions {
  readonly events: ClientEvents;
}

/** The host's side of one shard. */
export class ShardClient {
  readonly #options: ClientOptions;
  readonly #link: CoordinatorLink;
  readonly #queues = new Map<string, AccountQueue>();
  /** Accounts with operations or tokens; the others are not looked at. */
  readonly #busy = new Set<AccountQueue>();
  #accounts: readonly LimitedAccount[] = [];
  /** Number of requests under way. */
  #requests = 0;
  #lastSentAt = -Infinity;
  /** Clock ms until which the host has work of limited accounts that its own part is not enough for. */
  #engagedUntil = -Infinity;
  /** Clock ms until which a coordinator needs the part. */
  #wokenUntil = -Infinity;
  #wasAwake = false;
  #cancelTimer: (() => void) | undefined;
  #timerAt = Infinity;
  #isStopped = false;

  constructor(options: ClientOptions) {
    this.#options = options;
    this.#link = new CoordinatorLink(options, () => this.#proceed());
  }

  /** The queues of all accounts that had operations here. */
  get queues(): Iterable<AccountQueue> {
    return this.#queues.values();
  }

  /** Time until which a coordinator may use this host's part. */
  get lockedUntil(): number {
    return this.#link.part.lockedUntil;
  }

  /** Keeps the part from use until the delegations to other shards' coordinators have ended. */
  lock(until: number): void {
    this.#link.part.lock(until);
  }

  /** Replaces the accounts and their limits. */
  setAccounts(accounts: readonly LimitedAccount[]): void {
    this.#accounts = accounts;
    const byName = new Map(accounts.map((account) => [account.name, account]));
    for (const [name, queue] of this.#queues) {
      const account = byName.get(name);
      if (account) {
        queue.account = account;
        continue;
      }
      this.#refuseAll(queue, this.#options.network.now());
      this.#queues.delete(name);
      this.#busy.delete(queue);
    }
    this.#proceed();
  }

  /** Decides an operation at once if that is possible. */
  decide(
    account: LimitedAccount,
    now: number,
  ): Failure | undefined | typeof WAITS {
    const queue = this.#queueOf(account);
    if (!account.quota) return this.#refuse(queue, now);
    queue.recordDemand(now);
    if (queue.waiting === 0) {
      if (this.#take(queue, now)) {
        queue.recordUse(now);
        if (now < this.#engagedUntil) this.#engage(queue, now);
        return undefined;
      }
      if (queue.isEmpty(now)) {
        this.#engage(queue, now);
        return this.#refuse(queue, now);
      }
    }
    return queue.isFull ? this.#refuse(queue, now) : WAITS;
  }

  /** Lets an operation wait that `decide` could not decide. */
  enqueue(
    account: LimitedAccount,
    usefulUntil: number,
    settle: Settle,
    now: number,
  ): void {
    const queue = this.#queueOf(account);
    queue.enqueue(settle, Math.min(usefulUntil, now + DECISION_MS));
    this.#engage(queue, now);
    this.#proceed();
  }

  /** Gives the host's part to a coordinator that needs it although the host has no work. */
  wake(coordinator: string, wake: Wake, now: number): void {
    const isEngaged = now < this.#engagedUntil;
    if (!this.#link.wake(coordinator, wake, isEngaged, now)) return;
    this.#wokenUntil = Math.max(this.#wokenUntil, now + wake.duration);
    this.#proceed();
  }

  /** Follows changes of the hosts. */
  refresh(): void {
    const now = this.#options.network.now();
    if (!this.#updateShare(now)) return;
    if (this.#isAwake(now)) this.#proceed();
  }

  /** Ends all timers; waiting operations are refused. */
  stop(): void {
    this.#isStopped = true;
    this.#cancelTimer?.();
    const now = this.#options.network.now();
    for (const queue of this.#queues.values()) this.#refuseAll(queue, now);
  }

  #queueOf(account: LimitedAccount): AccountQueue {
    const known = this.#queues.get(account.name);
    if (known) return known;
    const queue = new AccountQueue(account);
    this.#queues.set(account.name, queue);
    return queue;
  }

  /** Takes a token of the coordinator, or of the host's own part if that is here. */
  #take(queue: AccountQueue, now: number): boolean {
    if (queue.take(now)) return true;
    this.#updateShare(now);
    if (!this.#link.part.take(queue.account, now)) return false;
    queue.counts.granted += 1;
    return true;
  }

  #engage(queue: AccountQueue, now: number): void {
    this.#busy.add(queue);
    this.#engagedUntil = now + ENGAGED_MS;
    if (this.#timerAt === Infinity) this.#setTimer(now);
  }

  #isAwake(now: number): boolean {
    return now < this.#engagedUntil || now < this.#wokenUntil;
  }

  /** Returns whether the share has changed. */
  #updateShare(now: number): boolean {
    const { roster } = this.#options;
    const { part } = this.#link;
    const share = roster.share(now);
    const hasChanged = share !== part.share;
    part.setShare(share, this.#accounts, now, roster.unfilledSince);
    return hasChanged;
  }

  /** Does what is due and sets the timer for what comes next. */
  #proceed(): void {
    if (this.#isStopped) return;
    const now = this.#options.network.now();
    this.#updateShare(now);
    for (const queue of this.#busy) {
      queue.serve(now, () => this.#take(queue, now));
      this.#reportRefused(queue, queue.expire(now, this.#link.part.share));
      if (queue.isIdle(now)) this.#busy.delete(queue);
    }
    const wasAwake = this.#wasAwake;
    this.#wasAwake = this.#isAwake(now);
    if (this.#wasAwake) this.#request(now);
    else if (wasAwake) this.#link.rest();
    this.#setTimer(now);
  }

  #request(now: number): void {
    const choice = this.#link.choose(now);
    if (choice === "none") {
      for (const queue of this.#busy) this.#refuseAll(queue, now);
    }
    if (choice !== "known" || now < this.#dueAt(now)) return;
    this.#send(now);
  }

  #send(now: number): void {
    const { lender = "" } = this.#link;
    const wants = new Map<AccountQueue, Want>();
    for (const queue of this.#busy) {
      const want = queue.want(lender, now);
      if (want) wants.set(queue, want);
    }
    this.#requests += 1;
    this.#lastSentAt = now;
    this.#link.request([...wants.values()], this.#accounts, now, (answer) => {
      this.#requests -= 1;
      for (const [queue, want] of wants) queue.endRequest(want);
      if (answer) this.#receive(answer, wants, now);
      else for (const queue of wants.keys()) queue.forgetCoordinator();
      this.#proceed();
    });
  }

  /** Clock ms at which the next request to the coordinator is due. */
  #dueAt(now: number): number {
    if (this.#requests >= MAX_REQUESTS) return Infinity;
    const soonest = this.#lastSentAt + REQUEST_GAP_MS;
    let dueAt = Infinity;
    for (const queue of this.#busy) dueAt = Math.min(dueAt, queue.askAt);
    // Whatever can wait, waits for the requests under way.
    if (this.#requests === 0) {
      const needsRefresh = [...this.#busy].some((queue) =>
        queue.needsRefresh(now)
      );
      dueAt = Math.min(
        dueAt,
        this.#link.delegableAt(now),
        this.#lastSentAt + (needsRefresh ? REFRESH_MS : RENEWAL_MS),
      );
    }
    return Math.max(soonest, dueAt);
  }

  #receive(
    { answer, lender }: LinkAnswer,
    wants: ReadonlyMap<AccountQueue, Want>,
    requestedAt: number,
  ): void {
    const now = this.#options.network.now();
    const grants = new Map(answer.grants.map((grant) => [grant.id, grant]));
    for (const [queue, want] of wants) {
      const grant = grants.get(want.id);
      const { granted, extended } = grant ?? UNCHANGED;
      queue.receive({ lender, want, granted, extended, requestedAt }, now);
      queue.serve(now, () => this.#take(queue, now));
      if (grant && grant.pause > 0) this.#pause(queue, grant, now);
    }
  }

  #pause(queue: AccountQueue, { pause, expected }: Grant, now: number): void {
    if (expected) return queue.awaitTokens(pause, now);
    queue.runEmpty(pause, now);
    this.#refuseAll(queue, now);
  }

  #refuse(queue: AccountQueue, now: number): Failure {
    this.#reportRefused(queue, 1);
    return queue.refuse(now, this.#link.part.share);
  }

  #refuseAll(queue: AccountQueue, now: number): void {
    this.#reportRefused(queue, queue.refuseAll(now, this.#link.part.share));
  }

  #reportRefused(queue: AccountQueue, count: number): void {
    if (count === 0) return;
    this.#options.events.refused(queue.account.name, count);
  }

  #setTimer(now: number): void {
    const at = this.#nextAt(now);
    if (at === this.#timerAt) return;
    this.#cancelTimer?.();
    this.#timerAt = at;
    this.#cancelTimer = undefined;
    if (at === Infinity) return;
    this.#cancelTimer = this.#options.network.schedule(() => {
      this.#timerAt = Infinity;
      this.#proceed();
    }, Math.max(0, at - now));
  }

  /** Clock ms at which something is due next; Infinity if only an operation or an answer can make it so. */
  #nextAt(now: number): number {
    if (this.#isStopped) return Infinity;
    let at = Infinity;
    for (const queue of this.#busy) at = Math.min(at, queue.decideBy);
    if (!this.#isAwake(now)) return at;
    if (!this.#link.isKnown) return Math.min(at, now + RENEWAL_MS);
    return Math.min(at, Math.max(now, this.#dueAt(now)));
  }
}
