/**
 * The quotas of one host: its own operations, its answers as a coordinator, and
 * its place among the hosts. It sees the process only through `Network`.
 *
 * @module
 */
import type { Failure } from "../../kernel/result_codes.ts";
import type { AccountDirectory } from "../accounts/accounts.ts";
import type { Settle } from "./account_queue.ts";
import { Census } from "./census.ts";
import { LimitedAccounts } from "./limited_accounts.ts";
import {
  formatAnswer,
  formatJoinAnswer,
  isShard,
  MessageKinds,
  parseAsk,
  parseJoinAnswer,
  parseWake,
} from "./messages.ts";
import type { Network } from "./network.ts";
import type { AccountUsage } from "./quotas.ts";
import { type HostRows, Roster } from "./roster.ts";
import { type ClientEvents, ShardClient, WAITS } from "./shard_client.ts";
import { ShardDuty } from "./shard_duty.ts";
import { JOIN_RETRY_MS, JOIN_SETTLING_MS } from "./timing.ts";

/** Key of the order in which hosts are asked whether all count a new one. */
const CENSUS_KEY = "census";

/** What the quotas of a host need. */
export interface HostQuotasOptions {
  /** Identifies the run of this process. */
  readonly life: string;
  readonly network: Network;
  readonly rows: HostRows;
  readonly events: ClientEvents;
}

/** Decides the operations of limited accounts on this host, together with the other hosts. */
export class HostQuotas {
  readonly #options: HostQuotasOptions;
  readonly #roster: Roster;
  readonly #census: Census;
  #accounts = new LimitedAccounts(undefined);
  readonly #clients = new Map<string, ShardClient>();
  readonly #duties = new Map<string, ShardDuty>();
  #joinAttempts = 0;
  #isJoining = false;
  #cancelJoin: (() => void) | undefined;
  #isStopped = false;

  constructor(options: HostQuotasOptions) {
    this.#options = options;
    const { network, rows } = options;
    const { proxy, endpoint } = network;
    this.#roster = new Roster(proxy, endpoint, rows, network.now());
    this.#census = new Census({ rows, roster: this.#roster, network });
    this.#roster.refresh(network.now());
  }

