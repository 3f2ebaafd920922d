/**
 * Who holds the connections of which instance, as this proxy knows it; logs each
 * change of it.
 *
 * @module
 */
import { type EventLog, Events } from "../../kernel/events.ts";
import type { HolderRule } from "../connections/holder_rule.ts";
import type { PeerChannels } from "../channels/channels.ts";
import type {
  InstanceDirectory,
  ListedInstance,
} from "../deployment/instance_directory.ts";
import type { ProxyLocation } from "../deployment/proxy_location.ts";
import type { ActiveRoutes } from "../deployment/routes.ts";
import type { Coordination } from "../leadership/coordination.ts";
import { HolderOrder } from "./holder_order.ts";
import { HolderShares } from "./holder_shares.ts";
import { ScheduledGroups } from "./scheduled_groups.ts";
import { StoppingHosts } from "./stopping_hosts.ts";

/** Dependencies of the holders. */
export interface HoldersOptions {
  readonly place: ProxyLocation;
  readonly routes: ActiveRoutes;
  readonly directory: InstanceDirectory;
  readonly coordination: Pick<
    Coordination,
    "hosts" | "liveHosts" | "subscribe"
  >;
  readonly channels: Pick<PeerChannels, "endpoint">;
  readonly log: EventLog;
}

/** The holders of all instances. */
export class Holders implements HolderRule {
  readonly stopping: StoppingHosts;
  readonly order: HolderOrder;
  readonly shares: HolderShares;
  readonly #options: HoldersOptions;
  readonly #scheduled: ScheduledGroups;
  /** Names of the holders that were last logged, by instance; none for an instance whose group has no holders. */
  readonly #logged = new Map<string, readonly string[]>();

  constructor(options: HoldersOptions) {
    const { place, routes, directory, coordination } = options;
    this.#options = options;
    this.stopping = new StoppingHosts(coordination);
    this.order = new HolderOrder({
      place,
      hosts: () => coordination.liveHosts(),
      stopping: () => this.stopping.names,
    });
    const { proxy } = place;
    const { order } = this;
    this.shares = new HolderShares({ proxy, directory, routes, order });
    this.#scheduled = new ScheduledGroups(options);
  }

  /** Follows the hosts' rows and the instances. */
  start(): void {
    const { coordination, directory } = this.#options;
    coordination.subscribe(() => this.refresh());
    directory.subscribe(({ id }) => {
      if (!this.#logged.has(id)) this.refresh();
    });
  }

  isScheduled(group: string): boolean {
    return this.#scheduled.isScheduled(group);
  }

  scheduledShare(instance: string): number {
    return this.shares.share(instance);
  }

  /** Instances that this proxy holds or is the standby for. */
  held(): readonly ListedInstance[] {
    return this.#options.directory.all().filter((instance) =>
      this.isScheduled(instance.group) &&
      this.shares.role(instance.id) !== "other"
    );
  }

  /** Takes changes of the hosts' rows into account, and logs what they change. */
  refresh(): void {
    this.stopping.refresh();
    const listed = this.#options.directory.all();
    for (const instance of listed) this.#log(instance);
    if (this.#logged.size === listed.length) return;
    const ids = new Set(listed.map(({ id }) => id));
    for (const id of this.#logged.keys()) {
      if (ids.has(id)) continue;
      this.#logged.delete(id);
      this.order.forget(id);
    }
  }

  #log(instance: ListedInstance): void {
    const { id, group } = instance;
    const names = this.isScheduled(group)
      ? this.order.holders(instance).map(({ name }) => name)
      : [];
    const before = this.#logged.get(id);
    const isSame = before?.length === names.length &&
      names.every((name, index) => name === before[index]);
    if (isSame) return;
    this.#logged.set(id, names);
    if (!before && names.length === 0) return;
    this.#options.log.write(Events.HOLDER_CHANGED, {
      group,
      instance: id,
      holder: names[0],
      standby: names[1],
      before: before?.join(" "),
      role: names.length > 0 ? this.shares.role(id) : undefined,
      reason: this.#reason(before, names),
    });
  }

  #reason(
    before: readonly string[] | undefined,
    names: readonly string[],
  ): string {
    if (!before) return "first known";
    if (before.length === 0) return "few hosts hold the connections for all";
    if (names.length === 0) return "each host has its own connections";
    const live = this.#options.coordination.liveHosts();
    for (const name of before) {
      if (this.stopping.names.has(name)) return `${name} stops`;
      if (!live.some((host) => host.name === name)) return `${name} is absent`;
    }
    const joined = names.find((name) => !before.includes(name));
    return joined ? `${joined} has joined` : "the order has changed";
  }
}
