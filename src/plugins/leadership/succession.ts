/**
 * Monitors the primaries of all groups and starts a change of primary when needed.
 *
 * @module
 */
import { err, type Result } from "neverthrow";
import { clock } from "../../kernel/clock.ts";
import { type EventLog, Events } from "../../kernel/events.ts";
import { logUnexpected } from "../../kernel/unexpected_errors.ts";
import type { LinkPools } from "../connections/link_pools.ts";
import type { InstanceConnector } from "../connections/upstream_pools.ts";
import type { InstanceDirectory } from "../deployment/instance_directory.ts";
import type { ActiveRoutes } from "../deployment/routes.ts";
import type {
  Coordination,
  GroupRecord,
  PromotionOrder,
} from "./coordination.ts";
import {
  GroupLeadership,
  LEASE_MS,
  type StatusRounds,
} from "./group_leadership.ts";
import { type ChangeReason, PrimaryChange } from "./primary_change.ts";
import { isEraSettled } from "./era_settling.ts";
import { PrimaryFailureDetector } from "./primary_doubt.ts";
import { probeInstance } from "./primary_probe.ts";

/** Interval between checks of all groups, in ms. */
const CHECK_INTERVAL_MS = 100;

/**
 * Head start of the proxy that started the last change of a group, in ms, so
 * that the holder does not alternate between proxies.
 */
const HEAD_START_MS = 400;

/** Period over which proxies stagger their attempts to take over an expired change, in ms. */
const TAKEOVER_SPREAD_MS = 600;

/** Delay after an abandoned or lost change before this proxy retries, in ms. */
const RETRY_AFTER_MS = 2_500;

/**
 * Delay before a planned change is tried again that no replica was ready for, in
 * ms: the least, and the time for each proxy, since all of them ask the instances.
 */
const POSTPONED_RETRY_MIN_MS = 300;
const POSTPONED_RETRY_PER_PROXY_MS = 30;

/** Time for which the primary has to be unknown, or to follow another one, before it is searched for, in ms; entries of instances that are missing come back within it. */
const ASTRAY_MS = 5_000;

/** Dependencies of the succession service. */
export interface SuccessionOptions {
  /** Name of this proxy. */
  readonly proxy: string;
  readonly routes: ActiveRoutes;
  readonly directory: InstanceDirectory;
  readonly coordination: Coordination;
  readonly pools: LinkPools;
  readonly connector: InstanceConnector;
  readonly rounds: StatusRounds;
  readonly order: PromotionOrder;
  readonly log: EventLog;
}

interface Group {
  readonly leadership: GroupLeadership;
  readonly detector: PrimaryFailureDetector;
  /** Primary to which the failure detector's state belongs. */
  primary?: string;
  /** Monotonic ms at which a change was first found necessary. */
  neededSince?: number;
  changing: boolean;
  notBefore: number;
  /** Monotonic ms since which the primary is unknown, or the known one follows another. */
  astraySince?: number;
  /** Monotonic ms at which the group's row was first found lost. */
  lostSince?: number;
  restoring: boolean;
}

/** Manages the leadership and the primary changes of all groups. */
export class Succession {
  readonly #options: SuccessionOptions;
  readonly #groups = new Map<string, Group>();
  #timer: NodeJS.Timeout | undefined;

  constructor(options: SuccessionOptions) {
    this.#options = options;
  }

