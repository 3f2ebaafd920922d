/**
 * Connection pool for one instance whose connections belong to one account each,
 * with a queue that is fair to accounts.
 *
 * @module
 */
import { err, errAsync, type Result, ResultAsync } from "neverthrow";
import { clock } from "../../kernel/clock.ts";
import { Events } from "../../kernel/events.ts";
import {
  createFailure,
  type Failure,
  ResultCodes,
} from "../../kernel/result_codes.ts";
import type { ConnectionPool } from "../connections/connection_pool.ts";
import type {
  ConnectionRequest,
  ConnectionUse,
} from "../connections/connections.ts";
import type { PoolTarget } from "../connections/pool_member.ts";
import type { DirectLink } from "../upstream/link.ts";
import {
  AccountConnections,
  type AccountConnectionsOptions,
  NO_ACCOUNT,
} from "./account_connections.ts";
import type { FailedPart } from "./account_opener.ts";
import { type Acquired, Dispatcher } from "./dispatcher.ts";
import {
  type AdmissionRequest,
  FairAdmission,
  stayUntil,
} from "./fair_admission.ts";
import { FairQueue } from "./fair_queue.ts";
import { type Flight, type FlightOutcome, Flights } from "./flight.ts";
import type { LinkOwner, ScheduledLink } from "./scheduled_link.ts";
import { AccountCounts, type ScheduleUse } from "./schedule_use.ts";
import { SlotTimes } from "./slot_times.ts";
import type { StatementLimit } from "./statement_limit.ts";
import { WaitEstimate } from "./wait_estimate.ts";

/** Options and callbacks of a pool. */
export interface AccountPoolOptions
  extends Pick<AccountConnectionsOptions, "open" | "log" | "onFailure"> {
  readonly target: PoolTarget;
  readonly queueLength: number;
  /** Limits the statements in flight. */
  readonly limit: StatementLimit;
}

/** Time after which work of an account that the instance rejects may be retried, in ms: the longest pause between its openings. */
const REJECTED_RETRY_MS = 1_000;

/** Connection pool by account for one instance. */
export class AccountPool implements ConnectionPool<DirectLink>, LinkOwner {
  readonly #options: AccountPoolOptions;
  readonly #own: FairQueue<Acquired>;
  readonly #continuing: FairQueue<Result<Flight, Failure>>;
  readonly #queue: FairQueue<Acquired>;
  readonly #slotTimes = new SlotTimes();
  readonly #flights: Flights;
  readonly #connections: AccountConnections;
  readonly #dispatcher: Dispatcher;
  readonly #estimate: WaitEstimate;
  readonly #admission: FairAdmission;
  readonly #counts = new AccountCounts();
  #closeFailure: Failure | undefined;

