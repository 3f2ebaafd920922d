/**
 * Counts forwarded work, for the metrics page.
 *
 * @module
 */

/** What became of work that this proxy forwarded. */
export type ForwardedOutcome =
  | "answered"
  /** Nothing has run. */
  | "refused"
  /** The holder says that the instance gave no answer. */
  | "lost"
  /** No reply in time. */
  | "late"
  /** The holder was lost with the work. */
  | "holder lost"
  /** Run on a connection of this proxy's own, since no holder took it. */
  | "own connection";

/** Why a holder did not take work. */
export type HolderFailure = "unreachable" | "not received" | "not holder";

/** Why this proxy refused work of another one. */
export type WorkRefusal =
  | "not holder"
  | "other start"
  | "stopping"
  | "malformed";

/** Counters since the process started. */
export class ForwardingCounters {
  readonly forwarded = new Map<ForwardedOutcome, number>();
  readonly holderFailures = new Map<HolderFailure, number>();
  readonly refusals = new Map<WorkRefusal, number>();
  /** Statements and commands that were run for other proxies. */
  served = 0;
  /** Transactions of other proxies that are open. */
  heldTransactions = 0;

  countForwarded(outcome: ForwardedOutcome): void {
    increment(this.forwarded, outcome);
  }

  countHolderFailure(failure: HolderFailure): void {
    increment(this.holderFailures, failure);
  }

  countRefusal(refusal: WorkRefusal): void {
    increment(this.refusals, refusal);
  }
}

function increment<Key>(counts: Map<Key, number>, key: Key): void {
  counts.set(key, (counts.get(key) ?? 0) + 1);
}