  /** Starts the periodic checks and subscribes to updates. */
  start(): void {
    this.#timer = setInterval(() => this.#checkGroups(), CHECK_INTERVAL_MS);
    this.#options.coordination.subscribe(() => this.#refresh());
    this.#options.directory.subscribe(({ group }) =>
      this.#groups.get(group)?.leadership.refresh()
    );
  }

  /** Stops the periodic checks; other proxies take over a change in progress. */
  stop(): void {
    clearInterval(this.#timer);
  }

  /** Returns the leadership of a group, which is created at the first use. */
  leadership(name: string): GroupLeadership {
    return this.#group(name).leadership;
  }

  /** Records that a statement is sent to an instance; ignored unless it is the primary. */
  onRequest(name: string, instance: string): void {
    const group = this.#group(name);
    if (group.leadership.primary === instance) group.detector.recordRequest();
  }

  /** Records an answer of a group's leader and the term that it reported. */
  onAnswer(name: string, term: number | undefined): void {
    const group = this.#group(name);
    group.leadership.recordAnswer(term);
    group.detector.recordAnswer();
  }

  /**
   * Records that an instance was unreachable, closed a connection or did not
   * answer; ignored unless it is the primary.
   */
  onFailure(name: string, instance: string): void {
    const group = this.#group(name);
    if (group.leadership.primary !== instance) return;
    this.#trackPrimary(group);
    void group.detector.suspect();
  }

  /** Whether the primary of a group is considered dead or is being probed. */
  isSuspected(name: string): boolean {
    return this.#group(name).detector.isSuspected;
  }

  #group(name: string): Group {
    const known = this.#groups.get(name);
    if (known) return known;
    const { coordination, directory, rounds, pools, log } = this.#options;
    const leadership = new GroupLeadership({
      group: name,
      coordination,
      directory,
      rounds,
      terminateStatements: (instance) => pools.destroyBusy(instance),
      log,
    });
    const group: Group = {
      leadership,
      detector: new PrimaryFailureDetector(() =>
        this.#probe(leadership.primary)
      ),
      changing: false,
      notBefore: -Infinity,
      restoring: false,
    };
    this.#groups.set(name, group);
    leadership.refresh();
    return group;
  }

  #refresh(): void {
    for (const group of this.#groups.values()) {
      this.#trackPrimary(group);
      group.leadership.refresh();
    }
  }

  /** Resets the failure detector if the primary has changed. */
  #trackPrimary(group: Group): void {
    const { primary } = group.leadership;
    if (primary === group.primary) return;
    group.primary = primary;
    group.neededSince = undefined;
    group.detector.reset();
  }

  #checkGroups(): void {
    const { table } = this.#options.routes;
    if (!table || !this.#options.directory.loaded) return;
    for (const name of table.groups.keys()) {
      const group = this.#group(name);
      this.#trackPrimary(group);
      void group.detector.checkSilence();
      this.#checkRow(group);
      const reason = this.#reasonToChange(group);
      if (!reason) {
        group.neededSince = undefined;
        continue;
      }
      const now = clock.now();
      group.neededSince ??= now;
      if (group.changing || now < group.notBefore) continue;
      if (now - group.neededSince < this.#headStart(group)) continue;
      void this.#change(group, reason);
    }
  }

  #reasonToChange(group: Group): ChangeReason | undefined {
    const { coordination, directory } = this.#options;
    const { leadership, detector } = group;
    if (!isEraSettled(coordination)) return undefined;
    const record = coordination.group(leadership.group);
    if (record?.value.phase === "changing") {
      if (!this.#isExpired(record.value, group)) return undefined;
      return {
        planned: record.value.planned,
        text: `${record.value.holder} did not end its change in time`,
      };
    }
    const astray = this.#reasonToSearch(group);
    if (astray) return astray;
    const { primary } = leadership;
    if (!primary) return undefined;
    const listed = directory.get(primary);
    if (detector.failureReason) {
      return {
        planned: false,
        text: `probes of ${primary}: ${detector.failureReason}`,
      };
    }
    if (!listed) {
      return { planned: false, text: `${primary} is no longer listed` };
    }
    if (!listed.leaving) return undefined;
    const others = directory.group(leadership.group)
      .filter(({ id, leaving }) => id !== primary && !leaving);
    if (others.length === 0) return undefined;
    return { planned: true, text: `${primary} is leaving` };
  }

  /** Why the primary has to be found among the instances: the row and the entries don't name it, or name a former one. */
  #reasonToSearch(group: Group): ChangeReason | undefined {
    const { directory, coordination } = this.#options;
    const { leadership } = group;
    const isUnknown = leadership.primary === undefined &&
      directory.group(leadership.group).length > 0;
    const now = clock.now();
    if (!isUnknown && !leadership.isReplaced) {
      group.astraySince = undefined;
      return undefined;
    }
    group.astraySince ??= now;
    // A proxy without the store can't tell whether entries are missing.
    const isInTouch = now - coordination.confirmedAt < LEASE_MS;
    if (!isInTouch || now - group.astraySince < ASTRAY_MS) return undefined;
    return {
      planned: false,
      searches: true,
      text: isUnknown
        ? "no instance, or several claim to be the primary"
        : `${leadership.primary} follows another primary`,
    };
  }

  /** Writes the row of a group again that the store lost, unless another proxy does so first. */
  #checkRow(group: Group): void {
    const { coordination } = this.#options;
    if (!coordination.isGroupLost(group.leadership.group)) {
      group.lostSince = undefined;
      return;
    }
    const now = clock.now();
    group.lostSince ??= now;
    if (group.restoring || now - group.lostSince < this.#spread()) return;
    void this.#restoreRow(group);
  }

  async #restoreRow(group: Group): Promise<void> {
    const { coordination, log } = this.#options;
    const name = group.leadership.group;
    const { version, value } = coordination.group(name)!;
    group.restoring = true;
    const written = await coordination.putGroup(name, version, value);
    log.write(Events.STORE_ROWS_RESTORED, {
      group: name,
      ...value,
      before: version,
      outcome: written.isOk() ? "written" : written.error.kind,
    });
    group.restoring = false;
    // A failed write is repeated after the proxies behind this one had their turn.
    group.lostSince = clock.now();
  }

  /** Whether the holder of a change has exceeded its time, has restarted or has given up. */
  #isExpired(record: GroupRecord, group: Group): boolean {
    const { coordination, proxy } = this.#options;
    if (coordination.clock() >= record.expiresAt) return true;
    if (record.holder === proxy && !group.changing) return true;
    const holder = coordination.hosts().get(record.holder);
    return holder !== undefined &&
      holder.value.incarnation !== record.holderLife;
  }

  /** How long this proxy lets those before it in the order of names act first, in ms. */
  #spread(): number {
    const { coordination, proxy } = this.#options;
    const names = [...coordination.hosts().keys()].sort();
    const rank = Math.max(0, names.indexOf(proxy));
    return TAKEOVER_SPREAD_MS * rank / Math.max(1, names.length);
  }

  /** How long this proxy waits for another one to start the change, in ms. */
  #headStart(group: Group): number {
    const { coordination, proxy } = this.#options;
    const record = coordination.group(group.leadership.group);
    const spread = this.#spread();
    if (record?.value.phase === "changing") return HEAD_START_MS + spread;
    const holder = record?.value.holder;
    if (!holder || holder === proxy) return spread / 4;
    return coordination.hosts().has(holder)
      ? HEAD_START_MS + spread / 4
      : spread / 4;
  }

  async #change(group: Group, reason: ChangeReason): Promise<void> {
    const { proxy, coordination, directory, pools, order, log } = this.#options;
    group.changing = true;
    try {
      const change = new PrimaryChange({
        proxy,
        leadership: group.leadership,
        coordination,
        directory,
        pools,
        order,
        synchronousReplicas: this.#synchronousReplicas(group),
        log,
      }, reason);
      const outcome = await change.run();
      if (outcome === "postponed") {
        group.notBefore = clock.now() + Math.max(
          POSTPONED_RETRY_MIN_MS,
          POSTPONED_RETRY_PER_PROXY_MS * coordination.hosts().size,
        );
      } else if (outcome !== "changed") {
        group.notBefore = clock.now() + RETRY_AFTER_MS;
        group.detector.reset();
      }
    } catch (error) {
      logUnexpected(log, "change", error);
      group.notBefore = clock.now() + RETRY_AFTER_MS;
    } finally {
      group.changing = false;
      group.neededSince = undefined;
    }
  }

  #synchronousReplicas({ leadership }: Group): number {
    const settings = this.#options.routes.table?.groups.get(leadership.group);
    return settings?.synchronousReplicas ?? 0;
  }

  async #probe(
    primary: string | undefined,
  ): Promise<Result<void, "refused" | "silent">> {
    const { directory, connector, log } = this.#options;
    const instance = primary ? directory.get(primary) : undefined;
    if (!instance) return err("refused");
    const startedAt = clock.now();
    const outcome = await probeInstance(connector, instance, startedAt);
    log.write(Events.PRIMARY_SUSPECTED, {
      group: instance.group,
      instance: instance.id,
      outcome: outcome.isOk() ? "answered" : outcome.error,
      elapsed: Math.round(clock.now() - startedAt),
    });
    if (outcome.isOk()) this.onAnswer(instance.group, undefined);
    return outcome;
  }
}
