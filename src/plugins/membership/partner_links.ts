/**
 * The links to the gossip partners, one task each.
 *
 * @module
 */
import { choosePartners } from "./gossip_partners.ts";
import { type LinkDuties, PeerLink } from "./peer_link.ts";
import { shuffle } from "./shuffle.ts";

/** Links by partner. */
export class PartnerLinks {
  readonly #own: string;
  readonly #duties: LinkDuties;
  readonly #links = new Map<string, PeerLink>();

  constructor(own: string, duties: LinkDuties) {
    this.#own = own;
    this.#duties = duties;
  }

  get size(): number {
    return this.#links.size;
  }

  /** Names of the partners. */
  names(): readonly string[] {
    return [...this.#links.keys()];
  }

  has(name: string): boolean {
    return this.#links.has(name);
  }

  /** Lets one link probe at once. */
  wake(name: string): void {
    this.#links.get(name)?.wake();
  }

  /** Lets some links, chosen at random, probe at once. */
  wakeSome(count: number, except?: string): void {
    const names = this.names().filter((name) => name !== except);
    for (const name of shuffle(names).slice(0, count)) this.wake(name);
  }

  /** Chooses the partners among these members anew. */
  renew(others: readonly string[]): void {
    const partners = new Set(choosePartners(this.#own, others));
    for (const [name, link] of this.#links) {
      if (partners.has(name)) continue;
      this.#links.delete(name);
      link.stop().catch(() => undefined);
    }
    for (const name of partners) {
      if (this.#links.has(name)) continue;
      const link = new PeerLink(name, this.#duties);
      this.#links.set(name, link);
      link.start();
    }
  }

  /** Ends all tasks. */
  async stop(): Promise<void> {
    const links = [...this.#links.values()];
    this.#links.clear();
    await Promise.all(links.map((link) => link.stop()));
  }
}
