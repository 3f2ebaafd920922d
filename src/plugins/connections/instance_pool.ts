/**
 * Connection pool of this proxy for one instance, with the queue of waiting statements.
 *
 * @module
 */
import {
  err,
  errAsync,
  ok,
  okAsync,
  type Result,
  ResultAsync,
} from "neverthrow";
import { clock } from "../../kernel/clock.ts";
import {
  type EventFields,
  type EventKind,
  Events,
} from "../../kernel/events.ts";
import {
  createFailure,
  type Failure,
  ResultCodes,
} from "../../kernel/result_codes.ts";
import { Admission } from "./admission.ts";
import type { ConnectionPool } from "./connection_pool.ts";
import type { ConnectionRequest, ConnectionUse } from "./connections.ts";
import type { ConcurrencyLimit } from "./concurrency_limit.ts";
import { DemandMeter } from "./demand_meter.ts";
import { IdleStack } from "./idle_stack.ts";
import { Opener } from "./opener.ts";
import type {
  MemberFactory,
  PoolMember,
  PoolOwner,
  PoolTarget,
} from "./pool_member.ts";
import { WaitingQueue } from "./waiting_queue.ts";

/** Options and callbacks of a pool. */
export interface PoolOptions<Member extends PoolMember> {
  readonly target: PoolTarget;
  readonly queueLength: number;
  /** Logs an event of this instance. */
  readonly log: (kind: EventKind, fields: EventFields) => void;
  /** Opens a connection to the target. */
  readonly open: () => ResultAsync<MemberFactory<Member>, Failure>;
  /** Called when the instance is unreachable or has closed an idle connection. */
  readonly onFailure: () => void;
  /** Limits the statements in flight, for an instance that rejects excess statements. */
  readonly limit?: ConcurrencyLimit;
}

/** How long a pool keeps unused connections, and when it opens new ones. */
export interface IdlePolicy {
  /** Number of open connections up to which the longer `warmTimeout` applies, as far as the share allows. */
  readonly warm: number;
  /** Idle timeout of connections beyond the warm ones, in ms. */
  readonly surplusTimeout: number;
  /** Idle timeout of warm connections, in ms; Infinity keeps them open. */
  readonly warmTimeout: number;
  /** Whether to open a connection only when a statement would wait longer for an existing one; otherwise also in advance. */
  readonly opensOnDemand: boolean;
}

/** Policy for instances that allow each proxy more connections than it needs. */
export const DEFAULT_IDLE_POLICY: IdlePolicy = {
  warm: 2,
  surplusTimeout: 30_000,
  warmTimeout: Infinity,
  opensOnDemand: false,
};

type AcquireResult<Member> = Result<Member, Failure>;

