/**
 * The accounts of a configuration whose operations are limited, with the names
 * and shards under which hosts talk about them.
 *
 * @module
 */
import { createHash } from "node:crypto";
import type { AccountDirectory, RateLimit } from "../accounts/accounts.ts";
import { hashText } from "./rendezvous.ts";

/**
 * Accounts of one shard, which share a coordinator and its messages. Messages
 * name only accounts with work, so more shards cost more of them: for 74 accounts
 * in two shards 31.0 instead of 24.5 a second and host on 26 hosts, 14.7 instead
 * of 8.8 on 300 (quotas_test, "cost few messages").
 */
const ACCOUNTS_PER_SHARD = 128;

/** Length of an account's id in messages, in characters of 6 bits; 1,000 accounts share one with a chance of 1 in 2,000. */
const ID_LENGTH = 5;

/** Highest rate and burst that are counted, per second; it is no limit in practice, and sums of it stay exact. */
const MAX_AMOUNT = 1e9;

/**
 * Time whose rate is added to the burst, in ms, and is the most that hosts keep in
 * stock together: tokens in stock at other hosts then don't keep an account from
 * its burst. Taken from the allowance of a tenth.
 */
export const STOCK_ALLOWANCE_MS = 200;

/** What an account may use over all hosts together. */
export interface Quota {
  /** Tokens a second. */
  readonly rate: number;
  /** Most tokens that exist at any time. */
  readonly capacity: number;
}

/** An account with a limit. */
export interface LimitedAccount {
  readonly name: string;
  /** Short name in messages. */
  readonly id: string;
  /** Undefined if the limit allows nothing. */
  readonly quota: Quota | undefined;
}

/** The quota of a limit; undefined if it allows nothing. A burst below 1 admits single operations. */
export function createQuota({ rate, burst }: RateLimit): Quota | undefined {
  if (!(rate > 0) || !(burst > 0)) return undefined;
  const tokens = Math.min(rate, MAX_AMOUNT);
  const stock = tokens * STOCK_ALLOWANCE_MS / 1_000;
  return {
    rate: tokens,
    capacity: Math.max(1, Math.min(burst, MAX_AMOUNT) + stock),
  };
}

/** The limited accounts of one version of the configuration. */
export class LimitedAccounts {
  readonly #byName = new Map<string, LimitedAccount>();
  readonly #byShard = new Map<string, readonly LimitedAccount[]>();
  /** Number of shards. */
  readonly shardCount: number;

  constructor(directory: AccountDirectory | undefined) {
    const accounts = directory?.all() ?? [];
    const ids = assignIds(accounts.map(({ name }) => name));
    for (const { name, limit } of accounts) {
      if (!limit) continue;
      const account = { name, id: ids.get(name)!, quota: createQuota(limit) };
      this.#byName.set(name, account);
    }
    this.shardCount = Math.ceil(this.#byName.size / ACCOUNTS_PER_SHARD);
  }

  get(name: string): LimitedAccount | undefined {
    return this.#byName.get(name);
  }

  /** Key of an account's shard; it contains the number of shards, since hosts may know different versions. */
  shardOf(name: string): string {
    return formatShard(this.shardCount, hashText(name) % this.shardCount);
  }

  /** The accounts of a shard, also of one that another version of the configuration has. */
  inShard(shard: string): readonly LimitedAccount[] {
    const known = this.#byShard.get(shard);
    if (known) return known;
    const [count, index] = shard.split(":").map(Number);
    const accounts = [...this.#byName.values()]
      .filter(({ name }) => hashText(name) % count! === index);
    this.#byShard.set(shard, accounts);
    return accounts;
  }
}

function formatShard(count: number, index: number): string {
  return `${count}:${index}`;
}

/** Shortest texts that name the accounts in messages; accounts whose digests begin alike use their whole names. */
function assignIds(names: readonly string[]): ReadonlyMap<string, string> {
  const digests = names.map((name) =>
    createHash("sha256").update(name).digest("base64url").slice(0, ID_LENGTH)
  );
  const counts = new Map<string, number>();
  for (const id of digests) counts.set(id, (counts.get(id) ?? 0) + 1);
  return new Map(names.map((name, index) => {
    const id = digests[index]!;
    return [name, counts.get(id) === 1 ? id : name];
  }));
}
