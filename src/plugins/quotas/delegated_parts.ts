/**
 * The parts that are delegated to a coordinator.
 *
 * @module
 */
import type { LimitedAccount } from "./limited_accounts.ts";
import { partCapacity } from "./part.ts";
import { TOKEN_LIFE_MS } from "./timing.ts";

/** A part and the time in ms of the coordinator's clock until which it may be used. */
export interface DelegatedPart {
  readonly share: number;
  readonly expiresAt: number;
}

/** Adds up parts by host. */
export class DelegatedParts {
  /** Hosts that an account's reserved tokens belong to. */
  readonly #reserved: (account: string) => ReadonlySet<string>;
  readonly #parts = new Map<string, DelegatedPart>();
  #share = 0;
  /** No part expires before this time. */
  #nextExpiry = Infinity;
  /** The last result for loans that end at a time; a request asks for several accounts. */
  #lasting: { readonly until: number; readonly share: number } | undefined;

  constructor(reserved: (account: string) => ReadonlySet<string>) {
    this.#reserved = reserved;
  }

  /** Sum of the shares. */
  get share(): number {
    return this.#share;
  }

  get hosts(): Iterable<string> {
    return this.#parts.keys();
  }

  get(host: string): DelegatedPart | undefined {
    return this.#parts.get(host);
  }

  /** Adds, replaces or removes a part. */
  set(host: string, part: DelegatedPart | undefined): void {
    this.#lasting = undefined;
    const hasChanged = this.#parts.get(host)?.share !== part?.share;
    if (part) {
      this.#parts.set(host, part);
      this.#nextExpiry = Math.min(this.#nextExpiry, part.expiresAt);
    } else this.#parts.delete(host);
    if (!hasChanged) return;
    this.#share = 0;
    for (const { share } of this.#parts.values()) this.#share += share;
  }

  /** The host whose part expires first; undefined if none has expired by `now`. */
  findExpired(now: number): string | undefined {
    if (now < this.#nextExpiry) return undefined;
    let first: string | undefined;
    this.#nextExpiry = Infinity;
    for (const [host, { expiresAt }] of this.#parts) {
      if (expiresAt >= this.#nextExpiry) continue;
      first = host;
      this.#nextExpiry = expiresAt;
    }
    return now < this.#nextExpiry ? undefined : first;
  }

  /** Most tokens of an account that the parts hold. */
  capacity(account: LimitedAccount): number {
    return this.#capacityOf(account, this.#share, -Infinity);
  }

  /** Most tokens of an account that may be lent: those of the parts that outlive the loans. */
  lendable(account: LimitedAccount, now: number): number {
    const until = now + TOKEN_LIFE_MS;
    return this.#capacityOf(account, this.#shareUntil(until), until);
  }

  /** Most tokens of an account that the part of a host holds. */
  capacityAt(account: LimitedAccount, host: string): number {
    const share = this.#parts.get(host)?.share ?? 0;
    const capacity = partCapacity(account, share, false);
    if (capacity >= 1 || !this.#reserved(account.name).has(host)) {
      return capacity;
    }
    return partCapacity(account, share, true);
  }

  /** Sum of the shares of the parts that may be used until a time. */
  #shareUntil(until: number): number {
    if (this.#lasting?.until === until) return this.#lasting.share;
    let sum = 0;
    for (const { share, expiresAt } of this.#parts.values()) {
      if (expiresAt >= until) sum += share;
    }
    this.#lasting = { until, share: sum };
    return sum;
  }

  #capacityOf(account: LimitedAccount, share: number, until: number): number {
    const capacity = partCapacity(account, share, false);
    if (capacity >= 1 || share === 0) return capacity;
    const reserved = this.#reserved(account.name);
    for (const [host, { expiresAt }] of this.#parts) {
      if (expiresAt < until || !reserved.has(host)) continue;
      return partCapacity(account, share, true);
    }
    return capacity;
  }
}
