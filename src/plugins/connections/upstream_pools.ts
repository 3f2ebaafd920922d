/**
 * One pool per listed instance, limited to this proxy's share of its connections.
 *
 * @module
 */
import { errAsync, type ResultAsync } from "neverthrow";
import { clock } from "../../kernel/clock.ts";
import {
  type EventFields,
  type EventKind,
  type EventLog,
  Events,
} from "../../kernel/events.ts";
import {
  createFailure,
  type Failure,
  ResultCodes,
} from "../../kernel/result_codes.ts";
import type {
  InstanceDirectory,
  ListedInstance,
} from "../deployment/instance_directory.ts";
import type { ActiveRoutes } from "../deployment/routes.ts";
import { NO_ACCOUNT } from "../scheduling/account_connections.ts";
import { AccountPool } from "../scheduling/account_pool.ts";
import { AccountTransactions } from "../scheduling/account_transactions.ts";
import { Pace } from "../scheduling/pace.ts";
import { PaceLog } from "../scheduling/pace_change.ts";
import type { ScheduleUse } from "../scheduling/schedule_use.ts";
import type { DirectLink, UpstreamLink } from "../upstream/link.ts";
import type { ConnectionPool } from "./connection_pool.ts";
import type { ConnectionUse } from "./connections.ts";
import { ConcurrencyLimit } from "./concurrency_limit.ts";
import { DEMAND_SAMPLE_MS } from "./demand_meter.ts";
import { type IdlePolicy, InstancePool } from "./instance_pool.ts";
import type { LinkPools, LinkRequest } from "./link_pools.ts";
import { type ReleaseSlot, TransactionLimit } from "./transaction_limit.ts";
import type { MemberFactory } from "./pool_member.ts";

/** Opens connections to instances. */
export interface InstanceConnector {
  open(
    instance: ListedInstance,
    options?: OpeningOptions,
  ): ResultAsync<MemberFactory<DirectLink>, Failure>;
}

/** How a connection is opened. */
export interface OpeningOptions {
  /** Account that the connection belongs to for its life; undefined for the proxy itself. */
  readonly account?: string;
  /** Time limit in ms; the connector has a default. */
  readonly timeout?: number;
}

/** Dependencies of the pools. */
export interface UpstreamPoolsOptions {
  readonly directory: InstanceDirectory;
  readonly routes: ActiveRoutes;
  readonly connector: InstanceConnector;
  /** Returns the number of proxies that share the connections of an instance. */
  readonly proxies: () => number;
  readonly log: EventLog;
  /** Called when an instance is unreachable or has closed an idle connection. */
  readonly onFailure: (instance: ListedInstance) => void;
  /** Whether the instances of a group have a fair queue and connections by account; by default none has. */
  readonly isScheduled?: (group: string) => boolean;
  /** Connections that this proxy may hold to an instance of a scheduled group; by default none. */
  readonly scheduledShare?: (instance: ListedInstance) => number;
}

/** Sum of the shares relative to an instance's connections; above 1, since not all proxies need theirs at the same time. */
const OVERCOMMIT_FACTOR = 1.2;

/** Connections that a proxy may open regardless of the number of proxies; beyond its capacity the instance itself refuses them. */
const MIN_SHARE_CONNECTIONS = 2;

/** Shares below this many connections are scarce: unused connections are closed soon. */
const SCARCE_SHARE = 4;

/**
 * For instances with spare connections. Unused connections are still closed: if
 * this host is lost, they count against its successors until the instance notices.
 */
const AMPLE_IDLE_POLICY: IdlePolicy = {
  warm: 1,
  surplusTimeout: 2_000,
  warmTimeout: Infinity,
  opensOnDemand: false,
};

/** For instances with fewer connections than the proxies would keep open. */
const SCARCE_IDLE_POLICY: IdlePolicy = {
  warm: 1,
  surplusTimeout: 2_000,
  warmTimeout: 4_000,
  opensOnDemand: true,
};

/** Minimum interval between two reports of scarce connections of an instance. */
const REPORT_INTERVAL_MS = 500;

/** Number of accounts in a report of scarce connections. */
const REPORTED_ACCOUNTS = 5;

/** Maximum number of statements that wait for a connection to one instance. */
const QUEUE_LENGTH = 400;

interface Entry {
  readonly instance: ListedInstance;
  readonly pool: ConnectionPool<DirectLink>;
  /** The same pool, if the instance is scheduled. */
  readonly scheduled?: AccountPool;
  readonly acquireTransactionSlot: (
    request: LinkRequest,
  ) => Promise<ReleaseSlot | undefined>;
  /** Adapts the pool to the current share of connections. */
  readonly updateShare: () => void;
  /** Periodic maintenance of what belongs to the pool. */
  readonly maintain?: () => void;
}

