/**
 * A host's requests to the coordinator of a shard, and the delegation of the
 * host's part that they carry.
 *
 * @module
 */
import { CoordinatorSearch } from "./coordinator_search.ts";
import type { LimitedAccount } from "./limited_accounts.ts";
import {
  type Answer,
  formatAsk,
  MessageKinds,
  parseAnswer,
  RELEASED,
  UNCHANGED,
  type Wake,
  type Want,
} from "./messages.ts";
import type { CallEnd, Network } from "./network.ts";
import { type Delegation, Part } from "./part.ts";
import type { Candidate, Roster } from "./roster.ts";

/** Receives what an operator may want to know about the coordinators of a shard. */
export interface LinkEvents {
  /** The host asks another coordinator than before. */
  coordinatorChanged(shard: string, from: string, to: string): void;
  /** The coordinator has not answered, so that its delegation of this host's part ends. */
  delegationLapsed(shard: string, coordinator: string): void;
}

/** What a link needs. */
export interface LinkOptions {
  readonly shard: string;
  /** Identifies the run of this process. */
  readonly life: string;
  readonly network: Network;
  readonly roster: Roster;
  readonly events: LinkEvents;
}

/** The answer to a request, and the name of the run of the coordinator that gave it. */
export interface LinkAnswer {
  readonly answer: Answer;
  readonly lender: string;
}

/** Sends the requests of one shard. */
export class CoordinatorLink {
  readonly #options: LinkOptions;
  readonly #onChange: () => void;
  readonly #search: CoordinatorSearch;
  /** This host's part of the shard's limits. */
  readonly part: Part;
  #sequence = 0;
  #lastTarget = "";
  /** Whether a request with a delegation is under way. A second one would only make the part come back later if there is no answer. */
  #isDelegating = false;

  /** `onChange` is called when another coordinator is known, or the part can be delegated again. */
  constructor(options: LinkOptions, onChange: () => void) {
    this.#options = options;
    this.#onChange = onChange;
    const { shard, network, roster } = options;
    this.part = new Part((account) => roster.isReserved(account));
    this.#search = new CoordinatorSearch(shard, network, roster, onChange);
  }

  /** Chooses a coordinator; returns whether one is known, or may be known soon. */
  choose(now: number): "known" | "searching" | "none" {
    this.#search.choose(now);
    if (this.#search.target) return "known";
    // Before this host has registered, it may know no other.
    const { shard, roster } = this.#options;
    const isWaiting = this.#search.isSearching ||
      roster.order(shard).length === 0;
    return isWaiting ? "searching" : "none";
  }

  /** Whether a coordinator is known. */
  get isKnown(): boolean {
    return this.#search.target !== undefined;
  }

  /** Name of the run of the present coordinator; undefined before its first answer. */
  get lender(): string | undefined {
    const { target } = this.#search;
    return target && this.#lenderOf(target.name);
  }

  /** Clock ms from which the part can be delegated to the present coordinator for the first time; Infinity if it is, or can't be. */
  delegableAt(now: number): number {
    const { lender } = this;
    if (!lender) return now;
    if (this.part.share === 0) return Infinity;
    if (this.part.mayDelegate(lender, now)) {
      return this.part.isHeldBy(lender, now) ? Infinity : now;
    }
    return this.part.lockedUntil;
  }

  /** Asks the present coordinator; `onEnd` is given undefined if there is no answer. */
  request(
    wants: readonly Want[],
    accounts: readonly LimitedAccount[],
    now: number,
    onEnd: (answer: LinkAnswer | undefined) => void,
  ): void {
    const { network, roster } = this.#options;
    const target = this.#search.target!;
    this.#noteTarget(target);
    const { lender } = this;
    const delegates = !this.#isDelegating && lender !== undefined &&
      this.part.mayDelegate(lender, now);
    const delegation = delegates
      ? this.part.delegate(lender, accounts, now)
      : undefined;
    if (delegates) this.#isDelegating = true;
    const ask = this.#formatAsk(
      target.name,
      delegation ? roster.size(now) : UNCHANGED,
      delegation,
      wants,
      now,
    );
    network.call(target.endpoint, MessageKinds.ASK, ask, (end) => {
      if (delegates) this.#isDelegating = false;
      const answer = parseAnswer(end.body);
      if (!answer) {
        this.#recordFailure(target, delegation, end);
        return onEnd(undefined);
      }
      const { life, successor } = answer;
      this.#search.recordContact(target.name, { ...end, life });
      if (successor !== undefined) this.#search.move(successor, network.now());
      onEnd({ answer, lender: `${target.name}/${life}` });
    });
  }

  /** Records that a coordinator asks for the part; returns whether it is the present one. */
  wake(
    coordinator: string,
    { life, stamp }: Wake,
    isEngaged: boolean,
    now: number,
  ): boolean {
    this.#search.recordContact(coordinator, { life, stamp, receivedAt: now });
    if (!isEngaged) this.#search.adopt(coordinator);
    return this.#search.target?.name === coordinator;
  }

  /** Takes the part back from the present coordinator, since the host needs nothing. */
  rest(): void {
    const { target } = this.#search;
    if (target) this.#release(target.name);
  }

  #formatAsk(
    coordinator: string,
    parts: number,
    delegation: Delegation | undefined,
    wants: readonly Want[],
    now: number,
  ): unknown {
    const { shard, life } = this.#options;
    const contact = this.#search.contact(coordinator);
    return formatAsk({
      shard,
      life,
      sequence: this.#sequence += 1,
      coordinatorLife: contact?.life ?? "",
      parts,
      sentAt: contact ? contact.stamp + now - contact.receivedAt : 0,
      handover: delegation?.handover,
      wants,
    });
  }

  #recordFailure(
    { name }: Candidate,
    delegation: Delegation | undefined,
    end: CallEnd,
  ): void {
    const { shard, network, events } = this.#options;
    const now = network.now();
    const lender = this.#lenderOf(name);
    const wasHeld = lender !== undefined && this.part.isHeldBy(lender, now);
    if (!end.mayBeReceived) delegation?.undo();
    this.#search.recordFailure(name, now);
    if (wasHeld) events.delegationLapsed(shard, name);
  }

  #noteTarget({ name }: Candidate): void {
    const former = this.#lastTarget;
    if (name === former) return;
    this.#lastTarget = name;
    if (former === "") return;
    const { shard, events } = this.#options;
    events.coordinatorChanged(shard, former, name);
    this.#release(former);
  }

  /** Tells a coordinator that it may no longer use the part, if it may. */
  #release(coordinator: string): void {
    const { shard, network, roster } = this.#options;
    const candidate = roster.order(shard)
      .find(({ name }) => name === coordinator);
    const lender = this.#lenderOf(coordinator);
    const now = network.now();
    if (!candidate || !lender || !this.part.isHeldBy(lender, now)) return;
    const { delegations } = this.part;
    const ask = this.#formatAsk(coordinator, RELEASED, undefined, [], now);
    network.call(candidate.endpoint, MessageKinds.ASK, ask, ({ body }) => {
      const answer = parseAnswer(body);
      if (!answer?.handover || `${coordinator}/${answer.life}` !== lender) {
        return;
      }
      this.part.release(lender, answer.handover, delegations, network.now());
      this.#onChange();
    });
  }

  #lenderOf(name: string): string | undefined {
    const contact = this.#search.contact(name);
    return contact && `${name}/${contact.life}`;
  }
}
