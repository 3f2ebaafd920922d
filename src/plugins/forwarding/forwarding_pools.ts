/**
 * The links of this proxy's sessions: to its own connections, or to those that
 * another proxy holds.
 *
 * @module
 */
import { okAsync, type ResultAsync } from "neverthrow";
import type { Failure } from "../../kernel/result_codes.ts";
import type { ConnectionUse } from "../connections/connections.ts";
import type { LinkPools, LinkRequest } from "../connections/link_pools.ts";
import type { ReleaseSlot } from "../connections/transaction_limit.ts";
import type {
  InstanceDirectory,
  ListedInstance,
} from "../deployment/instance_directory.ts";
import type { UpstreamLink } from "../upstream/link.ts";
import { ForwardedLink, type ForwardingContext } from "./forwarded_link.ts";
import type { HolderShares } from "./holder_shares.ts";
import type { ScheduledGroups } from "./scheduled_groups.ts";

/** Dependencies of the pools. */
export interface ForwardingPoolsOptions
  extends Omit<ForwardingContext, "onActive" | "onIdle"> {
  /** This proxy's own connections. */
  readonly pools: LinkPools;
  readonly directory: Pick<InstanceDirectory, "get">;
  readonly scheduled: Pick<ScheduledGroups, "isScheduled">;
  readonly shares: Pick<HolderShares, "role">;
}

/** Gives sessions links to instances, whoever holds the connections. */
export class ForwardingPools implements LinkPools {
  readonly #options: ForwardingPoolsOptions;
  readonly #context: ForwardingContext;
  /** Forwarded links with work or a transaction, by instance. */
  readonly #active = new Map<string, Set<ForwardedLink>>();

  constructor(options: ForwardingPoolsOptions) {
    this.#options = options;
    this.#context = {
      ...options,
      onActive: (link) => this.#activeLinks(link.instance).add(link),
      onIdle: (link) => this.#activeLinks(link.instance).delete(link),
    };
  }

  acquire(request: LinkRequest): ResultAsync<UpstreamLink, Failure> {
    const instance = this.#forwardedInstance(request.instance);
    if (!instance) return this.#options.pools.acquire(request);
    return okAsync(new ForwardedLink(this.#context, request, instance));
  }

  /** The holder limits the transactions of forwarded work. */
  acquireTransactionSlot(
    request: LinkRequest,
  ): Promise<ReleaseSlot | undefined> {
    if (!this.#forwardedInstance(request.instance)) {
      return this.#options.pools.acquireTransactionSlot(request);
    }
    return Promise.resolve(() => {});
  }

  /** For a forwarded instance, this proxy's own work there and what the holder last said of all work. */
  outstanding(id: string): number {
    const { pools, loads } = this.#options;
    const local = pools.outstanding(id);
    if (!this.#forwardedInstance(id)) return local;
    const forwarded = this.#active.get(id)?.size ?? 0;
    return local + forwarded + loads.load(id);
  }

  destroyBusy(id: string): void {
    this.#options.pools.destroyBusy(id);
    for (const link of [...this.#active.get(id) ?? []]) {
      link.abort("closed here");
    }
  }

  use(): readonly ConnectionUse[] {
    return this.#options.pools.use();
  }

  /** The instance, if work for it is forwarded. */
  #forwardedInstance(id: string): ListedInstance | undefined {
    const { directory, scheduled, shares } = this.#options;
    const instance = directory.get(id);
    if (!instance || !scheduled.isScheduled(instance.group)) return undefined;
    return shares.role(id) === "holder" ? undefined : instance;
  }

  #activeLinks(id: string): Set<ForwardedLink> {
    const links = this.#active.get(id) ?? new Set();
    this.#active.set(id, links);
    return links;
  }
}