/** Connection pools by instance id. */
export class UpstreamPools implements LinkPools {
  readonly #options: UpstreamPoolsOptions;
  readonly #entries = new Map<string, Entry>();
  /** Closed pools with connections that still count towards the limits of their instances. */
  readonly #retired = new Set<Pick<Entry, "instance" | "pool">>();
  /** Monotonic ms of the last report of scarce connections, by instance. */
  readonly #reportedAt = new Map<string, number>();
  /** Number of proxies at the last maintenance run. */
  #proxyCount = 1;
  #timer: NodeJS.Timeout | undefined;
  #stopped = false;

  constructor(options: UpstreamPoolsOptions) {
    this.#options = options;
  }

  /** Starts the periodic maintenance. */
  start(): void {
    this.#proxyCount = Math.max(1, this.#options.proxies());
    this.#timer = setInterval(() => this.#maintain(), DEMAND_SAMPLE_MS);
  }

  /** Stops the maintenance and closes all connections, including those in use; no further ones are opened. */
  stop(): void {
    this.#stopped = true;
    clearInterval(this.#timer);
    for (const { pool } of this.#entries.values()) pool.destroy(stopping());
    this.#entries.clear();
  }

  acquire(request: LinkRequest): ResultAsync<UpstreamLink, Failure> {
    if (this.#stopped) return errAsync(stopping());
    const entry = this.#entry(request.instance);
    if (!entry) {
      return errAsync(createFailure(
        ResultCodes.UPSTREAM_UNREACHABLE,
        `instance ${request.instance} is not listed`,
      ));
    }
    // A host may become the holder of an instance at any time.
    if (entry.scheduled) entry.updateShare();
    const { database } = entry.pool.target;
    return entry.pool.acquire({ database, ...request });
  }

  async acquireTransactionSlot(
    request: LinkRequest,
  ): Promise<ReleaseSlot | undefined> {
    if (this.#stopped) return undefined;
    const entry = this.#entry(request.instance);
    if (entry?.scheduled) entry.updateShare();
    return await entry?.acquireTransactionSlot(request);
  }

  outstanding(id: string): number {
    return this.#entries.get(id)?.pool.load ?? 0;
  }

  /** Expected wait in ms of a request of a rank at a scheduled instance, of an account that has used little; 0 at others. */
  expectedWait(id: string, rank: number): number {
    return this.#entry(id)?.scheduled?.expectedWait(rank) ?? 0;
  }

  /** Removes the pool of an instance that is no longer listed; connections in use are closed when they are released. */
  remove(id: string): void {
    this.#retire(id, `instance ${id} is gone`);
  }

  destroyBusy(id: string): void {
    this.#entries.get(id)?.pool.destroyBusy();
  }

  use(): readonly ConnectionUse[] {
    return [...this.#entries.values()].map(({ pool }) => pool.use);
  }

  #entry(id: string): Entry | undefined {
    const instance = this.#options.directory.get(id);
    const known = this.#entries.get(id);
    if (!instance) return known;
    const isScheduled = this.#options.isScheduled?.(instance.group) ?? false;
    if (known && isSameTarget(known.instance, instance)) {
      if ((known.scheduled !== undefined) === isScheduled) return known;
      this.#retire(id, `the way in which instance ${id} is shared changes`);
    } else if (known) this.remove(id);
    const entry = isScheduled
      ? this.#createScheduledEntry(instance)
      : this.#createEntry(instance);
    this.#entries.set(id, entry);
    entry.updateShare();
    return entry;
  }

  /** Closes the pool of an instance; its connections in use are closed when they are released. */
  #retire(id: string, reason: string): void {
    const entry = this.#entries.get(id);
    if (!entry) return;
    this.#entries.delete(id);
    this.#retired.add(entry);
    entry.pool.close(createFailure(ResultCodes.UPSTREAM_UNREACHABLE, reason));
  }

  #createEntry(instance: ListedInstance): Entry {
    const { connector, onFailure } = this.#options;
    const transactions = new TransactionLimit(MIN_SHARE_CONNECTIONS);
    const pool = new InstancePool<DirectLink>({
      target: { database: instance.group, instance: instance.id },
      queueLength: QUEUE_LENGTH,
      log: (kind, fields) => this.#log(instance, kind, fields),
      open: () => connector.open(instance),
      onFailure: () => onFailure(instance),
      limit: new ConcurrencyLimit(() => transactions.inUse),
    });
    return {
      instance,
      pool,
      acquireTransactionSlot: ({ priority, deadline }) =>
        transactions.acquire(priority, deadline),
      updateShare: () =>
        transactions.setShare(this.#updateShare(pool, instance.group)),
    };
  }

  #createScheduledEntry(instance: ListedInstance): Entry {
    const { connector, onFailure } = this.#options;
    const transactions = new AccountTransactions(0, QUEUE_LENGTH);
    const log = (kind: EventKind, fields: EventFields) =>
      this.#log(instance, kind, fields);
    const paceLog = new PaceLog(log);
    const pool = new AccountPool({
      target: { database: instance.group, instance: instance.id },
      queueLength: QUEUE_LENGTH,
      log,
      open: (account) => connector.open(instance, { account }),
      onFailure: () => onFailure(instance),
      limit: new Pace(
        instance.capacity,
        clock.now(),
        (change) => paceLog.record(change),
      ),
    });
    return {
      instance,
      pool,
      scheduled: pool,
      acquireTransactionSlot: (request) =>
        transactions.acquire({
          ...request,
          account: request.account ?? NO_ACCOUNT,
          rank: request.rank ?? 0,
        }),
      maintain: () => transactions.maintain(),
      updateShare: () => {
        const share = this.#scheduledShare(instance);
        if (share === pool.share) return;
        pool.setShare(share);
        transactions.setShare(share);
      },
    };
  }

  #log(instance: ListedInstance, kind: EventKind, fields: EventFields): void {
    const { group, id } = instance;
    this.#options.log.write(kind, { group, instance: id, ...fields });
  }

  /** The share of a scheduled instance, without the connections of closed pools. */
  #scheduledShare(instance: ListedInstance): number {
    const share = this.#options.scheduledShare?.(instance) ?? 0;
    let retired = 0;
    for (const { instance: other, pool } of this.#retired) {
      if (other.id !== instance.id || !isSameTarget(other, instance)) continue;
      retired += pool.use.open;
    }
    return Math.max(0, Math.floor(share) - retired);
  }

