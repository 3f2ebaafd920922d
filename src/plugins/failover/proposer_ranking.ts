/**
 * Order in which proxies propose when several detect the same condition. It affects only delays, not safety.
 *
 * @module
 */
import type { Membership } from "../membership/membership.ts";

/** Upper bound of a rank, which bounds the delays derived from it. */
const MAX_RANK = 8;

/** Inputs of a proxy's rank. */
export interface ProposerRankingOptions {
  /** Name of this proxy. */
  readonly name: string;
  readonly membership: Membership;
  /** Number of proxies in the document. */
  readonly proxyCount: () => number;
}

/** Ranks this proxy among the live proxies. */
export class ProposerRanking {
  readonly #options: ProposerRankingOptions;

  constructor(options: ProposerRankingOptions) {
    this.#options = options;
  }

  /** Rank of this proxy, from 0 for the first: proxies in `zone` precede others, then names decide. */
  rank(zone: string | undefined): number {
    const { name, membership } = this.#options;
    const names = membership.alive().filter((item) => !item.leaving)
      .sort((a, b) =>
        Number(b.zone === zone) - Number(a.zone === zone) ||
        (a.name < b.name ? -1 : 1)
      ).map((item) => item.name);
    const index = names.indexOf(name);
    return Math.min(index < 0 ? names.length : index, MAX_RANK);
  }

  /** Whether this proxy knows of no other live proxy although the document lists several; its rank is then unreliable. */
  get isAlone(): boolean {
    const { membership, proxyCount: proxies } = this.#options;
    return membership.alive().length <= 1 && proxies() > 1;
  }
}
