/**
 * Swaps what two members know: bounded messages with the latest news, and pages
 * of versions where the tables differ though the news has been told.
 *
 * @module
 */
import type { PeerProcedure, Peers } from "../peers/peers.ts";
import { PARTNERS_LIMIT } from "./gossip_partners.ts";
import type { Liveness, Member } from "./membership.ts";
import { type MemberChange, type MemberTable, rankOf } from "./member_table.ts";
import {
  decodeMember,
  digest,
  DIGEST_LIMIT,
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

const PAGE_TIMEOUT_MS = 2_000;
/** Exchanges in a row after which tables that differ are compared page by page. */
const DIFFERENCES_LIMIT = 3;
const COMPARE_INTERVAL_MS = 10_000;

const LIVENESS: readonly Liveness[] = ["alive", "suspected", "gone"];

/** A statement about a member, what it changed, and who told it. */
export interface GossipNews {
  readonly member: Member;
  readonly change: MemberChange;
  readonly toldBy: string | undefined;
}

/** Told of news and of members that were heard. */
export interface GossipListener {
  heard(name: string): void;
  changed(news: readonly GossipNews[]): void;
}

/** Speaks with other members about the table. */
export class Gossip {
  readonly #peers: Peers;
  readonly #table: MemberTable;
  readonly #queue: UpdateQueue;
  readonly #listener: GossipListener;
  readonly #differences = new Map<string, number>();
  #comparedAt = -Infinity;

  constructor(peers: Peers, table: MemberTable, listener: GossipListener) {
    this.#peers = peers;
    this.#table = table;
    this.#queue = new UpdateQueue(table.own.name);
    this.#listener = listener;
  }

  /** Answers other members. */
  serve(): void {
    this.#peers.serve(exchange, (message) => this.#answer(message));
    this.#peers.serve(digest, ({ after }) => this.#page(after));
    this.#peers.serve(states, ({ names }) => this.#encode(names));
  }

  /** Takes a statement of this proxy's own into the table and passes it on. */
  announce(member: Member): void {
    this.#receive([member], undefined);
  }

  /** Passes on the own state, which has changed. */
  announceOwn(): void {
    this.#queue.add(this.#table.own.name, true);
  }

  /** Drops news that was told often enough. */
  expire(): void {
    this.#queue.expire(this.#table.size);
  }

  /** Swaps news with a member; false when it did not answer. */
  async exchange(
    name: string,
    endpoint: string,
    timeout: number,
  ): Promise<boolean> {
    const updates = this.#queue.take(name, UPDATES_LIMIT);
    const message = this.#message(name, updates.map((update) => update.name));
    const answer = await this.#peers.call(
      endpoint,
      exchange,
      message,
      timeout,
    );
    if (answer.isErr() || answer.value.from !== name) return false;
    this.#queue.deliver(name, updates);
    this.#take(answer.value);
    this.#compareWhenNeeded(name, endpoint, answer.value.sum);
    return true;
  }

  /** Compares the whole tables, page by page. */
  async compare(name: string, endpoint: string): Promise<void> {
    this.#comparedAt = performance.now();
    let after = "";
    while (true) {
      const page = await this.#call(endpoint, digest, { after });
      if (!page) return;
      await this.#fetchNewer(name, endpoint, page.entries);
      const last = page.more ? page.entries.at(-1)?.[0] : undefined;
      this.#announceMissing(page.entries, after, last);
      if (last === undefined) return;
      after = last;
    }
  }

  #answer(message: ExchangeMessage): ExchangeMessage {
    this.#take(message);
    const updates = this.#queue.take(message.from, UPDATES_LIMIT);
    this.#queue.deliver(message.from, updates);
    return this.#message(message.from, updates.map((update) => update.name));
  }

  /** Says of the receiver what this proxy holds of it unless that is good, so that it can refute. */
  #message(receiver: string, names: readonly string[]): ExchangeMessage {
    const known = this.#table.get(receiver);
    const doubted = known && known.liveness !== "alive" ? [receiver] : [];
    return {
      from: this.#table.own.name,
      sum: this.#table.checksum,
      updates: this.#encode([...doubted, ...names]),
    };
  }

  #take(message: ExchangeMessage): void {
    this.#receive(message.updates.map(decodeMember), message.from);
    this.#listener.heard(message.from);
  }

  #receive(members: readonly Member[], toldBy: string | undefined): void {
    const news: GossipNews[] = [];
    for (const member of members) {
      const change = this.#table.apply(member);
      if (change === "none") continue;
      this.#passOn(member, change, toldBy);
      news.push({ member, change, toldBy });
    }
    if (news.length > 0) this.#listener.changed(news);
  }

  /** While all members are partners, each hears of a newer state from its owner. */
  #passOn(
    member: Member,
    change: MemberChange,
    toldBy: string | undefined,
  ): void {
    const { name } = member.state;
    if (change === "refuted") return this.#queue.add(name, true);
    const ordinary = change === "state";
    if (ordinary && this.#table.size <= PARTNERS_LIMIT + 1) return;
    this.#queue.add(name, !ordinary, toldBy);
  }

  #compareWhenNeeded(name: string, endpoint: string, sum: number): void {
    const equal = sum === this.#table.checksum;
    const differences = equal ? 0 : (this.#differences.get(name) ?? 0) + 1;
    this.#differences.set(name, differences);
    if (differences < DIFFERENCES_LIMIT) return;
    if (performance.now() - this.#comparedAt < COMPARE_INTERVAL_MS) return;
    this.compare(name, endpoint).catch(() => undefined);
  }

  #page(after: string): DigestPage {
    const rest = this.#table.members()
      .filter(({ state }) => state.name > after)
      .sort((a, b) => a.state.name < b.state.name ? -1 : 1);
    return {
      entries: rest.slice(0, DIGEST_LIMIT).map(digestOf),
      more: rest.length > DIGEST_LIMIT,
    };
  }

  async #fetchNewer(
    name: string,
    endpoint: string,
    entries: readonly DigestEntry[],
  ): Promise<void> {
    const names = entries
      .filter((entry) => isNewer(entry, this.#digest(entry[0])))
      .map((entry) => entry[0]);
    for (let first = 0; first < names.length; first += UPDATES_LIMIT) {
      const wanted = names.slice(first, first + UPDATES_LIMIT);
      const found = await this.#call(endpoint, states, { names: wanted });
      if (!found) return;
      this.#receive(found.map(decodeMember), name);
    }
  }

  /** Passes on what a peer's page of names after `after`, up to `last`, lacks. */
  #announceMissing(
    entries: readonly DigestEntry[],
    after: string,
    last: string | undefined,
  ): void {
    const theirs = new Map(entries.map((entry) => [entry[0], entry]));
    for (const member of this.#table.others()) {
      const { name } = member.state;
      if (name <= after || (last !== undefined && name > last)) continue;
      if (isNewer(digestOf(member), theirs.get(name))) {
        this.#queue.add(name, false);
      }
    }
  }

  #digest(name: string): DigestEntry | undefined {
    const known = this.#table.get(name);
    return known && digestOf(known);
  }

  #encode(names: readonly string[]): EncodedMember[] {
    return names.map((name) => this.#table.get(name))
      .filter((member) => member !== undefined)
      .map(encodeMember);
  }

  async #call<Input, Output>(
    endpoint: string,
    procedure: PeerProcedure<Input, Output>,
    input: Input,
  ): Promise<Output | undefined> {
    const answer = await this.#peers.call(
      endpoint,
      procedure,
      input,
      PAGE_TIMEOUT_MS,
    );
    return answer.unwrapOr(undefined);
  }
}

function digestOf({ state, liveness }: Member): DigestEntry {
  return [state.name, state.incarnation, state.version, rankOf(liveness)];
}

/** Whether the first entry is newer than the second; one that is gone is no news to who never knew it. */
function isNewer(entry: DigestEntry, known: DigestEntry | undefined): boolean {
  if (!known) return LIVENESS[entry[3]] !== "gone";
  const place = [1, 2, 3].find((index) => entry[index] !== known[index]);
  return place !== undefined && entry[place]! > known[place]!;
}
