/**
 * Gossip between two members: exchanges of bounded messages with the latest
 * updates, and a comparison of whole member tables, page by page, where the
 * tables still differ after the updates have been exchanged.
 *
 * @module
 */
import { clock } from "../../kernel/clock.ts";
import type { PeerProcedure, Peers } from "../peers/peers.ts";
import { PARTNERS_LIMIT } from "./gossip_partners.ts";
import type { Liveness, Member } from "./membership.ts";
import { type MemberChange, type MemberTable, rankOf } from "./member_table.ts";
import {
  decodeMember,
  digest,
  DIGEST_ENTRIES_LIMIT,
  type DigestEntry,
  type DigestPage,
  type EncodedMember,
  encodeMember,
  exchange,
  type ExchangeMessage,
  states,
  UPDATES_LIMIT,
} from "./procedures.ts";
import { UpdateQueue } from "./update_queue.ts";

const RECONCILE_CALL_TIMEOUT_MS = 2_000;
/** Consecutive exchanges with different checksums after which the tables are reconciled. */
const CONSECUTIVE_MISMATCHES_LIMIT = 3;
/** Minimum time between a reconciliation and the next one caused by mismatches. */
const RECONCILE_INTERVAL_MS = 10_000;

const LIVENESS_BY_RANK: readonly Liveness[] = ["alive", "suspected", "gone"];

/** An update that changed the member table; `sender` is undefined if this proxy made the update itself. */
export interface AppliedUpdate {
  readonly member: Member;
  readonly change: MemberChange;
  readonly sender: string | undefined;
}

/** Receives the updates that changed the table and the senders of messages. */
export interface GossipListener {
  /** Called after the updates of a message have been applied. */
  onMessage(sender: string): void;
  /** Called with the updates that have changed the table. */
  onUpdates(updates: readonly AppliedUpdate[]): void;
}

/** Exchanges the contents of the member table with other members. */
export class Gossip {
  readonly #peers: Peers;
  readonly #environment: string;
  readonly #table: MemberTable;
  readonly #queue: UpdateQueue;
  readonly #listener: GossipListener;
  readonly #mismatches = new Map<string, number>();
  #reconciledAt = -Infinity;

  /** Exchanges nothing with the proxies of another environment, which may be in the same host list. */
  constructor(
    peers: Peers,
    environment: string,
    table: MemberTable,
    listener: GossipListener,
  ) {
    this.#peers = peers;
    this.#environment = environment;
    this.#table = table;
    this.#queue = new UpdateQueue(table.ownState.name);
    this.#listener = listener;
  }

  /** Registers the handlers of the peer procedures. */
  serve(): void {
    this.#peers.serve(exchange, (message) => this.#handleExchange(message));
    this.#peers.serve(digest, ({ after }) => this.#createDigestPage(after));
    this.#peers.serve(states, ({ names }) => this.#encodeMembers(names));
  }

  /** Applies an update made by this proxy and queues it for other members. */
  announce(member: Member): void {
    this.#applyUpdates([member], undefined);
  }

  /** Queues the changed state of this proxy for other members. */
  announceOwnState(): void {
    this.#queue.add(this.#table.ownState.name, true);
  }

  /** Removes queued updates that are too old or were sent often enough. */
  removeExpiredUpdates(): void {
    this.#queue.removeExpired(this.#table.size);
  }