  /** Updates the share and the idle policy of a pool; returns the share. */
  #updateShare(pool: InstancePool<DirectLink>, group: string): number {
    const settings = this.#options.routes.table?.groups.get(group);
    const limit = settings?.connectionsPerInstance ?? MIN_SHARE_CONNECTIONS;
    const evenShare = Math.floor(limit * OVERCOMMIT_FACTOR / this.#proxyCount);
    pool.idlePolicy = evenShare < SCARCE_SHARE
      ? SCARCE_IDLE_POLICY
      : AMPLE_IDLE_POLICY;
    const share = Math.max(MIN_SHARE_CONNECTIONS, evenShare);
    if (share !== pool.use.share) pool.setShare(share);
    return share;
  }

  #maintain(): void {
    const now = clock.now();
    this.#proxyCount = Math.max(1, this.#options.proxies());
    for (const { id } of this.#options.directory.sweep(now)) {
      this.#options.log.write(Events.INSTANCE_EXCLUDED, {
        instance: id,
        reason: "its entry is gone",
      });
      this.remove(id);
    }
    for (const retired of this.#retired) {
      if (retired.pool.use.open === 0) this.#retired.delete(retired);
    }
    for (const { pool, updateShare, maintain } of this.#entries.values()) {
      updateShare();
      pool.maintain(now);
      maintain?.();
      this.#reportScarcity(pool, now);
    }
  }

  /** Logs the connection counts of an instance while statements wait for it. */
  #reportScarcity(pool: ConnectionPool<DirectLink>, now: number): void {
    const { instance, database, schedule, ...use } = pool.use;
    if (use.waiting === 0) return;
    const last = this.#reportedAt.get(instance) ?? -Infinity;
    if (now - last < REPORT_INTERVAL_MS) return;
    this.#reportedAt.set(instance, now);
    const fields = { group: database, instance, ...use };
    if (!schedule) {
      return this.#options.log.write(Events.CONNECTIONS_SCARCE, fields);
    }
    const { pace, inFlight } = schedule;
    this.#options.log.write(Events.ACCOUNTS_WAITING, {
      ...fields,
      pace: Number(pace.toFixed(2)),
      inFlight,
      accounts: formatWaiting(schedule),
    });
  }
}

/** The accounts with most requests that wait, and their numbers. */
function formatWaiting({ accounts }: ScheduleUse): string {
  return accounts.filter(({ waiting }) => waiting > 0)
    .sort((left, right) => right.waiting - left.waiting)
    .slice(0, REPORTED_ACCOUNTS)
    .map(({ account, waiting }) => `${account} ${waiting}`)
    .join(", ");
}

function stopping(): Failure {
  return createFailure(ResultCodes.SHUTTING_DOWN, "this proxy is stopping");
}

/** Whether both entries describe one process of one group, so that connections to it may be kept. */
function isSameTarget(a: ListedInstance, b: ListedInstance): boolean {
  return a.group === b.group && a.host === b.host && a.port === b.port &&
    a.startedAt === b.startedAt;
}
