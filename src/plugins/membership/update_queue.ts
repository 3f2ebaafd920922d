/**
 * News that other members may not have heard yet. Each piece goes to a peer
 * once: news of a member's liveness to a number of peers that grows with the
 * logarithm of the membership, a newer state of another member to one, and the
 * own state to all.
 *
 * @module
 */

const LIFETIME_MS = 20_000;
const URGENT_SENDS_PER_DOUBLING = 3;
const ORDINARY_SENDS = 1;

/** One piece of news: the member that it is about, and which peers have it. */
export interface QueuedUpdate {
  readonly name: string;
  readonly urgent: boolean;
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
    this.add(own, true);
  }

  /** Adds news about a member in place of older news; the peer that told it needs no copy. What replaces urgent news is as urgent, for the rest of its time. */
  add(name: string, urgent: boolean, toldBy?: string): void {
    const delivered = new Set(toldBy === undefined ? [] : [toldBy]);
    const now = performance.now();
    const known = this.#updates.get(name);
    this.#updates.delete(name);
    this.#updates.set(name, {
      name,
      urgent: urgent || known?.urgent === true,
      since: !urgent && known?.urgent ? known.since : now,
      delivered,
    });
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
    const urgentSends = URGENT_SENDS_PER_DOUBLING *
      Math.ceil(Math.log2(size + 2));
    for (const update of this.#updates.values()) {
      if (update.name === this.#own) continue;
      const sends = update.urgent ? urgentSends : ORDINARY_SENDS;
      // The first of those that have it is the one that told it.
      if (update.since > oldest && update.delivered.size <= sends) continue;
      this.#updates.delete(update.name);
    }
  }
}
