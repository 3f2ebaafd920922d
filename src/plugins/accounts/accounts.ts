/**
 * The client accounts of a configuration, and the keys by which callers prove
 * that they belong to one.
 *
 * @module
 */
import { createHash } from "node:crypto";

/** How many operations an account may run. */
export interface RateLimit {
  /** Operations a second, over all proxies together. */
  readonly rate: number;
  /** Operations that may run at once after a pause, over all proxies together. */
  readonly burst: number;
}

/** A client account. */
export interface Account {
  readonly name: string;
  /** Undefined if the account has no limit. */
  readonly limit: RateLimit | undefined;
}

/** An account with its keys, as a configuration lists it. */
export interface AccountEntry extends Account {
  readonly keys: readonly string[];
}

/** Something in the list of accounts that is not used as it stands. */
export interface AccountFinding {
  /** Name of the account, or the place of the entry in the list. */
  readonly account: string;
  readonly problem:
    /** The entry has no valid name and is left out. */
    | "invalid entry"
    /** A rate or burst is no number or below 0, and allows nothing. */
    | "invalid limit"
    /** The name is listed before; only the first entry is used. */
    | "duplicate name"
    /** Nobody can use the account. */
    | "no keys"
    /** Other accounts have the same key, which admits nobody. */
    | "shared key";
}

/**
 * Finds the account of a key. Keys are kept as digests, so that no message or memory dump shows
 * them; a key that two accounts have belongs to neither, since nothing tells whose work it is.
 */
export class AccountDirectory {
  readonly #accounts = new Map<string, Account>();
  readonly #byDigest = new Map<string, Account>();
  /** What in the list is not used as it stands. */
  readonly findings: readonly AccountFinding[];

  /** `invalid` are findings about the source of the entries. */
  constructor(
    entries: readonly AccountEntry[],
    invalid: readonly AccountFinding[] = [],
  ) {
    const findings = [...invalid];
    const holders = new Map<string, Set<string>>();
    for (const { name, limit, keys } of entries) {
      if (this.#accounts.has(name)) {
        findings.push({ account: name, problem: "duplicate name" });
        continue;
      }
      const account = { name, limit };
      this.#accounts.set(name, account);
      if (keys.length === 0) {
        findings.push({ account: name, problem: "no keys" });
      }
      for (const digest of keys.map(digestKey)) {
        this.#byDigest.set(digest, account);
        holders.set(digest, (holders.get(digest) ?? new Set()).add(name));
      }
    }
    for (const [digest, names] of holders) {
      if (names.size === 1) continue;
      this.#byDigest.delete(digest);
      for (const account of names) {
        findings.push({ account, problem: "shared key" });
      }
    }
    this.findings = findings;
  }

  /** The account of a key digest; undefined if no account, or more than one, has the key. */
  find(digest: string): Account | undefined {
    return this.#byDigest.get(digest);
  }

  /** The account of a name. */
  get(name: string): Account | undefined {
    return this.#accounts.get(name);
  }

  /** Digests of the keys that admit callers, by account. */
  digests(): ReadonlyMap<string, readonly string[]> {
    const digests = new Map<string, string[]>();
    for (const [digest, { name }] of this.#byDigest) {
      const known = digests.get(name);
      if (known) known.push(digest);
      else digests.set(name, [digest]);
    }
    return digests;
  }

  /** All accounts. */
  all(): readonly Account[] {
    return [...this.#accounts.values()];
  }
}

/** Digest of a key; an empty key has none, since it proves nothing. */
export function digestKey(key: string): string {
  return createHash("sha256").update(key, "utf8").digest("base64");
}
