/**
 * One database group: the probes of its instances and the questions about it.
 *
 * @module
 */
import { ok, type Result, type ResultAsync } from "neverthrow";
import { type EventLog, Events } from "../../kernel/events.ts";
import {
  createFailure,
  type Failure,
  ResultCodes,
} from "../../kernel/result_codes.ts";
import type { Group, Instance } from "../document/document.ts";
import type { DatabaseGroup } from "../upstream/database_group.ts";
import {
  formatPosition,
  type Position,
  ZERO_POSITION,
} from "../upstream/position.ts";
import {
  checkConfirmation,
  findAppliedInstance,
  type GroupState,
  hasApplied,
} from "./position_queries.ts";
import { describeGroup } from "./group_view.ts";
import type { GroupView } from "./health.ts";
import type { InstanceProbe } from "./instance_probe.ts";
import { ProbeSet } from "./probe_set.ts";
import {
  type ConfirmedPrimary,
  confirmPrimary,
  findPrimary,
  majorityPosition,
} from "./quorum.ts";
import { ProbeRounds, type Urgency } from "./probe_rounds.ts";
import { SlowInstances } from "./slow_instances.ts";
import { Staleness } from "./staleness.ts";
import { Waiters } from "./waiters.ts";
import { WriteHold } from "./write_hold.ts";

/** A primary confirmed longer ago than this is confirmed anew before a write goes there. */
const CONFIRMATION_VALID_MS = 500;

/** What a watch needs. */
export interface GroupWatchOptions {
  readonly group: Group;
  readonly control: DatabaseGroup;
  readonly log: EventLog;
  readonly isLeaving: (instance: string) => boolean;
  /** Called when the primary, the term, the hold or a usable instance changes. */
  readonly onChanged: (view: GroupView) => void;
}

