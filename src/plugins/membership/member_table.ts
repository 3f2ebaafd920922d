/**
 * The members of the environment as known to this proxy. An update about a
 * member supersedes an earlier one if its incarnation or version is higher, or
 * if these are equal and its liveness is worse. Only a member itself increases
 * its version.
 *
 * @module
 */
import { createHash } from "node:crypto";
import type { Liveness, Member, ProxyState } from "./membership.ts";

/** Effect of an update on the member table. */
export type MemberChange =
  | "none"
  /** The state is newer; liveness and `leaving` are unchanged. */
  | "state"
  /** The member is new or was gone before. */
  | "joined"
  /** The member's liveness or its `leaving` flag has changed. */
  | "liveness"
  /** The update was about this proxy, which has refuted it with a higher version. */
  | "refuted";

/** Fields of this proxy's state that may change. */
export type OwnStateChange = Partial<
  Pick<ProxyState, "revision" | "leaving" | "demands">
>;

const LIVENESS_RANKS: Readonly<Record<Liveness, number>> = {
  alive: 0,
  suspected: 1,
  gone: 2,
};
const MEMBERS_LIMIT = 20_000;

/** Rank of a liveness; at the same version, a higher rank supersedes a lower one. */
export function rankOf(liveness: Liveness): number {
  return LIVENESS_RANKS[liveness];
}

/** Whether an update supersedes the current entry of the same member. */
export function supersedes(update: Member, current: Member): boolean {
  if (update.state.incarnation !== current.state.incarnation) {
    return update.state.incarnation > current.state.incarnation;
  }
  if (update.state.version !== current.state.version) {
    return update.state.version > current.state.version;
  }
  return LIVENESS_RANKS[update.liveness] > LIVENESS_RANKS[current.liveness];
}

/** Table of the members by name, this proxy included. */
export class MemberTable {
  readonly #others = new Map<string, Member>();
  #ownState: ProxyState;
  #checksum: number;

  constructor(ownState: ProxyState) {
    this.#ownState = ownState;
    this.#checksum = checksumOf(this.ownMember);
  }

  /** State of this proxy. */
  get ownState(): ProxyState {
    return this.#ownState;
  }

  /** This proxy as a member; always alive. */
  get ownMember(): Member {
    return { state: this.#ownState, liveness: "alive" };
  }

  /** Number of members, including this proxy and gone members. */
  get size(): number {
    return this.#others.size + 1;
  }

  /** Checksum over the names, incarnations and versions of all members except gone ones; equal for tables with the same members at the same versions. */
  get checksum(): number {
    return this.#checksum;
  }

  /** The member with this name, which may be this proxy. */
  get(name: string): Member | undefined {
    return name === this.#ownState.name
      ? this.ownMember
      : this.#others.get(name);
  }

  /** All members, this proxy first. */
  members(): readonly Member[] {
    return [this.ownMember, ...this.#others.values()];
  }

  /** All members except this proxy. */
  others(): readonly Member[] {
    return [...this.#others.values()];
  }

  /** Changes the state of this proxy and increases its version. */
  changeOwnState(change: OwnStateChange): void {
    this.#setOwnState({
      ...this.#ownState,
      ...change,
      version: this.#ownState.version + 1,
    });
  }

  /** Applies an update if it supersedes the current entry; returns its effect. */
  apply(update: Member): MemberChange {
    if (update.state.name === this.#ownState.name) return this.#refute(update);
    const current = this.#others.get(update.state.name);
    if (!current) return this.#add(update);
    if (!supersedes(update, current)) return "none";
    this.#set(update, current);
    if (current.liveness === "gone") return "joined";
    const unchanged = update.liveness === current.liveness &&
      update.state.leaving === current.state.leaving;
    return unchanged ? "state" : "liveness";
  }

  /** Removes a member. */
  remove(name: string): void {
    const member = this.#others.get(name);
    if (!member) return;
    this.#checksum ^= checksumOf(member);
    this.#others.delete(name);
  }

  #add(member: Member): MemberChange {
    if (member.liveness === "gone") return "none";
    if (this.#others.size >= MEMBERS_LIMIT) return "none";
    this.#set(member, undefined);
    return "joined";
  }

  #set(member: Member, previous: Member | undefined): void {
    if (previous) this.#checksum ^= checksumOf(previous);
    this.#checksum ^= checksumOf(member);
    this.#others.set(member.state.name, member);
  }

  /**
   * Refutes an update about this proxy by a higher version. An update of a later
   * incarnation at another endpoint belongs to another process with the same name
   * and is ignored while that one is not gone. Once it is gone, this proxy has
   * replaced it on a host whose time of day is behind.
   */
  #refute(update: Member): MemberChange {
    const own = this.#ownState;
    if (!supersedes(update, this.ownMember)) return "none";
    const later = update.state.incarnation > own.incarnation;
    const isElsewhere = update.state.endpoint !== own.endpoint;
    if (later && isElsewhere && update.liveness !== "gone") return "none";
    this.#setOwnState({
      ...own,
      incarnation: later ? update.state.incarnation + 1 : own.incarnation,
      version: Math.max(own.version, update.state.version) + 1,
    });
    return "refuted";
  }

  #setOwnState(state: ProxyState): void {
    this.#checksum ^= checksumOf(this.ownMember);
    this.#ownState = state;
    this.#checksum ^= checksumOf(this.ownMember);
  }
}

function checksumOf(member: Member): number {
  if (member.liveness === "gone") return 0;
  const { name, incarnation, version } = member.state;
  return createHash("sha1")
    .update(`${name}:${incarnation}:${version}`)
    .digest()
    .readInt32BE(0);
}