/** Connection pool for one instance. */
export class InstancePool<Member extends PoolMember>
  implements ConnectionPool<Member>, PoolOwner<Member> {
  readonly demand = new DemandMeter();
  readonly admission: Admission;
  readonly #options: PoolOptions<Member>;
  readonly #idle = new IdleStack<Member>();
  readonly #open = new Set<Member>();
  readonly #busy = new Set<Member>();
  /** Connections that are closing but may still count towards the instance's limit. */
  readonly #closing = new Set<Member>();
  readonly #queue = new WaitingQueue<AcquireResult<Member>>();
  readonly #opener: Opener<MemberFactory<Member>>;
  /** Current idle policy; takes effect at the next maintenance run or request. */
  idlePolicy: IdlePolicy = DEFAULT_IDLE_POLICY;
  #opened = 0;
  #share = 0;
  #closeFailure: Failure | undefined;
  #releasedAt = -Infinity;

  constructor(options: PoolOptions<Member>) {
    this.#options = options;
    this.admission = new Admission(
      options.target.instance,
      options.queueLength,
      ({ number }, count) =>
        this.#options.log(Events.LOAD_SHED, { code: number, count }),
    );
    this.#opener = new Opener({
      open: options.open,
      onOpened: (createMember) => this.#onOpened(createMember),
      onFailed: (failure, startedAt) => this.#onFailed(failure, startedAt),
      onBackoffEnded: () => this.#openForWaiters(),
    });
  }

  get target(): PoolTarget {
    return this.#options.target;
  }

  get load(): number {
    return this.#busy.size + this.#queue.size;
  }

  /** Connections expected to serve the queue: the share, or the open ones while the instance refuses new connections. */
  get #expectedOpen(): number {
    if (this.#opener.isBackingOff) return this.#open.size;
    return Math.max(this.#open.size, this.#share);
  }

  /** Whether the concurrency limit allows another statement. */
  get #hasCapacity(): boolean {
    return this.#options.limit?.allows(this.#busy.size) ?? true;
  }

  /** Connections that count towards the instance's limit, including those that are opening or closing. */
  get #allocated(): number {
    return this.#open.size + this.#closing.size + this.#opener.pending;
  }

  get use(): ConnectionUse {
    return {
      database: this.target.database,
      instance: this.target.instance,
      open: this.#allocated,
      busy: this.#busy.size,
      waiting: this.#queue.size,
      share: this.#share,
      opened: this.#opened,
    };
  }

  acquire(request: ConnectionRequest): ResultAsync<Member, Failure> {
    if (this.#closeFailure) return errAsync(this.#closeFailure);
    if (request.deadline <= clock.now()) {
      return errAsync(this.admission.deadlineFailure());
    }
    const idle = this.#hasCapacity ? this.#idle.pop() : undefined;
    if (idle) {
      this.#checkOut(idle);
      this.#openSpare();
      return okAsync(idle);
    }
    const refusal = this.#refusal(request);
    if (refusal) return errAsync(refusal);
    const acquired = new ResultAsync(this.#enqueue(request));
    this.#openForWaiters();
    return acquired;
  }

  setShare(share: number): void {
    this.#share = share;
    this.#closeIdle(share);
    this.#openForWaiters();
    this.#openSpare();
  }

  close(failure: Failure): void {
    if (this.#closeFailure) return;
    this.#closeFailure = failure;
    this.#failWaiters(failure);
    this.#closeIdle(0);
  }

  reopen(): void {
    this.#closeFailure = undefined;
    this.#openSpare();
  }

  destroy(failure: Failure): void {
    this.close(failure);
    this.destroyBusy();
  }

  destroyBusy(): void {
    for (const connection of [...this.#busy]) connection.destroy();
  }

  /** Periodic maintenance: samples the demand, closes at most one connection past its idle timeout, and opens connections as needed. */
  maintain(now: number): void {
    this.demand.sample(now);
    const { warm, surplusTimeout, warmTimeout } = this.idlePolicy;
    const timeout = this.#open.size > warm ? surplusTimeout : warmTimeout;
    const unused = this.#idle.removeLeastRecent(now - timeout);
    if (unused) this.#end(unused);
    this.#openForWaiters();
    this.#openSpare();
  }

  onReleased(connection: Member, wasRejected = false): void {
    const now = clock.now();
    if (wasRejected) this.#recordRejection();
    else this.#options.limit?.recordSuccess(this.#share);
    this.#busy.delete(connection);
    this.admission.recordServiceTime(now - connection.lastUsedAt);
    this.#releasedAt = now;
    connection.lastUsedAt = now;
    this.#keepOrEnd(connection);
    this.demand.recordLoad(this.load, now);
  }

  onClosed(connection: Member): void {
    this.#open.delete(connection);
    this.#closing.delete(connection);
    this.#busy.delete(connection);
    if (this.#idle.remove(connection)) this.#options.onFailure();
    this.demand.recordLoad(this.load);
    this.#options.log(Events.CONNECTION_CLOSED, { connection: connection.id });
    this.#serveWaiters();
    this.#openForWaiters();
  }

  #recordRejection(): void {
    const { limit } = this.#options;
    limit?.recordRejection(this.#busy.size);
    const remaining = limit?.remainingPause() ?? 0;
    if (remaining > 0) setTimeout(() => this.#serveWaiters(), remaining + 1);
  }

  #keepOrEnd(connection: Member): void {
    const surplus = this.#open.size > this.#share;
    if (this.#closeFailure || surplus) this.#end(connection);
    else this.#idle.push(connection);
    this.#serveWaiters();
  }

  #end(connection: Member): void {
    this.#open.delete(connection);
    this.#closing.add(connection);
    connection.end();
  }

  #serveWaiters(): void {
    while (this.#hasCapacity && this.#queue.hasWaiter()) {
      const connection = this.#idle.pop();
      if (!connection) return;
      this.#checkOut(connection);
      this.#queue.shift()!(ok(connection));
    }
  }

  #checkOut(connection: Member): void {
    this.#busy.add(connection);
    connection.markInUse();
    this.demand.recordLoad(this.load, connection.lastUsedAt);
  }

  #refusal(request: ConnectionRequest): Failure | undefined {
    const { instance } = this.target;
    if (this.#share === 0 && this.#open.size === 0) {
      return createFailure(
        ResultCodes.UPSTREAM_REFUSED,
        `other proxies hold all connections to ${instance}`,
      );
    }
    if (this.#opener.unreachable && this.#busy.size === 0) {
      return createFailure(
        ResultCodes.UPSTREAM_UNREACHABLE,
        `${instance} could not be reached a moment ago`,
      );
    }
    const { limit } = this.#options;
    const serving = Math.min(
      this.#expectedOpen,
      limit?.maxInFlight ?? Infinity,
    );
    return this.admission.checkAdmission(request, this.#queue, serving);
  }

  #enqueue(request: ConnectionRequest): Promise<AcquireResult<Member>> {
    const acquired = this.#queue.wait(
      request.priority,
      this.admission.queueDeadline(request),
      () => this.#onExpired(),
    );
    this.demand.recordLoad(this.load);
    return acquired;
  }

  #onExpired(): AcquireResult<Member> {
    this.demand.recordLoad(this.load);
    return err(this.admission.deadlineFailure());
  }

  #openForWaiters(): void {
    const { limit } = this.#options;
    const wanted = Math.min(this.#queue.size, limit?.maxInFlight ?? Infinity);
    while (
      this.#idle.size + this.#opener.pending < wanted &&
      this.#isOpeningFaster() && this.#mayOpen()
    ) {
      this.#opener.open();
    }
  }

  /** Whether a new connection would serve the last waiter earlier than the open ones. */
  #isOpeningFaster(): boolean {
    if (!this.idlePolicy.opensOnDemand || this.#open.size === 0) return true;
    const wait = this.admission.expectedWait(this.#queue.size, this.#open.size);
    return Math.max(wait, this.#queue.longestWait) >= this.#opener.meanTime;
  }

  /** Opens a spare connection beyond those in use, so that the next statement need not wait for a new one. */
  #openSpare(): void {
    const spare = this.#idle.size + this.#opener.pending - this.#queue.size;
    const total = this.#open.size + this.#opener.pending;
    const rising = this.#busy.size >= this.demand.wanted;
    const idle = this.#busy.size === 0 && this.#queue.size === 0;
    if (idle && this.idlePolicy.warmTimeout !== Infinity) return;
    const isAhead = spare > 0 || !rising || this.idlePolicy.opensOnDemand;
    if (total >= this.idlePolicy.warm && isAhead) return;
    if (this.#mayOpen()) this.#opener.open();
  }

  #mayOpen(): boolean {
    if (this.#closeFailure || this.#opener.isBackingOff) return false;
    if (this.#allocated >= this.#share) return false;
    // Opening a connection occupies a slot of the instance that statements could use.
    if (this.#opener.pending >= Math.max(1, this.#open.size)) return false;
    const total = this.#open.size + this.#opener.pending;
    return total < (this.#options.limit?.maxInUse ?? Infinity);
  }

  #onOpened(createMember: MemberFactory<Member>): void {
    this.#opened += 1;
    const connection = createMember(this);
    this.#open.add(connection);
    this.#options.log(Events.CONNECTION_OPENED, { connection: connection.id });
    this.#keepOrEnd(connection);
    // Avoids load on an instance with few slots: the next statement or maintenance run opens more.
    if (!this.#options.limit) this.#openForWaiters();
  }

  #onFailed(failure: Failure, startedAt: number): void {
    this.#options.log(Events.CONNECTION_REFUSED, { reason: failure.message });
    if (failure.code === ResultCodes.UPSTREAM_REFUSED) return;
    this.#options.onFailure();
    const working = this.#releasedAt > startedAt;
    if (!working) this.#failWaiters(failure);
  }

  #closeIdle(maxOpen: number): void {
    while (this.#open.size > maxOpen) {
      const connection = this.#idle.removeLeastRecent();
      if (!connection) return;
      this.#end(connection);
    }
  }

  #failWaiters(failure: Failure): void {
    for (const waiter of this.#queue.clear()) waiter(err(failure));
  }
}
