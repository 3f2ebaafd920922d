/**
 * Updates that other members may not have received yet. Each update is
 * delivered to a peer once: a change of a member's liveness to a number of peers
 * that grows with the logarithm of the number of members, a newer state of
 * another member to one peer, and the state of this proxy to all peers.
 *
 * @module
 */
import { clock } from "../../kernel/clock.ts";

const UPDATE_LIFETIME_MS = 20_000;
const URGENT_SENDS_PER_DOUBLING = 3;
const ORDINARY_SENDS = 1;

/** A queued update: the member that it is about, and the peers that have it. */
export interface QueuedUpdate {
  readonly name: string;
  readonly urgent: boolean;
  readonly addedAt: number;
  readonly deliveredTo: Set<string>;
}

/** Queue of updates, one per member. */
export class UpdateQueue {
  readonly #ownName: string;
  readonly #updates = new Map<string, QueuedUpdate>();

  /** Updates about `ownName` never expire: each peer receives them once. */
  constructor(ownName: string) {
    this.#ownName = ownName;
    this.add(ownName, true);
  }

  /** Queues an update about a member in place of an older one; the sender of the update needs no copy. An update that replaces an urgent one is urgent as well; unless added as urgent, it expires when the replaced one would have. */
  add(name: string, urgent: boolean, sender?: string): void {
    const deliveredTo = new Set(sender === undefined ? [] : [sender]);
    const now = clock.now();
    const previous = this.#updates.get(name);
    this.#updates.delete(name);
    this.#updates.set(name, {
      name,
      urgent: urgent || previous?.urgent === true,
      addedAt: !urgent && previous?.urgent ? previous.addedAt : now,
      deliveredTo,
    });
  }

  /** Updates that a peer has not received, the latest first. */
  pendingFor(peer: string, limit: number): readonly QueuedUpdate[] {
    return [...this.#updates.values()]
      .filter(({ name, deliveredTo }) =>
        name !== peer && !deliveredTo.has(peer)
      )
      .reverse()
      .slice(0, limit);
  }

  /** Records that a peer has received these updates. */
  markDelivered(peer: string, updates: readonly QueuedUpdate[]): void {
    for (const update of updates) update.deliveredTo.add(peer);
  }

  /** Removes updates that are too old or were sent to enough of `memberCount` members. */
  removeExpired(memberCount: number): void {
    const cutoff = clock.now() - UPDATE_LIFETIME_MS;
    const urgentSends = URGENT_SENDS_PER_DOUBLING *
      Math.ceil(Math.log2(memberCount + 2));
    for (const update of this.#updates.values()) {
      if (update.name === this.#ownName) continue;
      const sends = update.urgent ? urgentSends : ORDINARY_SENDS;
      // `deliveredTo` includes the sender of the update, which is not counted.
      if (update.addedAt > cutoff && update.deliveredTo.size <= sends) continue;
      this.#updates.delete(update.name);
    }
  }
}
