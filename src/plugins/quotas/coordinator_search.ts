/**
 * Finds the host that coordinates a shard: the first in the shard's order that
 * answers. A host that failed is left out for a while; the coordinator that took
 * its place tells when it answers again, so that all hosts return together.
 *
 * @module
 */
import { MessageKinds, parseAnswer } from "./messages.ts";
import type { Network } from "./network.ts";
import type { Candidate, Roster } from "./roster.ts";

/** Time in ms for which a host that failed is left out, doubled with each further failure up to the maximum. */
const MIN_SUSPICION_MS = 1_000;
const MAX_SUSPICION_MS = 8_000;

/** Number of hosts that are asked at the same time after a failure, doubled with each further round. */
const FIRST_ROUND_SIZE = 4;

/** Pause in ms before hosts are asked again after none has answered. */
const SEARCH_PAUSE_MS = 1_000;

/** A coordinator that has answered. */
export interface Contact {
  /** Identifies the run of its process. */
  readonly life: string;
  /** Its clock, in ms, when it sent its last answer, and this host's clock when that arrived. */
  readonly stamp: number;
  readonly receivedAt: number;
}

interface Suspicion {
  readonly until: number;
  readonly duration: number;
}

/** Chooses the coordinator of one shard for this host. */
export class CoordinatorSearch {
  readonly #shard: string;
  readonly #network: Network;
  readonly #roster: Roster;
  readonly #onFound: () => void;
  readonly #suspicions = new Map<string, Suspicion>();
  readonly #contacts = new Map<string, Contact>();
  /** The order of which the target was chosen. */
  #order: readonly Candidate[] = [];
  #target: Candidate | undefined;
  #isSearching = false;
  #searchAt = 0;

  /** `onFound` is called when a search has ended. */
  constructor(
    shard: string,
    network: Network,
    roster: Roster,
    onFound: () => void,
  ) {
    this.#shard = shard;
    this.#network = network;
    this.#roster = roster;
    this.#onFound = onFound;
  }

  /** The coordinator to ask now; undefined while none is known. */
  get target(): Candidate | undefined {
    return this.#target;
  }

  /** Whether hosts are being asked, so that a coordinator may be known soon. */
  get isSearching(): boolean {
    return this.#isSearching;
  }

  /** Chooses a coordinator if none is known or the present one has gone. */
  choose(now: number): void {
    const order = this.#roster.order(this.#shard);
    if (order !== this.#order) this.#follow(order);
    if (this.#target || this.#isSearching || now < this.#searchAt) return;
    const candidates = order.filter((item) => !this.isSuspected(item, now));
    if (candidates.length === order.length) this.#target = candidates[0];
    else this.#search(candidates, FIRST_ROUND_SIZE);
  }

  /** What is known about a coordinator's clock; undefined before its first answer. */
  contact(name: string): Contact | undefined {
    return this.#contacts.get(name);
  }

  /** Records an answer or a message of a coordinator. */
  recordContact(name: string, contact: Contact): void {
    this.#contacts.set(name, contact);
    this.#suspicions.delete(name);
  }

  /** Records that a coordinator has not answered. */
  recordFailure(name: string, now: number): void {
    const former = this.#suspicions.get(name)?.duration ?? 0;
    const duration = Math.min(
      Math.max(MIN_SUSPICION_MS, former * 2),
      MAX_SUSPICION_MS,
    );
    this.#suspicions.set(name, { until: now + duration, duration });
    this.#contacts.delete(name);
    if (this.#target?.name !== name) return;
    this.#target = undefined;
    this.#searchAt = 0;
  }

  /** Takes a host that asks for this host's part as the coordinator. */
  adopt(name: string): void {
    this.#target = this.#find(name) ?? this.#target;
  }

  /** Changes to a coordinator that the present one has named, once it has answered. */
  move(name: string, now: number): void {
    const candidate = this.#find(name);
    if (!candidate || this.#isSearching) return;
    if (name === this.#target?.name || this.isSuspected(candidate, now)) return;
    this.#isSearching = true;
    this.#greet(candidate, (hasAnswered) => {
      this.#isSearching = false;
      if (hasAnswered) this.#target = candidate;
      this.#onFound();
    });
  }

  /** Whether a host has failed a short time ago. */
  isSuspected({ name }: Candidate, now: number): boolean {
    const suspicion = this.#suspicions.get(name);
    return suspicion !== undefined && now < suspicion.until;
  }

  /** Drops what is known about hosts that have gone. */
  #follow(order: readonly Candidate[]): void {
    this.#order = order;
    const { name } = this.#target ?? {};
    // The endpoint may have changed with a restart.
    this.#target = order.find((candidate) => candidate.name === name);
    const names = new Set(order.map((candidate) => candidate.name));
    for (const known of [this.#contacts, this.#suspicions]) {
      for (const other of known.keys()) {
        if (!names.has(other)) known.delete(other);
      }
    }
  }

  /** Asks hosts in growing rounds; the first in order that answers in a round is the coordinator. */
  #search(candidates: readonly Candidate[], size: number): void {
    const round = candidates.slice(0, size);
    this.#isSearching = true;
    if (round.length === 0) {
      this.#isSearching = false;
      this.#searchAt = this.#network.now() + SEARCH_PAUSE_MS;
      return this.#onFound();
    }
    const answered = new Set<Candidate>();
    let left = round.length;
    for (const candidate of round) {
      this.#greet(candidate, (hasAnswered) => {
        if (hasAnswered) answered.add(candidate);
        left -= 1;
        if (left > 0) return;
        const first = round.find((item) => answered.has(item));
        if (!first) return this.#search(candidates.slice(size), size * 2);
        this.#isSearching = false;
        this.#target = first;
        this.#onFound();
      });
    }
  }

  #greet(
    { name, endpoint }: Candidate,
    onEnd: (hasAnswered: boolean) => void,
  ): void {
    const body = [this.#shard];
    this.#network.call(endpoint, MessageKinds.HELLO, body, (end) => {
      const answer = parseAnswer(end.body);
      if (!answer) this.recordFailure(name, this.#network.now());
      else this.recordContact(name, { ...end, life: answer.life });
      onEnd(answer !== undefined);
    });
  }

  #find(name: string): Candidate | undefined {
    return this.#roster.order(this.#shard).find((item) => item.name === name);
  }
}
