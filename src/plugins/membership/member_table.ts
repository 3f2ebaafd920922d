/**
 * What this proxy knows of all proxies of its environment. A statement about a
 * proxy replaces another when its incarnation or version is higher, or when it
 * is as new and says worse; only the proxy itself raises its version.
 *
 * @module
 */
import { createHash } from "node:crypto";
import type { Liveness, Member, ProxyState } from "./membership.ts";

/** What a received statement changed. */
export type MemberChange =
  | "none"
  /** The state is newer, the liveness the same. */
  | "state"
  /** The proxy is new here or alive again. */
  | "joined"
  /** The proxy is suspected, gone, no longer suspected, or leaving. */
  | "liveness"
  /** The statement was about this proxy, and this proxy has refuted it. */
  | "refuted";

/** The parts of the own state that change. */
export type OwnChange = Partial<
  Pick<ProxyState, "revision" | "leaving" | "demands">
>;

const RANKS: Readonly<Record<Liveness, number>> = {
  alive: 0,
  suspected: 1,
  gone: 2,
};
const MEMBERS_LIMIT = 20_000;

/** How bad a liveness is; higher replaces lower at the same version. */
export function rankOf(liveness: Liveness): number {
  return RANKS[liveness];
}

/** Whether the first statement replaces the second. */
export function supersedes(next: Member, known: Member): boolean {
  if (next.state.incarnation !== known.state.incarnation) {
    return next.state.incarnation > known.state.incarnation;
  }
  if (next.state.version !== known.state.version) {
    return next.state.version > known.state.version;
  }
  return RANKS[next.liveness] > RANKS[known.liveness];
}

/** Members by name. */
export class MemberTable {
  readonly #others = new Map<string, Member>();
  #own: ProxyState;
  #checksum: number;

  constructor(own: ProxyState) {
    this.#own = own;
    this.#checksum = hashOf(this.ownMember);
  }

  get own(): ProxyState {
    return this.#own;
  }

  get ownMember(): Member {
    return { state: this.#own, liveness: "alive" };
  }

  /** Number of members, this proxy and those that are gone included. */
  get size(): number {
    return this.#others.size + 1;
  }

  /** Equal in two tables that hold the same proxies at the same versions; those that are gone don't count. */
  get checksum(): number {
    return this.#checksum;
  }

  /** A member by name, this proxy included. */
  get(name: string): Member | undefined {
    return name === this.#own.name ? this.ownMember : this.#others.get(name);
  }

  /** All members, this proxy first. */
  members(): readonly Member[] {
    return [this.ownMember, ...this.#others.values()];
  }

  /** All members but this proxy. */
  others(): readonly Member[] {
    return [...this.#others.values()];
  }

  /** Changes the own state and raises its version. */
  changeOwn(change: OwnChange): void {
    this.#setOwn({
      ...this.#own,
      ...change,
      version: this.#own.version + 1,
    });
  }

  /** Takes a statement when it replaces what is known. */
  apply(next: Member): MemberChange {
    if (next.state.name === this.#own.name) return this.#hearOfSelf(next);
    const known = this.#others.get(next.state.name);
    if (!known) return this.#add(next);
    if (!supersedes(next, known)) return "none";
    this.#set(next, known);
    if (known.liveness === "gone") return "joined";
    const same = next.liveness === known.liveness &&
      next.state.leaving === known.state.leaving;
    return same ? "state" : "liveness";
  }

  /** Drops a member. */
  forget(name: string): void {
    const known = this.#others.get(name);
    if (!known) return;
    this.#checksum ^= hashOf(known);
    this.#others.delete(name);
  }

  #add(next: Member): MemberChange {
    if (next.liveness === "gone") return "none";
    if (this.#others.size >= MEMBERS_LIMIT) return "none";
    this.#set(next, undefined);
    return "joined";
  }

  #set(next: Member, known: Member | undefined): void {
    if (known) this.#checksum ^= hashOf(known);
    this.#checksum ^= hashOf(next);
    this.#others.set(next.state.name, next);
  }

  /** Refutes a false statement; a later start under the same name elsewhere is left to it. */
  #hearOfSelf(next: Member): MemberChange {
    const own = this.#own;
    if (!supersedes(next, this.ownMember)) return "none";
    const later = next.state.incarnation > own.incarnation;
    if (later && next.state.endpoint !== own.endpoint) return "none";
    this.#setOwn({
      ...own,
      incarnation: later ? next.state.incarnation + 1 : own.incarnation,
      version: Math.max(own.version, next.state.version) + 1,
    });
    return "refuted";
  }

  #setOwn(own: ProxyState): void {
    this.#checksum ^= hashOf(this.ownMember);
    this.#own = own;
    this.#checksum ^= hashOf(this.ownMember);
  }
}

function hashOf(member: Member): number {
  if (member.liveness === "gone") return 0;
  const { name, incarnation, version } = member.state;
  return createHash("sha1")
    .update(`${name}:${incarnation}:${version}`)
    .digest()
    .readInt32BE(0);
}
