/**
 * Which groups have holders: those whose instances have too few connections for
 * a connection of each host, and all groups where callers have accounts.
 *
 * @module
 */
import type { PeerChannels } from "../channels/channels.ts";
import type { ActiveRoutes } from "../deployment/routes.ts";
import type { Coordination } from "../leadership/coordination.ts";

/** What the rule depends on. */
export interface ScheduledGroupsOptions {
  readonly routes: Pick<ActiveRoutes, "table">;
  readonly coordination: Pick<Coordination, "hosts">;
  readonly channels: Pick<PeerChannels, "endpoint">;
}

/** The rule where holders are used. */
export class ScheduledGroups {
  readonly #options: ScheduledGroupsOptions;

  constructor(options: ScheduledGroupsOptions) {
    this.#options = options;
  }

  /** Whether the connections to a group's instances are held by few hosts for all. */
  isScheduled(group: string): boolean {
    const { routes, coordination, channels } = this.#options;
    const { table } = routes;
    if (!table || channels.endpoint === undefined) return false;
    if (table.accounts) return true;
    const limit = table.groups.get(group)?.connectionsPerInstance;
    // Rows of absent hosts count: a host that comes back has its connections at once.
    return limit !== undefined && limit < coordination.hosts().size;
  }
}
