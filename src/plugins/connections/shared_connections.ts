/**
 * Connections to all instances: one pool per instance, limited to a share that
 * follows the demands of all live proxies.
 *
 * @module
 */
import { sleep } from "../../utils/sleep.ts";
import { errAsync, type ResultAsync } from "neverthrow";
import { clock } from "../../kernel/clock.ts";
import { type EventLog, Events } from "../../kernel/events.ts";
import type { Service } from "../../kernel/kernel.ts";
import {
  createFailure,
  type Failure,
  ResultCodes,
} from "../../kernel/result_codes.ts";
import type { Configuration } from "../configuration/configuration.ts";
import type { Group, Instance } from "../document/document.ts";
import type { Health, InstanceView } from "../health/health.ts";
import type { Membership } from "../membership/membership.ts";
import { splitBudget } from "./budget.ts";
import type {
  ConnectionRequest,
  Connections,
  ConnectionUse,
  UpstreamConnection,
} from "./connections.ts";
import { DEMAND_SAMPLE_MS } from "./demand_meter.ts";
import { InstancePool } from "./instance_pool.ts";
import type { PoolOwner } from "./pool_member.ts";
import { PooledConnection } from "./pooled_connection.ts";
import {
  cancelUpstream,
  openUpstream,
  type UpstreamIdentity,
  type UpstreamTarget,
} from "./upstream_client.ts";

/** Dependencies of the connection pools. */
export interface SharedConnectionsOptions {
  /** Name of this proxy. */
  readonly proxy: string;
  readonly identity: UpstreamIdentity;
  readonly configuration: Configuration;
  readonly health: Health;
  readonly membership: Membership;
  readonly log: EventLog;
}

/** Minimum interval between two publications of the demands. */
const PUBLISH_INTERVAL_MS = 500;

/** How long a leaving primary still accepts requests, so that a planned change of primary can finish first. */
const LEAVING_GRACE_MS = 1_500;

const DRAIN_POLL_MS = 20;

/** Connections in use are closed when the instance has not answered for this long. */
const SILENCE_MS = 10_000;

/** Consecutive failed probes required; with fewer, the silence may be a pause of this process. */
const SILENCE_FAILURES = 3;

interface Entry {
  readonly pool: InstancePool<PooledConnection>;
  readonly target: UpstreamTarget;
  limit: number;
  share: number;
  /** Whether the share must be recomputed. */
  stale: boolean;
  leavingSince?: number;
}

/** Pools of all instances that this proxy uses; a group's pools are created on its first request. */
export class SharedConnections implements Connections, Service {
  readonly #options: SharedConnectionsOptions;
  readonly #entries = new Map<string, Entry>();
  readonly #unsubscribe: (() => void)[] = [];
  #timer: NodeJS.Timeout | undefined;
  #publishedAt = -Infinity;
  #draining = false;

  constructor(options: SharedConnectionsOptions) {
    this.#options = options;
  }

