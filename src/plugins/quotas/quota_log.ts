/**
 * Log lines about quotas, bounded in number whatever the load.
 *
 * @module
 */
import { type EventKind, type EventLog, Events } from "../../kernel/events.ts";
import type { ClientEvents } from "./shard_client.ts";

/** Interval at which refusals are reported, in ms. */
const REPORT_INTERVAL_MS = 1_000;

/** Lines of each kind in an interval; the lines of more accounts would not be read. */
const MAX_LINES = 20;

/** Writes at most one line for an account and second, with the number of refused operations. */
export class QuotaLog implements ClientEvents {
  readonly #log: EventLog;
  /** Refused operations by account since the last report. */
  readonly #refused = new Map<string, number>();
  /** Lines by kind since the last report. */
  readonly #lines = new Map<EventKind, number>();
  #timer: NodeJS.Timeout | undefined;

  constructor(log: EventLog) {
    this.#log = log;
  }

  coordinatorChanged(shard: string, from: string, to: string): void {
    this.#write(Events.QUOTA_COORDINATOR_CHANGED, { shard, from, to });
  }

  delegationLapsed(shard: string, coordinator: string): void {
    this.#write(Events.QUOTA_DELEGATION_LAPSED, { shard, coordinator });
  }

  refused(account: string, count: number): void {
    this.#refused.set(account, (this.#refused.get(account) ?? 0) + count);
    this.#startTimer();
  }

  /** Writes what has not been reported yet. */
  stop(): void {
    clearTimeout(this.#timer);
    this.#report();
  }

  #report(): void {
    this.#timer = undefined;
    this.#lines.clear();
    const refused = [...this.#refused];
    this.#refused.clear();
    const others = refused.length - MAX_LINES;
    for (const [account, count] of refused.slice(0, MAX_LINES)) {
      this.#log.write(Events.QUOTA_EXHAUSTED, { account, refused: count });
    }
    if (others <= 0) return;
    const rest = refused.slice(MAX_LINES)
      .reduce((sum, [, count]) => sum + count, 0);
    this.#log.write(Events.QUOTA_EXHAUSTED, {
      accounts: others,
      refused: rest,
    });
  }

  #write(kind: EventKind, fields: Readonly<Record<string, string>>): void {
    const lines = this.#lines.get(kind) ?? 0;
    this.#lines.set(kind, lines + 1);
    this.#startTimer();
    if (lines < MAX_LINES) this.#log.write(kind, fields);
  }

  #startTimer(): void {
    this.#timer ??= setTimeout(() => this.#report(), REPORT_INTERVAL_MS)
      .unref();
  }
}