  /** Exchanges updates with a member; resolves with false if the member did not answer. */
  async exchange(
    peer: string,
    endpoint: string,
    timeoutMs: number,
  ): Promise<boolean> {
    const updates = this.#queue.pendingFor(peer, UPDATES_LIMIT);
    const message = this.#createMessage(
      peer,
      updates.map((update) => update.name),
    );
    const answer = await this.#peers.call(
      endpoint,
      exchange,
      message,
      timeoutMs,
    );
    if (answer.isErr() || answer.value.from !== peer) return false;
    if (this.#isForeign(answer.value)) return false;
    this.#queue.markDelivered(peer, updates);
    this.#handleMessage(answer.value);
    this.#reconcileIfNeeded(peer, endpoint, answer.value.sum);
    return true;
  }

  /** Compares the whole table with that of a peer, page by page: fetches newer states and queues those that the peer lacks. */
  async reconcile(peer: string, endpoint: string): Promise<void> {
    this.#reconciledAt = clock.now();
    let after = "";
    while (true) {
      const page = await this.#callPeer(endpoint, digest, { after });
      if (!page) return;
      await this.#fetchNewerStates(peer, endpoint, page.entries);
      const lastName = page.more ? page.entries.at(-1)?.[0] : undefined;
      this.#enqueueMissing(page.entries, after, lastName);
      if (lastName === undefined) return;
      after = lastName;
    }
  }

  #handleExchange(message: ExchangeMessage): ExchangeMessage {
    if (this.#isForeign(message)) {
      throw new Error(`this proxy serves ${this.#environment}`);
    }
    this.#handleMessage(message);
    const updates = this.#queue.pendingFor(message.from, UPDATES_LIMIT);
    this.#queue.markDelivered(message.from, updates);
    return this.#createMessage(
      message.from,
      updates.map((update) => update.name),
    );
  }

  /** Includes the entry for the receiver unless the receiver counts as alive, so that the receiver can refute the entry. */
  #createMessage(
    receiver: string,
    updateNames: readonly string[],
  ): ExchangeMessage {
    const receiverMember = this.#table.get(receiver);
    const refutable = receiverMember && receiverMember.liveness !== "alive"
      ? [receiver]
      : [];
    return {
      from: this.#table.ownState.name,
      environment: this.#environment,
      sum: this.#table.checksum,
      updates: this.#encodeMembers([...refutable, ...updateNames]),
    };
  }

  #isForeign({ environment }: ExchangeMessage): boolean {
    return environment !== undefined && environment !== this.#environment;
  }

  #handleMessage(message: ExchangeMessage): void {
    this.#applyUpdates(message.updates.map(decodeMember), message.from);
    this.#listener.onMessage(message.from);
  }

  #applyUpdates(updates: readonly Member[], sender: string | undefined): void {
    const applied: AppliedUpdate[] = [];
    for (const update of updates) {
      const change = this.#table.apply(update);
      if (change === "none") continue;
      this.#enqueue(update, change, sender);
      applied.push({ member: update, change, sender });
    }
    if (applied.length > 0) this.#listener.onUpdates(applied);
  }

  /** Doesn't queue newer states while all members are partners of each other, since each member then receives them from their owner. */
  #enqueue(
    member: Member,
    change: MemberChange,
    sender: string | undefined,
  ): void {
    const { name } = member.state;
    if (change === "refuted") return this.#queue.add(name, true);
    const ordinary = change === "state";
    if (ordinary && this.#table.size <= PARTNERS_LIMIT + 1) return;
    this.#queue.add(name, !ordinary, sender);
  }

  #reconcileIfNeeded(
    peer: string,
    endpoint: string,
    peerChecksum: number,
  ): void {
    const equal = peerChecksum === this.#table.checksum;
    const mismatches = equal ? 0 : (this.#mismatches.get(peer) ?? 0) + 1;
    this.#mismatches.set(peer, mismatches);
    if (mismatches < CONSECUTIVE_MISMATCHES_LIMIT) return;
    if (clock.now() - this.#reconciledAt < RECONCILE_INTERVAL_MS) return;
    this.reconcile(peer, endpoint).catch(() => undefined);
  }

  #createDigestPage(after: string): DigestPage {
    const rest = this.#table.members()
      .filter(({ state }) => state.name > after)
      .sort((a, b) => a.state.name < b.state.name ? -1 : 1);
    return {
      entries: rest.slice(0, DIGEST_ENTRIES_LIMIT).map(digestEntryOf),
      more: rest.length > DIGEST_ENTRIES_LIMIT,
    };
  }

  async #fetchNewerStates(
    peer: string,
    endpoint: string,
    entries: readonly DigestEntry[],
  ): Promise<void> {
    const names = entries
      .filter((entry) => isNewer(entry, this.#digestEntry(entry[0])))
      .map((entry) => entry[0]);
    for (let offset = 0; offset < names.length; offset += UPDATES_LIMIT) {
      const batch = names.slice(offset, offset + UPDATES_LIMIT);
      const encodedMembers = await this.#callPeer(endpoint, states, {
        names: batch,
      });
      if (!encodedMembers) return;
      this.#applyUpdates(encodedMembers.map(decodeMember), peer);
    }
  }

  /** Queues members with names after `after`, up to `last`, that are missing or older in the peer's page. */
  #enqueueMissing(
    entries: readonly DigestEntry[],
    after: string,
    last: string | undefined,
  ): void {
    const peerEntries = new Map(entries.map((entry) => [entry[0], entry]));
    for (const member of this.#table.others()) {
      const { name } = member.state;
      if (name <= after || (last !== undefined && name > last)) continue;
      if (isNewer(digestEntryOf(member), peerEntries.get(name))) {
        this.#queue.add(name, false);
      }
    }
  }

  #digestEntry(name: string): DigestEntry | undefined {
    const member = this.#table.get(name);
    return member && digestEntryOf(member);
  }

  #encodeMembers(names: readonly string[]): EncodedMember[] {
    return names.map((name) => this.#table.get(name))
      .filter((member) => member !== undefined)
      .map(encodeMember);
  }

  async #callPeer<Input, Output>(
    endpoint: string,
    procedure: PeerProcedure<Input, Output>,
    input: Input,
  ): Promise<Output | undefined> {
    const answer = await this.#peers.call(
      endpoint,
      procedure,
      input,
      RECONCILE_CALL_TIMEOUT_MS,
    );
    return answer.unwrapOr(undefined);
  }
}

function digestEntryOf({ state, liveness }: Member): DigestEntry {
  return [state.name, state.incarnation, state.version, rankOf(liveness)];
}

/** Whether the first entry is newer than the second. Where the member is unknown, an entry is newer unless the member is gone. */
function isNewer(entry: DigestEntry, known: DigestEntry | undefined): boolean {
  if (!known) return LIVENESS_BY_RANK[entry[3]] !== "gone";
  const differing = [1, 2, 3].find((index) => entry[index] !== known[index]);
  return differing !== undefined && entry[differing]! > known[differing]!;
}