/** Watches one group. */
export class GroupWatch {
  readonly slow = new SlowInstances();
  readonly staleness = new Staleness();
  /** Hold of new writes. */
  readonly hold = new WriteHold(() => this.#handleChange());
  group: Group;
  /** The last primary that a majority confirmed. */
  confirmed: ConfirmedPrimary | undefined;
  readonly #options: GroupWatchOptions;
  readonly #probes: ProbeSet;
  readonly #waiters = new Waiters();
  readonly #rounds: ProbeRounds;
  #confirmAfter = -Infinity;
  #majorityPosition: Position = ZERO_POSITION;
  #lastSummary = "";

  constructor(options: GroupWatchOptions) {
    this.#options = options;
    this.group = options.group;
    this.#probes = new ProbeSet({
      control: options.control,
      onSettled: (probe) => this.#handleSettled(probe),
      onRemoved: (instance) => this.staleness.forget(instance),
    });
    this.#rounds = new ProbeRounds({
      probes: () => this.probes,
      urgency: () => this.#urgency(),
    });
    this.update(options.group);
    void this.#rounds.run();
  }

  /** The probes in the order of the document. */
  get probes(): readonly InstanceProbe[] {
    return this.#probes.list;
  }

  /** Takes a changed document; instances that stay the same keep their state. */
  update(group: Group): void {
    this.group = group;
    this.#probes.update(group);
    this.#rounds.request();
  }

  /** The present view. */
  view(): GroupView {
    return describeGroup(this, this.#options.isLeaving);
  }

  /** Resolves once a majority holds the position under its term. */
  confirm(position: Position, deadline: number): ResultAsync<void, Failure> {
    return this.#waitFor(
      deadline,
      () => checkConfirmation(this.#state(), position),
      () => ({
        code: ResultCodes.ACKNOWLEDGE_DEADLINE,
        message: `no majority of ${this.group.database} held ${
          formatPosition(position)
        } in time`,
      }),
    );
  }

  /** A position of the primary that was confirmed after this call. */
  freshPosition(deadline: number): ResultAsync<Position, Failure> {
    const afterRound = this.#rounds.roundNumber;
    return this.#waitFor<Position>(deadline, () => {
      const primary = confirmPrimary(this.probes, afterRound);
      if (!primary) return undefined;
      return ok({ term: primary.term, lsn: primary.status.received });
    }, () => this.#primaryAbsent("was not confirmed in time"));
  }

  /** Resolves with the first of the instances that has applied the position. */
  applied(
    instances: readonly string[],
    position: Position,
    deadline: number,
  ): ResultAsync<string, Failure> {
    return this.#waitFor(
      deadline,
      () => findAppliedInstance(this.#state(), instances, position),
      () => ({
        code: ResultCodes.READ_UNAVAILABLE,
        message: `none of ${instances.join(", ")} applied ${
          formatPosition(position)
        } in time`,
      }),
    );
  }

  /** Resolves when a primary is confirmed and writes are not held. */
  primary(deadline: number): ResultAsync<Instance, Failure> {
    return this.#waitFor(
      deadline,
      () => this.#writablePrimary(),
      () => this.#primaryAbsent("is not known"),
    );
  }

  /** Whether an instance is known to have applied a position. */
  hasApplied(instance: string, position: Position): boolean {
    const probe = this.#probes.get(instance);
    return probe !== undefined && hasApplied(probe, position);
  }

  /** Upper bound in ms of the age of an instance's data. */
  age(instance: string): number {
    const now = performance.now();
    if (this.confirmed?.instance.name === instance) {
      return now - this.confirmed.confirmedAt;
    }
    return this.staleness.age(instance, now);
  }

  /** Expected ms until an instance has applied a position. */
  expectedWait(instance: string, position: Position): number {
    if (this.hasApplied(instance, position)) return 0;
    return this.staleness.expectedWait(instance, position, performance.now());
  }

  /** Probes at once; a primary that failed must be confirmed anew before the next write. */
  reportFailure(instance: string): void {
    if (this.confirmed?.instance.name === instance) {
      this.#confirmAfter = performance.now();
    }
    this.#rounds.request();
  }

  /** Takes the latency of a statement. */
  reportLatency(instance: string, latency: number): void {
    const primary = this.confirmed?.instance.name;
    const peers = this.view().instances
      .filter((item) => item.usable && item.instance.name !== instance)
      .map((item) => item.instance.name)
      .filter((name) => name !== primary);
    if (!this.slow.report(instance, latency, peers)) return;
    this.#log(Events.INSTANCE_EXCLUDED, { instance, latency });
    this.#notifyIfChanged();
  }

  /** A pause of this process says nothing about the instances. */
  resetFailures(): void {
    this.#probes.resetFailures();
  }

  /** Ends the watch; those who wait fail at their deadlines. */
  stop(): void {
    this.#rounds.stop();
    this.hold.end();
    this.#probes.close();
  }

  #handleSettled(probe: InstanceProbe): void {
    const confirmed = confirmPrimary(this.probes, 0);
    this.#majorityPosition = majorityPosition(this.probes);
    if (confirmed) this.#updateConfirmed(confirmed);
    this.staleness.observe(probe);
    this.#rounds.handleSettled(probe);
    for (const instance of this.slow.endExpiredExclusions()) {
      this.#log(Events.INSTANCE_INCLUDED, { instance });
    }
    this.#handleChange();
  }

  #updateConfirmed(confirmed: ConfirmedPrimary): void {
    const last = this.confirmed;
    this.confirmed = confirmed;
    this.staleness.addSample(confirmed);
    const { instance, term } = confirmed;
    if (last?.term === term && last.instance.name === instance.name) return;
    this.#log(Events.PRIMARY_FOUND, { primary: instance.name, term });
  }

  #handleChange(): void {
    this.#waiters.recheck();
    this.#notifyIfChanged();
  }

  #notifyIfChanged(): void {
    const view = this.view();
    const usable = view.instances.map((item) => item.usable);
    const summary = [view.primary, view.term, view.switching, ...usable].join();
    if (summary === this.#lastSummary) return;
    this.#lastSummary = summary;
    this.#options.onChanged(view);
  }

  #urgency(): Urgency {
    if (this.#waiters.size > 0) return "immediate";
    const confirmed = this.confirmed;
    if (!confirmed) return "unconfirmed";
    const age = performance.now() - confirmed.confirmedAt;
    const primary = this.#probes.get(confirmed.instance.name);
    const unconfirmed = age > CONFIRMATION_VALID_MS || !primary ||
      primary.failures > 0 || confirmed.confirmedAt < this.#confirmAfter;
    return unconfirmed ? "unconfirmed" : "idle";
  }

  #waitFor<T>(
    deadline: number,
    check: () => Result<T, Failure> | undefined,
    timeoutFailure: () => Failure,
  ): ResultAsync<T, Failure> {
    const result = this.#waiters.waitFor({
      check,
      deadline,
      timeoutFailure,
    });
    if (this.#waiters.size > 0) this.#rounds.request();
    return result;
  }

  #state(): GroupState {
    return {
      database: this.group.database,
      observations: this.probes,
      primary: this.confirmed,
      majorityPosition: this.#majorityPosition,
    };
  }

  #writablePrimary(): Result<Instance, Failure> | undefined {
    const primary = this.confirmed;
    if (!primary || this.hold.active) return undefined;
    const oldest = performance.now() - CONFIRMATION_VALID_MS;
    if (primary.confirmedAt < Math.max(oldest, this.#confirmAfter)) {
      return undefined;
    }
    const leader = findPrimary(this.probes);
    if (leader?.instance !== primary.instance) return undefined;
    return ok(primary.instance);
  }

  #primaryAbsent(text: string): Failure {
    return createFailure(
      ResultCodes.PRIMARY_ABSENT,
      `the primary of ${this.group.database} ${text}`,
    );
  }

  #log(kind: (typeof Events)[keyof typeof Events], fields: object): void {
    const { database } = this.group;
    this.#options.log.write(kind, { database, ...fields });
  }
}
