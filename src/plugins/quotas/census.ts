/**
 * Finds out whether all hosts that use a part count a host that has just
 * registered. A new host asks one other host, which asks all for the version of
 * the rows that they know, once for all hosts that want to join at a time.
 *
 * @module
 */
import { isAmount, type JoinAnswer, MessageKinds } from "./messages.ts";
import type { HostRows, Roster } from "./roster.ts";
import type { Network } from "./network.ts";

/**
 * Sum by which the parts may exceed the limits because silent hosts count fewer
 * hosts; taken from the allowance of a tenth, of which the stock takes up to 4
 * hundredths.
 */
const MAX_EXCESS = 0.04;

/** Age of the store's last confirmation up to which this host's rows tell who has registered, in ms. */
const MAX_ROWS_AGE_MS = 10_000;

const REFUSED: JoinAnswer = { joined: false, parts: 0 };

/** A host that waits for its answer. */
interface Joiner {
  readonly name: string;
  readonly incarnation: string;
  answer(answer: JoinAnswer): void;
}

/** Where this host finds what it needs for a census. */
export interface CensusOptions {
  readonly rows: HostRows;
  readonly roster: Roster;
  readonly network: Network;
}

/** Asks the hosts for the version of the rows that they know. */
export class Census {
  readonly #options: CensusOptions;
  /** Highest version of the rows that each host is known to have seen. */
  readonly #seen = new Map<string, number>();
  #waiting: Joiner[] = [];
  #isAsking = false;

  constructor(options: CensusOptions) {
    this.#options = options;
  }

  /** Finds out whether all hosts count a new one. */
  answer(joiner: Joiner): void {
    this.#waiting.push(joiner);
    if (!this.#isAsking) this.#ask();
  }

  /** Asks the hosts that may not have seen the rows of those that wait, then answers these. */
  #ask(): void {
    const joiners = this.#waiting;
    this.#waiting = [];
    const version = Math.max(...joiners.map((joiner) => this.#rowOf(joiner)));
    const unseen = this.#options.roster.candidates.filter(({ name }) =>
      (this.#seen.get(name) ?? -1) < version
    );
    this.#isAsking = true;
    let left = unseen.length;
    const finish = () => {
      this.#isAsking = false;
      const now = this.#options.network.now();
      for (const joiner of joiners) joiner.answer(this.#decide(joiner, now));
      if (this.#waiting.length > 0) this.#ask();
    };
    if (left === 0) return finish();
    for (const { name, endpoint } of unseen) {
      this.#options.network.call(endpoint, MessageKinds.ROWS, [], (end) => {
        const known = Array.isArray(end.body) ? end.body[0] : undefined;
        if (isAmount(known)) this.#record(name, known);
        left -= 1;
        if (left === 0) finish();
      });
    }
  }

  #decide(joiner: Joiner, now: number): JoinAnswer {
    const { rows, roster } = this.#options;
    const version = this.#rowOf(joiner);
    if (version === 0 || rows.confirmedAt < now - MAX_ROWS_AGE_MS) {
      return REFUSED;
    }
    const parts = roster.size(now);
    let excess = 0;
    for (const [name, { value }] of rows.hosts()) {
      const hasSeen = (this.#seen.get(name) ?? -1) >= version;
      if (name === joiner.name || hasSeen) continue;
      // A silent host divides by the number in its row, or counts all of these rows before it uses a part.
      if (value.parts) excess += Math.max(0, 1 / value.parts - 1 / parts);
    }
    return { joined: excess <= MAX_EXCESS, parts };
  }

  /** Version of the row with which a host has registered; 0 if it is not known here. */
  #rowOf({ name, incarnation }: Joiner): number {
    const row = this.#options.rows.hosts().get(name);
    return row?.value.incarnation === incarnation ? row.version : 0;
  }

  #record(name: string, version: number): void {
    this.#seen.set(name, Math.max(version, this.#seen.get(name) ?? 0));
  }
}
