/**
 * Watches the primaries of all groups and begins a change where one is needed.
 *
 * @module
 */
import { err, ok, type Result } from "neverthrow";
import { type EventLog, Events } from "../../kernel/events.ts";
import { ResultCodes } from "../../kernel/result_codes.ts";
import type {
  InstanceConnector,
  UpstreamPools,
} from "../connections/upstream_pools.ts";
import type { InstanceDirectory } from "../deployment/instance_directory.ts";
import type { RoutesInForce } from "../deployment/routes.ts";
import type {
  Coordination,
  GroupRecord,
  PromotionOrder,
} from "./coordination.ts";
import { GroupLeadership, type StatusRounds } from "./group_leadership.ts";
import { type ChangeReason, PrimaryChange } from "./primary_change.ts";
import { PrimaryDoubt } from "./primary_doubt.ts";

/** Time between two looks at all groups, in ms. */
const LOOK_INTERVAL_MS = 100;

/** A probe without an answer counts as silence after this, in ms: two crossings between regions, an opening and a short queue. */
const PROBE_TIMEOUT_MS = 350;

/** A connection that fails within this time, in ms, was refused; later, nothing answered. */
const REFUSAL_MS = 250;

/** Head start of the proxy that ordered the last change of a group, in ms, so that holders do not take turns. */
const HOLDER_LEAD_MS = 400;

/** Spread over which proxies begin to take over an expired change, in ms. */
const TAKEOVER_SPREAD_MS = 600;

/** Time after an abandoned or lost change before this proxy tries again, in ms. */
const RETRY_AFTER_MS = 2_500;

/** What the succession is made with. */
export interface SuccessionOptions {
  /** Name of this proxy. */
  readonly proxy: string;
  readonly routes: RoutesInForce;
  readonly directory: InstanceDirectory;
  readonly coordination: Coordination;
  readonly pools: UpstreamPools;
  readonly connector: InstanceConnector;
  readonly rounds: StatusRounds;
  readonly order: PromotionOrder;
  readonly log: EventLog;
}

interface Group {
  readonly leadership: GroupLeadership;
  readonly doubt: PrimaryDoubt;
  /** Primary that the doubt is about. */
  primary?: string;
  /** Monotonic ms since which a change is needed. */
  neededSince?: number;
  changing: boolean;
  notBefore: number;
}

/** Leadership and changes of all groups. */
export class Succession {
  readonly #options: SuccessionOptions;
  readonly #groups = new Map<string, Group>();
  #timer: NodeJS.Timeout | undefined;

  constructor(options: SuccessionOptions) {
    this.#options = options;
  }

