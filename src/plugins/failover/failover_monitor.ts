/**
 * Failover of every group in the active configuration document.
 *
 * @module
 */
import { setTimeout as sleep } from "node:timers/promises";
import { build } from "hdr-histogram-js";
import { clock } from "../../kernel/clock.ts";
import type { EventLog } from "../../kernel/events.ts";
import type { Service } from "../../kernel/kernel.ts";
import type { Configuration } from "../configuration/configuration.ts";
import type { Health } from "../health/health.ts";
import { PauseObserver } from "../../kernel/pause_observer.ts";
import type { Membership } from "../membership/membership.ts";
import type { TableService } from "../table_service/table_service.ts";
import type { DatabaseGroup } from "../upstream/database_group.ts";
import type {
  Failover,
  FailoverTimings,
  SwitchoverAnnouncer,
} from "./failover.ts";
import { GroupFailover } from "./group_failover.ts";
import { publishGroupRecord } from "./group_record.ts";
import type { PromotionOutcome } from "./promotion.ts";
import { ProposerRanking } from "./proposer_ranking.ts";

/** Longest wait for running statements to finish after new writes are held. */
const MAX_DRAIN_MS = 1_000;
const DRAIN_INTERVAL_MS = 5;
/** Consecutive checks without a running statement after which an instance counts as drained. */
const DRAINED_CHECK_COUNT = 3;
/** A gap of this length between clock readings counts as a pause of this process and restarts all durations. */
const PAUSE_THRESHOLD_MS = 100;

/** Dependencies of the failover monitor. */
export interface FailoverMonitorOptions {
  /** Name of this proxy. */
  readonly name: string;
  readonly configuration: Configuration;
  readonly health: Health;
  readonly control: DatabaseGroup;
  readonly membership: Membership;
  readonly tableService: TableService;
  readonly log: EventLog;
  /** Number of this proxy's statements that run at an instance or wait for it. */
  readonly outstanding: (database: string, instance: string) => number;
  readonly announcer: SwitchoverAnnouncer;
}

/** Runs one failover task for each group in the document. */
export class FailoverMonitor implements Failover, Service {
  readonly timings: FailoverTimings = {
    detection: build(),
    fencing: build(),
    promotion: build(),
  };
  readonly #options: FailoverMonitorOptions;
  readonly #groups = new Map<string, GroupFailover>();
  readonly #ranking: ProposerRanking;
  readonly #pauseObserver = new PauseObserver(
    PAUSE_THRESHOLD_MS,
    () => this.#onPause(),
  );
  #unsubscribe = () => {};

  constructor(options: FailoverMonitorOptions) {
    this.#options = options;
    const { name, membership, configuration } = options;
    this.#ranking = new ProposerRanking({
      name,
      membership,
      proxyCount: () => configuration.environment()?.proxies.length ?? 0,
    });
  }

  /** Starts the tasks, and adjusts them whenever the document changes. */
  start(): Promise<void> {
    this.#pauseObserver.start();
    const { configuration } = this.#options;
    this.#unsubscribe = configuration.subscribe(() => this.#reconfigure());
    this.#reconfigure();
    return Promise.resolve();
  }

  /** Stops each task after its current step. */
  stop(): Promise<void> {
    this.#unsubscribe();
    this.#pauseObserver.stop();
    for (const group of this.#groups.values()) group.stop();
    this.#groups.clear();
    return Promise.resolve();
  }

  async holdWrites(
    database: string,
    instance: string,
    duration: number,
  ): Promise<boolean> {
    const { health, outstanding } = this.#options;
    health.hold(database, duration);
    const deadline = clock.now() + Math.min(duration, MAX_DRAIN_MS);
    let idleChecks = 0;
    while (idleChecks < DRAINED_CHECK_COUNT && clock.now() < deadline) {
      idleChecks = outstanding(database, instance) === 0 ? idleChecks + 1 : 0;
      await sleep(DRAIN_INTERVAL_MS);
    }
    return idleChecks === DRAINED_CHECK_COUNT;
  }

  releaseWrites(database: string): void {
    this.#options.health.release(database);
  }

  #reconfigure(): void {
    const groups = this.#options.configuration.environment()?.groups ?? [];
    const names = new Set(groups.map((group) => group.database));
    for (const [database, group] of this.#groups) {
      if (names.has(database)) continue;
      group.stop();
      this.#groups.delete(database);
    }
    for (const database of names) {
      if (this.#groups.has(database)) continue;
      const group = this.#createGroup(database);
      this.#groups.set(database, group);
      void group.run();
    }
  }

  #createGroup(database: string): GroupFailover {
    const { health, control, log, announcer } = this.#options;
    return new GroupFailover({
      database,
      health,
      control,
      log,
      ranking: this.#ranking,
      timings: this.timings,
      switchover: { health, control, log, failover: this, announcer },
      onPromoted: (promoted) => this.#publish(database, promoted),
    });
  }

  #publish(database: string, { primary, term }: PromotionOutcome): void {
    const { configuration, tableService, log, name } = this.#options;
    const revision = configuration.current();
    if (!revision) return;
    void publishGroupRecord(tableService, log, {
      environment: revision.environment,
      database,
      primary: primary.name,
      term,
      proposer: name,
    });
  }

  #onPause(): void {
    for (const group of this.#groups.values()) group.resetConditions();
  }
}
