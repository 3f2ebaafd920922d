/**
 * Logs what was forwarded, in one line for an interval.
 *
 * @module
 */
import { type EventLog, Events } from "../../kernel/events.ts";
import type { ForwardingCounters } from "./forwarding_counters.ts";

/** Interval between two lines, in ms; none is written if nothing was forwarded. */
const REPORT_INTERVAL_MS = 10_000;

/** Reports the counters of forwarded work. */
export class ForwardingReport {
  readonly #counters: ForwardingCounters;
  readonly #log: EventLog;
  #timer: NodeJS.Timeout | undefined;
  #reported = "";

  constructor(counters: ForwardingCounters, log: EventLog) {
    this.#counters = counters;
    this.#log = log;
  }

  /** Starts the periodic report. */
  start(): void {
    this.#timer = setInterval(() => this.report(), REPORT_INTERVAL_MS);
  }

  /** Writes the last line. */
  stop(): void {
    clearInterval(this.#timer);
    this.report();
  }

  /** Writes the counters since the start, unless they are as in the last line. */
  report(): void {
    const { forwarded, holderFailures, refusals } = this.#counters;
    const { served, heldTransactions } = this.#counters;
    const fields = {
      forwarded: Object.fromEntries(forwarded),
      failures: Object.fromEntries(holderFailures),
      refused: Object.fromEntries(refusals),
      served,
      transactions: heldTransactions,
    };
    const text = JSON.stringify(fields);
    if (text === this.#reported || forwarded.size + served === 0) return;
    this.#reported = text;
    this.#log.write(Events.WORK_FORWARDED, fields);
  }
}