  /** Begins to watch. */
  start(): void {
    this.#timer = setInterval(() => this.#look(), LOOK_INTERVAL_MS);
    this.#options.coordination.subscribe(() => this.#refresh());
    this.#options.directory.subscribe(({ group }) =>
      this.#groups.get(group)?.leadership.refresh()
    );
  }

  /** Ends the watch; a change under way is left to the others. */
  stop(): void {
    clearInterval(this.#timer);
  }

  /** Leadership of a group. */
  leadership(name: string): GroupLeadership {
    return this.#group(name).leadership;
  }

  /** Notes that a statement is sent to an instance; matters for a primary. */
  asked(name: string, instance: string): void {
    const group = this.#group(name);
    if (group.leadership.primary === instance) group.doubt.asked();
  }

  /** Notes an answer of a group's leader. */
  heard(name: string, term: number | undefined): void {
    const group = this.#group(name);
    group.leadership.heard(term);
    group.doubt.heard();
  }

  /** Notes that an instance could not be reached, ended a connection or did not answer; matters for a primary. */
  failed(name: string, instance: string): void {
    const group = this.#group(name);
    if (group.leadership.primary !== instance) return;
    this.#watchPrimary(group);
    void group.doubt.raise();
  }

  /** Whether the primary of a group counts as dead or has been silent for long. */
  isDoubted(name: string): boolean {
    return this.#group(name).doubt.pressing;
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
      abandon: (instance) => pools.destroyBusy(instance),
      log,
    });
    const group: Group = {
      leadership,
      doubt: new PrimaryDoubt(() => this.#probe(leadership.primary)),
      changing: false,
      notBefore: -Infinity,
    };
    this.#groups.set(name, group);
    leadership.refresh();
    return group;
  }

  #refresh(): void {
    for (const group of this.#groups.values()) {
      this.#watchPrimary(group);
      group.leadership.refresh();
    }
  }

  /** Forgets the doubt about a primary that was replaced. */
  #watchPrimary(group: Group): void {
    const { primary } = group.leadership;
    if (primary === group.primary) return;
    group.primary = primary;
    group.neededSince = undefined;
    group.doubt.reset();
  }

  #look(): void {
    const { table } = this.#options.routes;
    if (!table || !this.#options.directory.loaded) return;
    for (const name of table.groups.keys()) {
      const group = this.#group(name);
      this.#watchPrimary(group);
      void group.doubt.look();
      const reason = this.#reasonToChange(group);
      if (!reason) {
        group.neededSince = undefined;
        continue;
      }
      const now = performance.now();
      group.neededSince ??= now;
      if (group.changing || now < group.notBefore) continue;
      if (now - group.neededSince < this.#headStart(group)) continue;
      void this.#change(group, reason);
    }
  }

  #reasonToChange(group: Group): ChangeReason | undefined {
    const { coordination, directory } = this.#options;
    const { leadership, doubt } = group;
    const record = coordination.group(leadership.group);
    if (record?.value.phase === "changing") {
      if (!this.#isExpired(record.value)) return undefined;
      return {
        planned: record.value.planned,
        text: `${record.value.holder} did not end its change in time`,
      };
    }
    const { primary } = leadership;
    if (!primary) return undefined;
    const listed = directory.get(primary);
    if (doubt.dead) {
      return { planned: false, text: `probes of ${primary}: ${doubt.dead}` };
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

  /** Whether whoever holds a change will not end it. */
  #isExpired(record: GroupRecord): boolean {
    const { coordination } = this.#options;
    if (coordination.clock() >= record.expiresAt) return true;
    const holder = coordination.hosts().get(record.holder);
    return holder !== undefined &&
      holder.value.incarnation !== record.holderLife;
  }

  /** How long this proxy waits for another one to begin. */
  #headStart(group: Group): number {
    const { coordination, proxy } = this.#options;
    const record = coordination.group(group.leadership.group);
    const names = [...coordination.hosts().keys()].sort();
    const rank = Math.max(0, names.indexOf(proxy));
    const spread = TAKEOVER_SPREAD_MS * rank / Math.max(1, names.length);
    if (record?.value.phase === "changing") return HOLDER_LEAD_MS + spread;
    const holder = record?.value.holder;
    if (!holder || holder === proxy) return spread / 4;
    return coordination.hosts().has(holder)
      ? HOLDER_LEAD_MS + spread / 4
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
        log,
      }, reason);
      const outcome = await change.run();
      if (outcome !== "changed") {
        group.notBefore = performance.now() + RETRY_AFTER_MS;
        group.doubt.reset();
      }
    } catch (error) {
      log.write(Events.UNEXPECTED, { where: "change", error: String(error) });
      group.notBefore = performance.now() + RETRY_AFTER_MS;
    } finally {
      group.changing = false;
      group.neededSince = undefined;
    }
  }

  async #probe(
    primary: string | undefined,
  ): Promise<Result<void, "refused" | "silent">> {
    const { directory, connector, log } = this.#options;
    const instance = primary ? directory.get(primary) : undefined;
    if (!instance) return err("refused");
    const begun = performance.now();
    const outcome = await this.#ask(connector, instance, begun);
    log.write(Events.PRIMARY_SUSPECTED, {
      group: instance.group,
      instance: instance.id,
      outcome: outcome.isOk() ? "answered" : outcome.error,
      elapsed: Math.round(performance.now() - begun),
    });
    if (outcome.isOk()) this.heard(instance.group, undefined);
    return outcome;
  }

  async #ask(
    connector: InstanceConnector,
    instance: Parameters<InstanceConnector["open"]>[0],
    begun: number,
  ): Promise<Result<void, "refused" | "silent">> {
    const opened = await connector.open(instance, PROBE_TIMEOUT_MS);
    if (opened.isErr()) {
      const { code } = opened.error;
      // Too many connections, or no slot for one more: it lives.
      if (code === ResultCodes.UPSTREAM_REFUSED) return ok(undefined);
      const elapsed = performance.now() - begun;
      return err(elapsed < REFUSAL_MS ? "refused" : "silent");
    }
    const link = opened.value({ onReleased: () => {}, onClosed: () => {} });
    const status = await link.status(begun + PROBE_TIMEOUT_MS);
    link.destroy();
    if (status.isOk()) return ok(undefined);
    return status.error.silent ? err("silent") : ok(undefined);
  }
}
