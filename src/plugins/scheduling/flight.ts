/**
 * The statements that occupy a place at an instance, each from the moment it may
 * be sent until it is over, and what their accounts are charged for them.
 *
 * @module
 */
import { clock } from "../../kernel/clock.ts";
import type { FairQueue } from "./fair_queue.ts";
import type { SlotTimes } from "./slot_times.ts";

/** How a statement ended, as far as it says something about the instance. */
export type FlightOutcome =
  /** Answered. */
  | "answered"
  /** Run, and failed; or not answered. */
  | "failed"
  /** Not run, since slots and queue of the instance are full. */
  | "rejected"
  /** Not sent, or not run for a reason that lies in the statement. */
  | "not run";

/** A statement in flight. */
export interface Flight {
  readonly account: string;
  readonly rank: number;
  /** Slot time in ms that the account was charged with in advance. */
  readonly charged: number;
  /** Number of statements in flight when it began, with itself. */
  readonly inFlight: number;
  /** What kind of statement it is, for comparisons of durations. */
  kind: string;
  /** Monotonic ms at which it was sent; undefined until then. */
  sentAt?: number;
}

interface LastAnswer {
  readonly account: string;
  /** Monotonic ms. */
  readonly at: number;
}

/** Age up to which an answer shows that the instance works, in ms; well above the duration of a statement. */
const RECENT_ANSWER_MS = 1_000;

/** All statements in flight at one instance. */
export class Flights {
  readonly #queue: Pick<FairQueue<unknown>, "charge">;
  readonly #slotTimes: SlotTimes;
  readonly #flights = new Set<Flight>();
  /** The last answers of two accounts, the latest first. */
  #answers: readonly LastAnswer[] = [];

  constructor(queue: Pick<FairQueue<unknown>, "charge">, slotTimes: SlotTimes) {
    this.#queue = queue;
    this.#slotTimes = slotTimes;
  }

  get count(): number {
    return this.#flights.size;
  }

  /** Whether statements of accounts other than this one were answered a moment ago. */
  worksForOthers(account: string, now = clock.now()): boolean {
    return this.#answers.some((answer) =>
      answer.account !== account && now - answer.at < RECENT_ANSWER_MS
    );
  }

  /** Begins a flight and charges its account with the expected slot time. */
  begin(account: string, rank: number): Flight {
    const charged = this.#slotTimes.of(rank);
    const inFlight = this.#flights.size + 1;
    const flight: Flight = { account, rank, charged, inFlight, kind: "" };
    this.#flights.add(flight);
    this.#queue.charge(account, rank, charged);
    return flight;
  }

  /** Ends a flight and charges its account with the rest; returns false if it was over. */
  end(flight: Flight, outcome: FlightOutcome): boolean {
    if (!this.#flights.delete(flight)) return false;
    const now = clock.now();
    const { account, rank, sentAt = now, charged } = flight;
    const slotTime = outcome === "rejected" ? 0 : now - sentAt;
    this.#queue.charge(account, rank, slotTime - charged);
    if (outcome === "answered") {
      this.#slotTimes.record(rank, slotTime, now);
      const other = this.#answers.find((answer) => answer.account !== account);
      this.#answers = [{ account, at: now }, ...(other ? [other] : [])];
    }
    return true;
  }
}
