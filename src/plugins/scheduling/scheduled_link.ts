/**
 * A connection of one account to a scheduled instance. It measures each
 * statement, and holds back the statements of an open transaction until the
 * instance has room for them.
 *
 * @module
 */
import { err, type Result } from "neverthrow";
import { clock } from "../../kernel/clock.ts";
import { createFailure, type Failure } from "../../kernel/result_codes.ts";
import { ResultCodes } from "../../kernel/result_codes.ts";
import type { MemberFactory } from "../connections/pool_member.ts";
import type {
  Answer,
  DirectLink,
  LinkLoss,
  LinkOperation,
  LinkResult,
  LinkStatement,
  LinkStatus,
  PreparedStatement,
} from "../upstream/link.ts";
import type { Position } from "../upstream/position.ts";
import type { Flight, FlightOutcome } from "./flight.ts";

/** Decides when the statements of a connection are sent; implemented by its pool. */
export interface LinkOwner {
  /** Begins the flight of a further statement if the instance has room and no other one waits. */
  tryBegin(link: ScheduledLink): Flight | undefined;
  /** Waits for room; fails at the deadline, in monotonic ms. */
  waitForRoom(
    link: ScheduledLink,
    deadline: number,
  ): Promise<Result<Flight, Failure>>;
  /** Begins the flight of a statement that is sent in any case. */
  begin(link: ScheduledLink): Flight;
  /** Ends a flight. */
  end(flight: Flight, outcome: FlightOutcome): void;
  /** The connection is idle again; `wasOwnUse` if a statement of the proxy itself has used it. */
  onReleased(link: ScheduledLink, wasOwnUse: boolean): void;
  onClosed(link: ScheduledLink): void;
}

/** What a connection is lent for. */
export interface Lease {
  readonly rank: number;
  /** The first statement's flight; undefined for the proxy's own statements, which are not counted. */
  readonly flight?: Flight;
}

/** A connection of one account. */
export class ScheduledLink implements DirectLink {
  /** Account that the connection was opened for; it carries no statement of another. */
  readonly account: string;
  /** Monotonic ms of the last use by its account, or of its opening. */
  accountUsedAt = clock.now();
  /** How many times its account has used it. */
  useCount = 0;
  readonly #inner: DirectLink;
  readonly #owner: LinkOwner;
  #lease: Lease | undefined;
  /** The flight that was granted with the lease, until a statement uses it. */
  #granted: Flight | undefined;
  readonly #flights = new Set<Flight>();
  #isInTransaction = false;
  /** Counts the events after which a statement that still waits must not be sent. */
  #cancellations = 0;