  /** Follows a new version of the configuration. */
  setAccounts(directory: AccountDirectory | undefined): void {
    const { shardCount } = this.#accounts;
    this.#accounts = new LimitedAccounts(directory);
    if (this.#accounts.shardCount !== shardCount) this.#replaceClients();
    for (const [shard, client] of this.#clients) {
      client.setAccounts(this.#accounts.inShard(shard));
    }
    for (const [shard, duty] of this.#duties) {
      duty.setAccounts(this.#accounts.inShard(shard));
    }
    this.#join();
  }

  /** Follows the rows of hosts; to be called after each answer of the store. */
  refresh(): void {
    this.#roster.refresh(this.#options.network.now());
    this.#join();
    for (const client of this.#clients.values()) client.refresh();
  }

  /** Decides an operation; returns whether that is done at once, or `settle` is called later. */
  decide(name: string, now: number): Failure | undefined | typeof WAITS {
    const account = this.#accounts.get(name);
    if (!account) return undefined;
    return this.#clientOf(name).decide(account, now);
  }

  /** Lets an operation wait that could not be decided. */
  enqueue(
    name: string,
    usefulUntil: number,
    settle: Settle,
    now: number,
  ): void {
    const account = this.#accounts.get(name)!;
    this.#clientOf(name).enqueue(account, usefulUntil, settle, now);
  }

  /** Answers a call or message of another host; `answer` is called at most once. */
  handle(
    kind: string,
    body: unknown,
    peer: string,
    answer: (body: unknown) => void,
  ): void {
    switch (kind) {
      case MessageKinds.ASK:
        return this.#handleAsk(body, peer, answer);
      case MessageKinds.HELLO:
        return this.#handleHello(body, answer);
      case MessageKinds.WAKE:
        this.#handleWake(body, peer);
        return answer(undefined);
      case MessageKinds.JOIN: {
        const [incarnation] = Array.isArray(body) ? body : [];
        return this.#census.answer({
          name: peer,
          incarnation,
          answer: (result) => answer(formatJoinAnswer(result)),
        });
      }
      case MessageKinds.ROWS:
        // What is answered must be what this host's share is computed from.
        this.refresh();
        return answer([this.#options.rows.version]);
    }
  }

  /** Counts of the accounts with most operations, at most `limit` of them. */
  usage(limit: number): readonly AccountUsage[] {
    return [...this.#clients.values()]
      .flatMap((client) => [...client.queues])
      .map(({ account, counts }) => ({ account: account.name, ...counts }))
      .sort((left, right) =>
        right.used + right.refused - left.used - left.refused
      )
      .slice(0, limit);
  }

  /** Stops to use this host's part and to coordinate, before the host's row is removed; returns whether other hosts rely on it. */
  leave(): boolean {
    const now = this.#options.network.now();
    this.#roster.leave();
    for (const duty of this.#duties.values()) duty.leave();
    for (const client of this.#clients.values()) client.refresh();
    return [...this.#duties.values()].some((duty) => !duty.isIdle(now));
  }

  /** Ends all timers. */
  stop(): void {
    this.#isStopped = true;
    this.#cancelJoin?.();
    for (const client of this.#clients.values()) client.stop();
    for (const duty of this.#duties.values()) duty.stop();
  }

  #clientOf(name: string): ShardClient {
    const shard = this.#accounts.shardOf(name);
    return this.#clients.get(shard) ?? this.#createClient(shard, 0);
  }

  #createClient(shard: string, lockedUntil: number): ShardClient {
    const { life, network, events } = this.#options;
    const client = new ShardClient({
      shard,
      life,
      network,
      roster: this.#roster,
      events,
    });
    client.lock(lockedUntil);
    client.setAccounts(this.#accounts.inShard(shard));
    this.#clients.set(shard, client);
    return client;
  }

  /** The accounts are in other shards now, so parts stay unused until all delegations of the former ones have ended. */
  #replaceClients(): void {
    let lockedUntil = 0;
    for (const client of this.#clients.values()) {
      lockedUntil = Math.max(lockedUntil, client.lockedUntil);
      client.stop();
    }
    this.#clients.clear();
    for (let index = 0; index < this.#accounts.shardCount; index += 1) {
      this.#createClient(`${this.#accounts.shardCount}:${index}`, lockedUntil);
    }
  }

  #handleAsk(
    body: unknown,
    peer: string,
    answer: (body: unknown) => void,
  ): void {
    const ask = parseAsk(body);
    if (!ask) return answer(undefined);
    const result = this.#dutyOf(ask.shard).handle(peer, ask);
    answer(result && formatAnswer(result));
  }

  #handleHello(body: unknown, answer: (body: unknown) => void): void {
    const shard = Array.isArray(body) ? body[0] : undefined;
    if (!isShard(shard)) return answer(undefined);
    const successor = this.#duties.get(shard)?.successor;
    answer(formatAnswer({ life: this.#options.life, successor, grants: [] }));
  }

  #handleWake(body: unknown, peer: string): void {
    const wake = parseWake(body);
    const now = this.#options.network.now();
    if (wake) this.#clients.get(wake.shard)?.wake(peer, wake, now);
  }

  #dutyOf(shard: string): ShardDuty {
    const known = this.#duties.get(shard);
    if (known) return known;
    const { life, network } = this.#options;
    for (const [other, duty] of this.#duties) {
      if (!duty.isIdle(network.now())) continue;
      duty.stop();
      this.#duties.delete(other);
    }
    const duty = new ShardDuty(
      { shard, life, network, roster: this.#roster },
      this.#accounts.inShard(shard),
    );
    this.#duties.set(shard, duty);
    return duty;
  }

  /** Asks one host after the other whether all count this one, until it has a part. */
  #join(): void {
    const { network, rows } = this.#options;
    if (this.#isStopped || this.#isJoining || !this.#roster.mustJoin) return;
    if (this.#accounts.shardCount === 0) return;
    const order = this.#roster.order(CENSUS_KEY);
    const candidate = order[this.#joinAttempts % Math.max(1, order.length)];
    this.#joinAttempts += 1;
    this.#isJoining = true;
    if (!candidate) return this.#joinLater();
    const { endpoint } = candidate;
    const body = [rows.incarnation];
    network.call(endpoint, MessageKinds.JOIN, body, (end) => {
      const result = parseJoinAnswer(end.body);
      if (result?.joined && this.#roster.mustJoin) {
        this.#roster.confirmJoin(result.parts, network.now());
        // A part fills buckets from the moment at which the client knows of it.
        network.schedule(() => this.refresh(), JOIN_SETTLING_MS);
      }
      this.#joinLater();
    });
  }

  #joinLater(): void {
    this.#cancelJoin = this.#options.network.schedule(() => {
      this.#isJoining = false;
      this.#join();
    }, JOIN_RETRY_MS);
  }
}