  constructor(options: AccountPoolOptions) {
    this.#options = options;
    const { target, queueLength, limit, open, log, onFailure } = options;
    this.#own = new FairQueue(queueLength);
    this.#continuing = new FairQueue(queueLength);
    this.#queue = new FairQueue(queueLength);
    this.#flights = new Flights(this.#queue, this.#slotTimes);
    this.#connections = new AccountConnections({
      open,
      log,
      onFailure,
      counts: this.#counts,
      owner: this,
      onAvailable: () => this.#dispatcher.run(),
      onOpenFailed: (failure, account, part) =>
        this.#onOpenFailed(failure, account, part),
      worksForOthers: (account) => this.#flights.worksForOthers(account),
    });
    const sources = {
      own: this.#own,
      continuing: this.#continuing,
      queue: this.#queue,
      connections: this.#connections,
      flights: this.#flights,
      slotTimes: this.#slotTimes,
      limit,
      hasRoom: () => this.#dispatcher.hasRoom(),
    };
    this.#dispatcher = new Dispatcher(sources);
    this.#estimate = new WaitEstimate(sources);
    this.#admission = new FairAdmission(
      target.instance,
      (shed) =>
        log(Events.LOAD_SHED, { ...shed, mostWaiting: this.#mostWaiting() }),
    );
  }

  get target(): PoolTarget {
    return this.#options.target;
  }

  /** Maximum number of connections. */
  get share(): number {
    return this.#connections.share;
  }

  get load(): number {
    return this.#connections.busyCount + this.#waiting;
  }

  get use(): ConnectionUse {
    const { allocated, busyCount, share, opened } = this.#connections;
    return {
      database: this.target.database,
      instance: this.target.instance,
      open: allocated,
      busy: busyCount,
      waiting: this.#waiting,
      share,
      opened,
      schedule: this.#schedule,
    };
  }

  get #schedule(): ScheduleUse {
    const { current, lastChange } = this.#options.limit;
    return {
      pace: current,
      paceReason: lastChange.reason,
      paceAge: clock.now() - lastChange.at,
      inFlight: this.#flights.count,
      accounts: this.#counts.list(
        this.#queue.countByAccount(),
        this.#connections.openByAccount(),
      ),
    };
  }

  get #waiting(): number {
    return this.#own.size + this.#continuing.size + this.#queue.size;
  }

  /** Expected wait in ms of a request of this rank, of an account that has used little. */
  expectedWait(rank: number): number {
    return this.#estimate.expect(undefined, rank);
  }

  acquire(request: ConnectionRequest): ResultAsync<DirectLink, Failure> {
    if (this.#closeFailure) return errAsync(this.#closeFailure);
    const { account = NO_ACCOUNT, rank = 0, deadline, usefulUntil } = request;
    const admitted = { account, rank, deadline, usefulUntil };
    if (deadline <= clock.now()) return errAsync(this.#expiry(admitted));
    // Callers' work has a rank, also where it has no account.
    const isOwn = request.account === undefined && request.rank === undefined;
    const refusal = this.#unavailable() ??
      (isOwn ? undefined : this.#refusal(admitted));
    if (refusal) return errAsync(refusal);
    const [queue, until] = isOwn
      ? [this.#own, deadline]
      : [this.#queue, stayUntil(admitted)];
    const waiting = queue.wait(
      { account, rank, deadline: until },
      () => err(this.#expiry(admitted)),
    );
    this.#dispatcher.run();
    return new ResultAsync<DirectLink, Failure>(waiting);
  }

  setShare(share: number): void {
    this.#connections.setShare(share);
    // No connection that is given back is kept for anybody.
    if (share === 0) this.#failWaiters(this.#noShare());
    this.#dispatcher.run();
  }

  close(failure: Failure): void {
    if (this.#closeFailure) return;
    this.#closeFailure = failure;
    this.#failWaiters(failure);
    this.#connections.close();
  }

  reopen(): void {
    this.#closeFailure = undefined;
    this.#connections.reopen();
  }

  destroy(failure: Failure): void {
    this.close(failure);
    this.destroyBusy();
  }

  destroyBusy(): void {
    this.#connections.destroyBusy();
  }

  maintain(now: number): void {
    this.#queue.prune();
    this.#continuing.prune();
    this.#connections.closeUnused(now);
    this.#dispatcher.run();
  }

  tryBegin(link: ScheduledLink): Flight | undefined {
    const isNext = this.#continuing.size === 0 && this.#dispatcher.hasRoom();
    return isNext ? this.begin(link) : undefined;
  }

  async waitForRoom(
    { account, rank }: ScheduledLink,
    deadline: number,
  ): Promise<Result<Flight, Failure>> {
    const request = { account, rank, deadline };
    const waiting = this.#continuing.wait(
      request,
      () => err(this.#expiry(request)),
    );
    this.#dispatcher.run();
    return await waiting;
  }

  begin({ account, rank }: ScheduledLink): Flight {
    return this.#flights.begin(account, rank);
  }

  end(flight: Flight, outcome: FlightOutcome): void {
    if (!this.#flights.end(flight, outcome)) return;
    if (outcome === "answered") this.#counts.add(flight.account, "served");
    const { limit } = this.#options;
    limit.record(flight, outcome, this.#flights.count, clock.now());
    this.#dispatcher.plan();
  }

  onReleased(link: ScheduledLink, wasOwnUse: boolean): void {
    const now = clock.now();
    if (!wasOwnUse) this.#estimate.recordHold(now - link.lastUsedAt);
    link.lastUsedAt = now;
    this.#connections.giveBack(link);
    this.#dispatcher.run();
  }

  onClosed(link: ScheduledLink): void {
    this.#connections.forget(
      link,
      (account) => this.#dispatcher.isShort(account),
    );
    this.#dispatcher.run();
  }

  /** Why no connection can be had at all. */
  #unavailable(): Failure | undefined {
    const { share, isUnreachable } = this.#connections;
    if (share === 0) return this.#noShare();
    if (!isUnreachable) return undefined;
    return createFailure(
      ResultCodes.UPSTREAM_UNREACHABLE,
      `${this.target.instance} could not be reached a moment ago`,
    );
  }

  #noShare(): Failure {
    return createFailure(
      ResultCodes.UPSTREAM_REFUSED,
      `other proxies hold all connections to ${this.target.instance}`,
    );
  }

  /** Why a request may not wait. */
  #refusal(request: AdmissionRequest): Failure | undefined {
    const { account, rank } = request;
    if (this.#connections.isRejected(account)) return this.#rejection(request);
    const wait = this.#estimate.expect(account, rank);
    const slotTime = this.#slotTimes.of(rank);
    const refusal = this.#admission.check(request, wait, slotTime);
    if (refusal) return refusal;
    const evicted = this.#queue.makeRoom(account, rank);
    if (evicted === "refuse") return this.#admission.full(request, wait);
    evicted?.settle(err(this.#admission.full(evicted, wait)));
    return undefined;
  }

  /** The failure of work of an account for which the instance opens no connection, while it serves others. */
  #rejection(request: AdmissionRequest): Failure {
    return this.#admission.refuse(
      request,
      `${this.target.instance} opened no connection for this account`,
      REJECTED_RETRY_MS,
    );
  }

  /** The account with most requests in the queue. */
  #mostWaiting(): string | undefined {
    const [first] = [...this.#queue.countByAccount()]
      .sort(([, left], [, right]) => right - left);
    return first?.[0];
  }

  #expiry(request: AdmissionRequest): Failure {
    const wait = this.#estimate.expect(request.account, request.rank);
    return this.#admission.expire(request, wait);
  }

  #onOpenFailed(failure: Failure, account: string, part: FailedPart): void {
    if (failure.code === ResultCodes.UPSTREAM_REFUSED) return;
    if (part === "instance") {
      this.#options.onFailure();
      return this.#failWaiters(failure);
    }
    if (!this.#connections.isRejected(account)) return;
    for (const waiter of this.#queue.clear(account)) {
      waiter.settle(err(this.#rejection(waiter)));
    }
  }

  /** Fails those that wait for a connection. Statements of open transactions have one. */
  #failWaiters(failure: Failure): void {
    for (const waiter of this.#own.clear()) waiter.settle(err(failure));
    for (const waiter of this.#queue.clear()) waiter.settle(err(failure));
  }
}
