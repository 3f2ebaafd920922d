/**
 * Watches one database group: probes its instances and resolves the requests that wait for its state.
 *
 * @module
 */
import { ok, type Result, type ResultAsync } from "neverthrow";
import { clock } from "../../kernel/clock.ts";
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

/** Maximum age of a confirmation; an older one must be renewed before a write is sent to the primary. */
const CONFIRMATION_VALID_MS = 500;

/** Options of `GroupWatch`. */
export interface GroupWatchOptions {
  readonly group: Group;
  readonly control: DatabaseGroup;
  readonly log: EventLog;
  readonly isLeaving: (instance: string) => boolean;
  /** Called when the primary, the term, the hold or the usable instances change. */
  readonly onChanged: (view: GroupView) => void;
}

/** Keeps the state of one group up to date by probing its instances. */
export class GroupWatch {
  readonly slow = new SlowInstances();
  readonly staleness = new Staleness();
  readonly hold = new WriteHold(() => this.#handleHoldChange());
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

  /** The probes, in the order of the instances in the document. */
  get probes(): readonly InstanceProbe[] {
    return this.#probes.list;
  }

  /** Applies a changed document; unchanged instances keep their state. */
  update(group: Group): void {
    this.group = group;
    this.#probes.update(group);
    this.#rounds.request();
  }

  /** Returns the current view of the group. */
  view(): GroupView {
    return describeGroup(this, this.#options.isLeaving);
  }

  /** Resolves once a majority holds the position under its term; fails with ACKNOWLEDGE_DEADLINE at the deadline. */
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

  /** Resolves with a position of the primary that was confirmed in a round started after this call; fails with PRIMARY_ABSENT at the deadline. */
  freshPosition(deadline: number): ResultAsync<Position, Failure> {
    const afterRound = this.#rounds.roundNumber;
    return this.#waitFor<Position>(deadline, () => {
      const primary = confirmPrimary(this.probes, afterRound);
      if (!primary) return undefined;
      return ok({ term: primary.term, lsn: primary.status.received });
    }, () => this.#primaryAbsent("was not confirmed in time"));
  }

  /** Resolves with the first of the instances that has applied the position; fails with READ_UNAVAILABLE at the deadline. */
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

  /** Resolves when a primary is confirmed and writes are not held; fails with PRIMARY_ABSENT at the deadline. */
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

  /** Upper bound, in ms, of the age of an instance's data; Infinity when unknown. */
  age(instance: string): number {
    const observedAt = this.confirmed?.instance.name === instance
      ? this.confirmed.confirmedAt
      : this.staleness.observedAt(instance);
    return clock.now() - observedAt;
  }

  /** Expected time in ms until an instance has applied a position; 0 if it already has. */
  expectedWait(instance: string, position: Position): number {
    if (this.hasApplied(instance, position)) return 0;
    return this.staleness.expectedWait(instance, position, clock.now());
  }

  /** Requests a probe round; a primary that failed must be confirmed again before the next write. */
  reportFailure(instance: string): void {
    if (this.confirmed?.instance.name === instance) {
      this.#confirmAfter = clock.now();
    }
    this.#rounds.request();
  }

  /** Records the latency of a statement in ms and excludes the instance from reads if it is slow. */
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

  /** Resets the failure counts after a pause of this process, since failures during it don't indicate a fault of the instances. */
  resetFailures(): void {
    this.#probes.resetFailures();
  }

  /** Stops probing; waiting requests fail at their deadlines. */
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

  #handleHoldChange(): void {
    if (!this.hold.active) this.#rounds.request();
    this.#handleChange();
  }

  /** Monotonic ms; an earlier confirmation doesn't count. After a hold the primary must be confirmed again, since the hold may have been for its replacement. */
  get #confirmationNeededFrom(): number {
    if (this.hold.active) return this.#confirmAfter;
    return Math.max(this.#confirmAfter, this.hold.until);
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
    const age = clock.now() - confirmed.confirmedAt;
    const primary = this.#probes.get(confirmed.instance.name);
    const unconfirmed = age > CONFIRMATION_VALID_MS || !primary ||
      primary.failures > 0 ||
      confirmed.confirmedAt < this.#confirmationNeededFrom;
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
    const oldest = clock.now() - CONFIRMATION_VALID_MS;
    const from = Math.max(oldest, this.#confirmationNeededFrom);
    if (primary.confirmedAt < from) {
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
