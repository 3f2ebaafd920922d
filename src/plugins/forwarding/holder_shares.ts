/**
 * How many connections of an instance this host may hold where holders are used.
 *
 * @module
 */
import type { InstanceDirectory } from "../deployment/instance_directory.ts";
import type { ActiveRoutes } from "../deployment/routes.ts";
import type { HolderOrder } from "./holder_order.ts";

/** Part of an instance's connections that the holder may have. */
const HOLDER_FRACTION = 0.7;

/** Part that the standby may have; the rest is for the hosts that reach neither. */
const STANDBY_FRACTION = 0.2;

/** Connections of a host that reaches neither the holder nor the standby; the instance refuses those that are too many. */
const EMERGENCY_SHARE = 1;

/** What the shares depend on. */
export interface HolderSharesOptions {
  /** Name of this proxy. */
  readonly proxy: string;
  readonly directory: Pick<InstanceDirectory, "get">;
  readonly routes: Pick<ActiveRoutes, "table">;
  readonly order: Pick<HolderOrder, "holders">;
}

/** This host's part in holding an instance's connections. */
export type HolderRole = "holder" | "standby" | "other";

/** Computes this host's shares. */
export class HolderShares {
  readonly #options: HolderSharesOptions;

  constructor(options: HolderSharesOptions) {
    this.#options = options;
  }

  /** This host's part for an instance; `other` if the instance is not listed. */
  role(id: string): HolderRole {
    const { proxy, directory, order } = this.#options;
    const instance = directory.get(id);
    if (!instance) return "other";
    const [holder, standby] = order.holders(instance);
    if (holder?.name === proxy) return "holder";
    return standby?.name === proxy ? "standby" : "other";
  }

  /** Number of connections to an instance that this host may hold. */
  share(id: string): number {
    const { directory, routes } = this.#options;
    const group = directory.get(id)?.group;
    const limit = group === undefined
      ? undefined
      : routes.table?.groups.get(group)?.connectionsPerInstance;
    if (limit === undefined) return EMERGENCY_SHARE;
    switch (this.role(id)) {
      case "holder":
        return Math.max(EMERGENCY_SHARE, Math.floor(HOLDER_FRACTION * limit));
      case "standby":
        return Math.max(EMERGENCY_SHARE, Math.floor(STANDBY_FRACTION * limit));
      case "other":
        return EMERGENCY_SHARE;
    }
  }
}
