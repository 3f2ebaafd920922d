/**
 * Which proxy goes first when several see the same need. Only delays depend on it.
 *
 * @module
 */
import type { Membership } from "../membership/membership.ts";

/** Highest rank that still adds to a delay. */
const MAX_RANK = 8;

/** What the rank of a proxy depends on. */
export interface ProposerRankingOptions {
  /** Name of this proxy. */
  readonly name: string;
  readonly membership: Membership;
  /** Number of proxies in the document. */
  readonly proxyCount: () => number;
}

/** Ranks this proxy among the live ones. */
export class ProposerRanking {
  readonly #options: ProposerRankingOptions;

  constructor(options: ProposerRankingOptions) {
    this.#options = options;
  }

  /** The place of this proxy: those in the zone first, then by name; 0 goes first. */
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

  /** Whether this proxy knows of no other although the document names some; then its rank says little. */
  get isAlone(): boolean {
    const { membership, proxyCount: proxies } = this.#options;
    return membership.alive().length <= 1 && proxies() > 1;
  }
}
