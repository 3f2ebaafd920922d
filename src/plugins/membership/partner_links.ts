/**
 * The links to the gossip partners, each with its own probe task.
 *
 * @module
 */
import { choosePartners } from "./gossip_partners.ts";
import { type LinkCallbacks, PeerLink } from "./peer_link.ts";
import { shuffle } from "./shuffle.ts";

/** Links to the gossip partners, by name. */
export class PartnerLinks {
  readonly #ownName: string;
  readonly #callbacks: LinkCallbacks;
  readonly #links = new Map<string, PeerLink>();

  constructor(ownName: string, callbacks: LinkCallbacks) {
    this.#ownName = ownName;
    this.#callbacks = callbacks;
  }

  /** Number of partners. */
  get size(): number {
    return this.#links.size;
  }

  /** Names of the partners. */
  names(): readonly string[] {
    return [...this.#links.keys()];
  }

  /** Whether a member is a partner. */
  has(name: string): boolean {
    return this.#links.has(name);
  }

  /** Makes one link probe immediately. */
  wake(name: string): void {
    this.#links.get(name)?.wake();
  }

  /** Makes up to `count` links, selected at random, probe immediately. */
  wakeRandom(count: number, except?: string): void {
    const names = this.names().filter((name) => name !== except);
    for (const name of shuffle(names).slice(0, count)) this.wake(name);
  }

  /** Selects the partners among the candidates again, and starts and stops links accordingly. */
  updatePartners(candidates: readonly string[]): void {
    const partners = new Set(choosePartners(this.#ownName, candidates));
    for (const [name, link] of this.#links) {
      if (partners.has(name)) continue;
      this.#links.delete(name);
      link.stop().catch(() => undefined);
    }
    for (const name of partners) {
      if (this.#links.has(name)) continue;
      const link = new PeerLink(name, this.#callbacks);
      this.#links.set(name, link);
      link.start();
    }
  }

  /** Stops all links. */
  async stop(): Promise<void> {
    const links = [...this.#links.values()];
    this.#links.clear();
    await Promise.all(links.map((link) => link.stop()));
  }
}
