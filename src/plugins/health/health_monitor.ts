/**
 * Watches all database groups of the active document.
 *
 * @module
 */
import { errAsync, type ResultAsync } from "neverthrow";
import { type EventLog, Events } from "../../kernel/events.ts";
import type { Service } from "../../kernel/kernel.ts";
import {
  createFailure,
  type Failure,
  ResultCodes,
} from "../../kernel/result_codes.ts";
import type { Configuration } from "../configuration/configuration.ts";
import type { Instance } from "../document/document.ts";
import type { HostList } from "../host_list/host_list.ts";
import type { DatabaseGroup } from "../upstream/database_group.ts";
import type { Position } from "../upstream/position.ts";
import { GroupWatch } from "./group_watch.ts";
import type { GroupView, Health } from "./health.ts";
import { PauseObserver } from "../../kernel/pause_observer.ts";

/** Shortest pause of this process after which the failure counts are reset. */
const MIN_PAUSE_MS = 100;

/** Options of `HealthMonitor`. */
export interface HealthMonitorOptions {
  readonly configuration: Configuration;
  readonly hostList: HostList;
  readonly control: DatabaseGroup;
  readonly log: EventLog;
}

/** Keeps one `GroupWatch` for each group of the document. */
export class HealthMonitor implements Health, Service {
  readonly #options: HealthMonitorOptions;
  readonly #watches = new Map<string, GroupWatch>();
  readonly #listeners = new Set<(view: GroupView) => void>();
  readonly #pauseObserver = new PauseObserver(
    MIN_PAUSE_MS,
    (length) => this.#handlePause(length),
  );
  #unsubscribe = () => {};

  constructor(options: HealthMonitorOptions) {
    this.#options = options;
  }

  /** Starts watching the groups of the document and follows its changes. */
  start(): Promise<void> {
    this.#pauseObserver.start();
    const { configuration } = this.#options;
    this.#unsubscribe = configuration.subscribe(() => this.#updateWatches());
    this.#updateWatches();
    return Promise.resolve();
  }

  /** Stops all watches. */
  stop(): Promise<void> {
    this.#unsubscribe();
    this.#pauseObserver.stop();
    for (const watch of this.#watches.values()) watch.stop();
    this.#watches.clear();
    return Promise.resolve();
  }

  view(database: string): GroupView | undefined {
    return this.#watches.get(database)?.view();
  }

  subscribe(listener: (view: GroupView) => void): () => void {
    this.#listeners.add(listener);
    return () => this.#listeners.delete(listener);
  }

  confirm(
    database: string,
    position: Position,
    deadline: number,
  ): ResultAsync<void, Failure> {
    return this.#watches.get(database)?.confirm(position, deadline) ??
      unknownDatabase(database);
  }

  freshPosition(
    database: string,
    deadline: number,
  ): ResultAsync<Position, Failure> {
    return this.#watches.get(database)?.freshPosition(deadline) ??
      unknownDatabase(database);
  }

  applied(
    database: string,
    instances: readonly string[],
    position: Position,
    deadline: number,
  ): ResultAsync<string, Failure> {
    const watch = this.#watches.get(database);
    return watch?.applied(instances, position, deadline) ??
      unknownDatabase(database);
  }

  hasApplied(database: string, instance: string, position: Position): boolean {
    const watch = this.#watches.get(database);
    return watch?.hasApplied(instance, position) ?? false;
  }

  age(database: string, instance: string): number {
    return this.#watches.get(database)?.age(instance) ?? Infinity;
  }

  expectedWait(
    database: string,
    instance: string,
    position: Position,
  ): number {
    const watch = this.#watches.get(database);
    return watch?.expectedWait(instance, position) ?? Infinity;
  }

  primary(database: string, deadline: number): ResultAsync<Instance, Failure> {
    return this.#watches.get(database)?.primary(deadline) ??
      unknownDatabase(database);
  }

  reportFailure(database: string, instance: string): void {
    this.#watches.get(database)?.reportFailure(instance);
  }

  reportLatency(database: string, instance: string, latency: number): void {
    this.#watches.get(database)?.reportLatency(instance, latency);
  }

  hold(database: string, duration: number): void {
    this.#watches.get(database)?.hold.begin(duration);
  }

  release(database: string): void {
    this.#watches.get(database)?.hold.end();
  }

  #updateWatches(): void {
    const groups = this.#options.configuration.environment()?.groups ?? [];
    const names = new Set(groups.map((group) => group.database));
    for (const [database, watch] of this.#watches) {
      if (names.has(database)) continue;
      watch.stop();
      this.#watches.delete(database);
    }
    for (const group of groups) {
      const watch = this.#watches.get(group.database);
      if (watch) {
        watch.update(group);
        continue;
      }
      const { control, log, hostList } = this.#options;
      this.#watches.set(
        group.database,
        new GroupWatch({
          group,
          control,
          log,
          isLeaving: (instance) => hostList.isLeaving(instance),
          onChanged: (view) => this.#notifyListeners(view),
        }),
      );
    }
  }

  #notifyListeners(view: GroupView): void {
    for (const listener of this.#listeners) listener(view);
  }

  #handlePause(length: number): void {
    this.#options.log.write(Events.PAUSE_OBSERVED, {
      length: Math.round(length),
    });
    for (const watch of this.#watches.values()) watch.resetFailures();
  }
}

function unknownDatabase<T>(database: string): ResultAsync<T, Failure> {
  return errAsync(createFailure(
    ResultCodes.DATABASE_UNKNOWN,
    `no document names the database ${database}`,
  ));
}