  constructor(
    account: string,
    create: MemberFactory<DirectLink>,
    owner: LinkOwner,
  ) {
    this.account = account;
    this.#owner = owner;
    this.#inner = create({
      onReleased: (_, wasRejected = false) => {
        const { isOwnUse } = this;
        this.#endLease(wasRejected);
        owner.onReleased(this, isOwnUse);
      },
      onClosed: () => {
        this.#endLease(false);
        owner.onClosed(this);
      },
    });
  }

  get id(): number {
    return this.#inner.id;
  }

  get instance(): string {
    return this.#inner.instance;
  }

  get isForwarded(): boolean {
    return this.#inner.isForwarded;
  }

  get lastUsedAt(): number {
    return this.#inner.lastUsedAt;
  }

  set lastUsedAt(at: number) {
    this.#inner.lastUsedAt = at;
  }

  get isUsable(): boolean {
    return this.#inner.isUsable;
  }

  get values(): ReadonlyMap<string, string> {
    return this.#inner.values;
  }

  /** Rank of the work that it is lent for. */
  get rank(): number {
    return this.#lease?.rank ?? 0;
  }

  /** Number of statements in flight on it. */
  get inFlight(): number {
    return this.#flights.size;
  }

  /** Whether a transaction was begun on it since it was lent. */
  get isInTransaction(): boolean {
    return this.#isInTransaction;
  }

  /** Whether the proxy's own statement uses it. */
  get isOwnUse(): boolean {
    return this.#lease !== undefined && !this.#lease.flight;
  }

  /** Lends it for work of its account, or for a statement of the proxy itself. */
  lend(lease: Lease): void {
    this.#lease = lease;
    this.#granted = lease.flight;
    if (lease.flight) {
      this.#flights.add(lease.flight);
      this.accountUsedAt = clock.now();
      this.useCount += 1;
    }
    this.markInUse();
  }

  watchIdle(): void {
    this.#inner.watchIdle();
  }

  markInUse(): void {
    this.#inner.markInUse();
  }

  end(): void {
    this.#inner.end();
  }

  destroy(): void {
    this.#cancellations += 1;
    this.#inner.destroy();
  }

  release(wasRejected?: boolean): void {
    this.#cancellations += 1;
    this.#inner.release(wasRejected);
  }

  adopt(
    values: ReadonlyMap<string, string>,
    operation: LinkOperation | undefined,
    deadline: number,
  ): string | undefined {
    return this.#inner.adopt(values, operation, deadline);
  }

  run(statement: LinkStatement, deadline: number): LinkResult<Answer> {
    return this.#send(
      "run",
      deadline,
      () => this.#inner.run(statement, deadline),
    );
  }

  begin(
    options: { readonly readOnly: boolean; readonly after?: Position },
    deadline: number,
  ): LinkResult<Answer> {
    this.#isInTransaction = true;
    return this.#send(
      "begin",
      deadline,
      () => this.#inner.begin(options, deadline),
    );
  }

  /** Rolls back at once, since that frees the connection; a statement that still waits must not follow it. */
  rollback(deadline: number): LinkResult<Answer> {
    this.#cancellations += 1;
    if (this.isOwnUse) return this.#inner.rollback(deadline);
    const flight = this.#takeGranted() ?? this.#begin();
    return this.#measure(
      flight,
      "rollback",
      () => this.#inner.rollback(deadline),
    );
  }

  status(deadline: number): LinkResult<LinkStatus> {
    return this.#inner.status(deadline);
  }

  pause(term: number, deadline: number): LinkResult<LinkStatus> {
    return this.#inner.pause(term, deadline);
  }

  resume(deadline: number): LinkResult<LinkStatus> {
    return this.#inner.resume(deadline);
  }

  stepDown(term: number, deadline: number): LinkResult<LinkStatus> {
    return this.#inner.stepDown(term, deadline);
  }

  preparedName(statement: PreparedStatement): string | undefined {
    return this.#inner.preparedName(statement);
  }

  setValue(name: string, value: string, deadline: number): LinkResult<Answer> {
    return this.#inner.setValue(name, value, deadline);
  }

  reset(deadline: number): LinkResult<Answer> {
    return this.#inner.reset(deadline);
  }

  prepare(
    statement: PreparedStatement,
    deadline: number,
  ): LinkResult<Answer> {
    return this.#inner.prepare(statement, deadline);
  }

  #send(
    kind: string,
    deadline: number,
    perform: () => LinkResult<Answer>,
  ): LinkResult<Answer> {
    if (this.isOwnUse) return perform();
    const flight = this.#takeGranted() ?? this.#track(
      this.#owner.tryBegin(this),
    );
    return flight
      ? this.#measure(flight, kind, perform)
      : this.#sendLater(kind, deadline, perform);
  }

  async #sendLater(
    kind: string,
    deadline: number,
    perform: () => LinkResult<Answer>,
  ): LinkResult<Answer> {
    const cancellations = this.#cancellations;
    const room = await this.#owner.waitForRoom(this, deadline);
    if (room.isErr()) return err(notSent(room.error));
    const flight = room.value;
    if (cancellations === this.#cancellations) {
      this.#track(flight);
      return await this.#measure(flight, kind, perform);
    }
    this.#owner.end(flight, "not run");
    return err(notSent(createFailure(
      ResultCodes.TRANSACTION_LOST,
      "the transaction ended before the statement was sent",
    )));
  }

  async #measure(
    flight: Flight,
    kind: string,
    perform: () => LinkResult<Answer>,
  ): LinkResult<Answer> {
    flight.kind = `${kind} ${flight.rank}`;
    flight.sentAt = clock.now();
    const result = await perform();
    if (result.isErr() && result.error.silent && result.error.over) {
      // The statement occupies its slot until its late answer.
      void result.error.over.then(() => this.#endFlight(flight, "failed"));
    } else {
      this.#endFlight(flight, outcomeOf(result));
    }
    return result;
  }

  #takeGranted(): Flight | undefined {
    const granted = this.#granted;
    this.#granted = undefined;
    return granted;
  }

  #begin(): Flight {
    const flight = this.#owner.begin(this);
    this.#flights.add(flight);
    return flight;
  }

  #track(flight: Flight | undefined): Flight | undefined {
    if (flight) this.#flights.add(flight);
    return flight;
  }

  #endFlight(flight: Flight, outcome: FlightOutcome): void {
    if (this.#flights.delete(flight)) this.#owner.end(flight, outcome);
  }

  #endLease(wasRejected: boolean): void {
    this.#cancellations += 1;
    this.#lease = undefined;
    this.#granted = undefined;
    this.#isInTransaction = false;
    for (const flight of [...this.#flights]) {
      const wasSent = flight.sentAt !== undefined;
      const outcome = wasSent ? "failed" : "not run";
      this.#endFlight(flight, wasRejected ? "rejected" : outcome);
    }
  }
}

function outcomeOf(result: Result<Answer, LinkLoss>): FlightOutcome {
  if (result.isErr()) return result.error.notSent ? "not run" : "failed";
  switch (result.value.fault) {
    case undefined:
      return "answered";
    case "busy":
      return "rejected";
    case "failed":
    case "timeout":
      return "failed";
    default:
      return "not run";
  }
}

function notSent(failure: Failure): LinkLoss {
  return { reason: failure.message, silent: false, notSent: failure };
}
