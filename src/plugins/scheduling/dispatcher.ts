/**
 * Decides what is served next at one instance: which waiter gets a connection,
 * and for whom one is opened.
 *
 * @module
 */
import { ok, type Result } from "neverthrow";
import { clock } from "../../kernel/clock.ts";
import type { Failure } from "../../kernel/result_codes.ts";
import { type AccountConnections, NO_ACCOUNT } from "./account_connections.ts";
import type { FairQueue, Waiter } from "./fair_queue.ts";
import type { Flight, Flights } from "./flight.ts";
import type { ScheduledLink } from "./scheduled_link.ts";
import type { StatementLimit } from "./statement_limit.ts";

/** Slot time that opening a connection costs, in ms, and the longest time for which others are served first to save it; given by the work plan. */
const OPENING_COST_MS = 12;

/** Rank whose work is sent during a pause of the limit as well; it is little, and counts for the next pause. */
export const URGENT_RANK = 0;

/** Outcome of a wait for a connection. */
export type Acquired = Result<ScheduledLink, Failure>;

/** What waits, and what it waits for. */
export interface DispatchSources {
  /** Statements of the proxy itself. */
  readonly own: FairQueue<Acquired>;
  /** Statements of open transactions; they have a connection. */
  readonly continuing: FairQueue<Result<Flight, Failure>>;
  readonly queue: FairQueue<Acquired>;
  readonly connections: AccountConnections;
  readonly flights: Flights;
  readonly limit: StatementLimit;
}

/** Serves waiters as slots and connections become free. */
export class Dispatcher {
  readonly #sources: DispatchSources;
  #isRunning = false;
  #isPlanned = false;
  #wakeTimer: NodeJS.Timeout | undefined;

  constructor(sources: DispatchSources) {
    this.#sources = sources;
  }

  /** Whether another statement may be sent now. Openings occupy slots as well. */
  hasRoom(now = clock.now()): boolean {
    const { limit, flights, connections, queue, continuing } = this.#sources;
    const isUrgent = continuing.size > 0 || queue.hasRank(URGENT_RANK);
    return limit.allows(flights.count + connections.pending, now, isUrgent);
  }

  /** Serves whom it can. */
  run(): void {
    // A connection that proves unusable calls back while it is taken.
    if (this.#isRunning) return this.plan();
    this.#isRunning = true;
    const { continuing, queue, limit } = this.#sources;
    const now = clock.now();
    this.#serveOwn();
    while (queue.size + continuing.size > 0 && this.hasRoom(now)) {
      if (!this.#continueNext() && !this.#serveNext(now)) break;
    }
    clearTimeout(this.#wakeTimer);
    if (queue.size + continuing.size > 0) {
      if (this.hasRoom(now)) this.#planNextOpening(now);
      else {
        limit.recordHeldBack(now);
        this.#wakeAfter(limit.remainingPause(now));
      }
    }
    this.#isRunning = false;
  }

  /** Runs after the current event: a statement that ended may be followed by the release of its connection. */
  plan(): void {
    if (this.#isPlanned) return;
    this.#isPlanned = true;
    setImmediate(() => {
      this.#isPlanned = false;
      this.run();
    });
  }

  /** Stops the timer. */
  stop(): void {
    clearTimeout(this.#wakeTimer);
  }

  /** Whether an account has more waiters than connections that are on the way. */
  isShort(account: string): boolean {
    const { queue, own, connections } = this.#sources;
    const waiting = queue.countOf(account) + own.countOf(account);
    return waiting > connections.pendingOf(account);
  }

  /** Serves the proxy's own statements on any connection; opens one only if there is none. */
  #serveOwn(): void {
    const { own, connections } = this.#sources;
    while (own.size > 0) {
      const link = connections.takeAny();
      if (!link) break;
      const [first] = own.order();
      own.serve(first!, 0);
      link.lend({ rank: 0 });
      first!.settle(ok(link));
    }
    const isNone = connections.openCount + connections.pending === 0;
    if (own.size > 0 && isNone && connections.mayOpen(NO_ACCOUNT)) {
      this.#open(NO_ACCOUNT, []);
    }
  }

  #continueNext(): boolean {
    const { continuing, flights } = this.#sources;
    const [first] = continuing.order();
    if (!first) return false;
    continuing.serve(first, 0);
    first.settle(ok(flights.begin(first.account, first.rank)));
    return true;
  }

  #serveNext(now: number): boolean {
    const { queue, connections } = this.#sources;
    const order = queue.order(now);
    let isPassedOver = false;
    for (const waiter of order) {
      const { account, rank, since } = waiter;
      const link = connections.take(account);
      if (link) {
        this.#grant(waiter, link, now);
        return true;
      }
      if (!this.isShort(account) || !connections.mayOpen(account)) continue;
      // One of its own may be back before another is open.
      const isNew = now - since < OPENING_COST_MS;
      if (isNew && connections.isExpectedBack(account)) continue;
      if (this.#hasReady(order, rank)) {
        if (isPassedOver) continue;
        waiter.passedOverAt ??= now;
        isPassedOver = now - waiter.passedOverAt < OPENING_COST_MS;
        if (isPassedOver) continue;
      }
      if (!this.#open(account, order)) continue;
      queue.charge(account, rank, OPENING_COST_MS);
      return true;
    }
    return false;
  }

  /** Whether a waiter of the rank has an idle connection. */
  #hasReady(order: readonly Waiter<Acquired>[], rank: number): boolean {
    const { connections } = this.#sources;
    return order.some((waiter) =>
      waiter.rank === rank && connections.idleOf(waiter.account) > 0
    );
  }

  #grant(waiter: Waiter<Acquired>, link: ScheduledLink, now: number): void {
    const { queue, flights } = this.#sources;
    const { account, rank } = waiter;
    // The flight charges the account.
    queue.serve(waiter, 0, now);
    link.lend({ rank, flight: flights.begin(account, rank) });
    waiter.settle(ok(link));
  }

  /** Starts to open a connection; returns false if none can be closed for it. */
  #open(account: string, order: readonly Waiter<Acquired>[]): boolean {
    const { queue, connections } = this.#sources;
    return connections.open(account, {
      waitingOf: (other) => queue.countOf(other),
      placeOf: (other) => order.findIndex((waiter) => waiter.account === other),
    });
  }

  /** Runs again when the time has ended for which waiters may be passed over. */
  #planNextOpening(now: number): void {
    const due = this.#sources.queue.order(now)
      .flatMap(({ since, passedOverAt = since }) => [since, passedOverAt])
      .map((at) => at + OPENING_COST_MS - now)
      .filter((wait) => wait > 0);
    this.#wakeAfter(due.length > 0 ? Math.min(...due) : 0);
  }

  /** Runs again after a time in ms; 0 waits for an event. */
  #wakeAfter(wait: number): void {
    if (wait <= 0) return;
    this.#wakeTimer = setTimeout(() => this.run(), Math.ceil(wait));
    this.#wakeTimer.unref();
  }
}