  start(): Promise<void> {
    const { configuration, membership } = this.#options;
    this.#unsubscribe.push(
      configuration.subscribe(() => this.#applyDocument()),
      membership.subscribe(() => this.#markStale()),
    );
    this.#timer = setInterval(() => this.#maintain(), DEMAND_SAMPLE_MS);
    return Promise.resolve();
  }

  /** Rejects new requests and waits until all connections are released. */
  async drain(deadline: number): Promise<void> {
    this.#draining = true;
    while (this.#isBusy() && clock.now() < deadline) {
      await sleep(DRAIN_POLL_MS);
    }
  }

  stop(): Promise<void> {
    clearInterval(this.#timer);
    for (const end of this.#unsubscribe.splice(0)) end();
    for (const { pool } of this.#entries.values()) {
      pool.destroy(shuttingDown());
    }
    this.#entries.clear();
    return Promise.resolve();
  }

  acquire(
    request: ConnectionRequest,
  ): ResultAsync<UpstreamConnection, Failure> {
    if (this.#draining) return errAsync(shuttingDown());
    const key = keyOf(request.database, request.instance);
    const entry = this.#entries.get(key) ?? this.#createGroupEntries(request);
    if (!entry) {
      return errAsync(createFailure(
        ResultCodes.UPSTREAM_UNREACHABLE,
        `the document in force names no instance ${request.instance} of ${request.database}`,
      ));
    }
    return entry.pool.acquire(request);
  }

  outstanding(database: string, instance: string): number {
    return this.#entries.get(keyOf(database, instance))?.pool.load ?? 0;
  }

  use(): readonly ConnectionUse[] {
    return [...this.#entries.values()].map(({ pool }) => pool.use);
  }

  async cancel(connection: UpstreamConnection): Promise<void> {
    const { database, instance } = connection;
    const entry = this.#entries.get(keyOf(database, instance));
    if (!entry) return;
    const { identity } = this.#options;
    connection.cancel();
    await cancelUpstream(entry.target, identity, connection);
  }

  #isBusy(): boolean {
    return this.use().some(({ busy }) => busy > 0);
  }

  /** Creates the pools of the whole group, so that its other instances have open connections when one fails. */
  #createGroupEntries(request: ConnectionRequest): Entry | undefined {
    const group = this.#options.configuration.group(request.database);
    for (const instance of group?.instances ?? []) {
      const key = keyOf(request.database, instance.name);
      if (this.#entries.has(key)) continue;
      const entry = this.#createEntry(group!, instance);
      this.#entries.set(key, entry);
      this.#updateShare(entry);
    }
    return this.#entries.get(keyOf(request.database, request.instance));
  }

  #createEntry(group: Group, instance: Instance): Entry {
    const { identity, health, log } = this.#options;
    const target: UpstreamTarget = {
      database: group.database,
      instance: instance.name,
      host: instance.host,
      port: instance.port,
    };
    const pool = new InstancePool({
      target,
      log: (kind, fields) =>
        log.write(kind, {
          database: target.database,
          instance: target.instance,
          ...fields,
        }),
      queueLength: group.queue.length,
      open: () =>
        openUpstream(target, identity).map(
          (opened) => (owner: PoolOwner<PooledConnection>) =>
            new PooledConnection(target, opened, owner),
        ),
      onFailure: () => health.reportFailure(group.database, instance.name),
    });
    return {
      pool,
      target,
      limit: group.connectionsPerInstance,
      share: 0,
      stale: false,
    };
  }

  /** Closes pools whose instance is no longer in the document at the same address, and updates the others. */
  #applyDocument(): void {
    for (const [key, entry] of this.#entries) {
      if (this.#updateEntry(entry)) continue;
      this.#entries.delete(key);
      entry.pool.close(createFailure(
        ResultCodes.UPSTREAM_UNREACHABLE,
        `${entry.target.instance} is no longer in the document in force`,
      ));
    }
  }

  /** Applies the document to a pool; returns false if the instance is gone or has another address. */
  #updateEntry(entry: Entry): boolean {
    const { target } = entry;
    const { admission } = entry.pool;
    const group = this.#options.configuration.group(target.database);
    const instance = group?.instances.find(({ name }) =>
      name === target.instance
    );
    if (!group || instance?.host !== target.host) return false;
    if (instance.port !== target.port) return false;
    entry.limit = group.connectionsPerInstance;
    entry.stale = true;
    admission.queueLength = group.queue.length;
    return true;
  }

  #maintain(): void {
    const now = clock.now();
    for (const entry of this.#entries.values()) {
      if (entry.stale) this.#updateShare(entry);
      entry.pool.maintain(now);
      this.#closeIfLeaving(entry, now);
      this.#closeIfSilent(entry, now);
    }
    this.#publish(now);
  }

  #closeIfLeaving(entry: Entry, now: number): void {
    const { instance } = entry.target;
    const view = this.#view(entry);
    if (!view?.leaving) {
      if (entry.leavingSince !== undefined) entry.pool.reopen();
      entry.leavingSince = undefined;
      return;
    }
    entry.leavingSince ??= now;
    const grace = this.#isOtherThanPrimary(entry) ? 0 : LEAVING_GRACE_MS;
    if (now - entry.leavingSince < grace) return;
    entry.pool.close(createFailure(
      ResultCodes.UPSTREAM_UNREACHABLE,
      `${instance} is leaving`,
    ));
  }

  /** Closes the connections in use of an unresponsive instance, so that their statements don't wait forever. */
  #closeIfSilent(entry: Entry, now: number): void {
    if (entry.pool.use.busy === 0) return;
    const view = this.#view(entry);
    if (!view || view.failures < SILENCE_FAILURES) return;
    const replaced = view.status?.role === "primary" &&
      this.#isOtherThanPrimary(entry);
    if (replaced || now - view.statusAt > SILENCE_MS) entry.pool.destroyBusy();
  }

  /** Whether the group is known to have another instance as its primary. */
  #isOtherThanPrimary(entry: Entry): boolean {
    const { database, instance } = entry.target;
    const primary = this.#options.health.view(database)?.primary;
    return primary !== undefined && primary !== instance;
  }

  #view(entry: Entry): InstanceView | undefined {
    const { database, instance } = entry.target;
    return this.#options.health.view(database)?.instances
      .find((item) => item.instance.name === instance);
  }

  #publish(now: number): void {
    if (now - this.#publishedAt < PUBLISH_INTERVAL_MS) return;
    const pools = [...this.#entries.values()].map(({ pool }) => pool);
    if (!pools.some(({ demand }) => demand.hasChanged)) return;
    this.#publishedAt = now;
    for (const { demand } of pools) demand.publish();
    this.#options.membership.publishDemands(
      pools.filter(({ demand }) => demand.published > 0).map((pool) => ({
        database: pool.target.database,
        instance: pool.target.instance,
        wanted: pool.demand.published,
      })),
    );
    this.#markStale();
  }

  #markStale(): void {
    for (const entry of this.#entries.values()) entry.stale = true;
  }

  #updateShare(entry: Entry): void {
    entry.stale = false;
    const { membership, proxy, log } = this.#options;
    const { database, instance } = entry.target;
    const proxies = membership.alive();
    const shares = splitBudget({
      database,
      instance,
      limit: entry.limit,
      demands: proxies.map(({ name, demands }) => ({
        proxy: name,
        wanted: demands.find((demand) =>
          demand.database === database && demand.instance === instance
        )?.wanted ?? 0,
      })),
    });
    const share = shares.get(proxy) ?? 0;
    if (share === entry.share) return;
    log.write(Events.SHARE_CHANGED, {
      database,
      instance,
      share,
      before: entry.share,
      proxies: proxies.length,
    });
    entry.share = share;
    entry.pool.setShare(share);
  }
}

function keyOf(database: string, instance: string): string {
  return `${database}/${instance}`;
}

function shuttingDown(): Failure {
  return createFailure(ResultCodes.SHUTTING_DOWN, "this proxy is stopping");
}
