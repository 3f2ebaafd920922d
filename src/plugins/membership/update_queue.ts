/**
 * News that other members may not have heard yet. Each piece goes to a peer
 * once, to a number of peers that grows with the logarithm of the membership.
 *
 * @module
 */

const LIFETIME_MS = 20_000;
const SENDS_PER_DOUBLING = 3;

/** One piece of news: the member that it is about, and which peers have it. */
export interface QueuedUpdate {
  readonly name: string;
  readonly since: number;
  readonly delivered: Set<string>;
}

/** Queue of news, one piece for each member. */
export class UpdateQueue {
  readonly #own: string;
  readonly #updates = new Map<string, QueuedUpdate>();

  /** News about `own` never expires: each peer gets it once. */
  constructor(own: string) {
    this.#own = own;
    this.add(own);
  }

  /** Adds news about a member in place of older news; the peer that told it needs no copy. */
  add(name: string, toldBy?: string): void {
    const delivered = new Set(toldBy === undefined ? [] : [toldBy]);
    this.#updates.delete(name);
    this.#updates.set(name, { name, since: performance.now(), delivered });
  }

  /** News that a peer lacks, the latest first. */
  take(peer: string, limit: number): readonly QueuedUpdate[] {
    return [...this.#updates.values()]
      .filter(({ name, delivered }) => name !== peer && !delivered.has(peer))
      .reverse()
      .slice(0, limit);
  }

  /** Notes that a peer has this news. */
  deliver(peer: string, updates: readonly QueuedUpdate[]): void {
    for (const update of updates) update.delivered.add(peer);
  }

  /** Drops what is old or was told to enough of `size` members. */
  expire(size: number): void {
    const oldest = performance.now() - LIFETIME_MS;
    const sends = SENDS_PER_DOUBLING * Math.ceil(Math.log2(size + 2));
    for (const update of this.#updates.values()) {
      if (update.name === this.#own) continue;
      if (update.since > oldest && update.delivered.size < sends) continue;
      this.#updates.delete(update.name);
    }
  }
}
