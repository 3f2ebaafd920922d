/**
 * Deletes requests from the ledgers that are older than the document's
 * `ledger.keep`. Only one proxy does so: the live one whose name sorts first.
 *
 * @module
 */
import { setTimeout as sleep } from "node:timers/promises";
import { clock } from "../../kernel/clock.ts";
import { type EventLog, Events } from "../../kernel/events.ts";
import type { Service } from "../../kernel/kernel.ts";
import { Exchange } from "../callers/exchange.ts";
import { acquirePrimary } from "../callers/primary_connection.ts";
import { runInternalQuery } from "../callers/run.ts";
import type { Configuration } from "../configuration/configuration.ts";
import type { Connections } from "../connections/connections.ts";
import type { Group } from "../document/document.ts";
import type { Health } from "../health/health.ts";
import type { Membership } from "../membership/membership.ts";
import type { Ledger } from "./ledger.ts";

const PURGE_INTERVAL_MS = 600_000;
/** Time limit for acquiring a connection to the primary. */
const PURGE_DEADLINE_MS = 10_000;

/** Services and settings of the ledger purge. */
export interface LedgerPurgeOptions {
  readonly log: EventLog;
  /** Name of this proxy. */
  readonly name: string;
  readonly configuration: Configuration;
  readonly connections: Connections;
  readonly health: Health;
  readonly membership: Membership;
  readonly ledger: Ledger;
  /** Interval between purges in ms; default 10 minutes. */
  readonly interval?: number;
}

/** Periodically purges the ledgers of all groups. */
export class LedgerPurge implements Service {
  readonly #options: LedgerPurgeOptions;
  readonly #stopped = new AbortController();

  constructor(options: LedgerPurgeOptions) {
    this.#options = options;
  }

  start(): Promise<void> {
    void this.#run();
    return Promise.resolve();
  }

  stop(): Promise<void> {
    this.#stopped.abort();
    return Promise.resolve();
  }

  async #run(): Promise<void> {
    const { interval = PURGE_INTERVAL_MS } = this.#options;
    const { signal } = this.#stopped;
    while (!signal.aborted) {
      await sleep(interval, undefined, { signal, ref: false }).catch(() => {});
      if (signal.aborted || !this.#isElected()) continue;
      const groups = this.#options.configuration.environment()?.groups ?? [];
      for (const group of groups) await this.#purge(group);
    }
  }

  #isElected(): boolean {
    const names = this.#options.membership.alive().map((member) => member.name);
    return names.every((name) => name >= this.#options.name);
  }

  async #purge(group: Group): Promise<void> {
    const { ledger, log } = this.#options;
    const deadline = clock.now() + PURGE_DEADLINE_MS;
    const acquired = await acquirePrimary(
      this.#options,
      group,
      "low",
      deadline,
    );
    if (acquired.isErr()) return;
    const exchange = new Exchange(acquired.value.connection);
    const text = ledger.purgeText(group.ledger.keep);
    const answer = await runInternalQuery(exchange, text);
    exchange.finish(answer.status === "I");
    const missingTable = answer.error &&
      ledger.isMissingTable(answer.error.sqlState);
    if (missingTable) return;
    log.write(Events.LEDGER_PURGED, {
      database: group.database,
      ...(answer.error ? { failure: answer.error.message } : {}),
    });
  }
}
