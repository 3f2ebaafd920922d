/**
 * Probes members directly and through others. A process that has signs of being
 * slow itself waits longer before it doubts others; else a loaded machine would
 * turn its processes into each other's suspects.
 *
 * @module
 */
import type { Peers } from "../peers/peers.ts";
import type { Gossip } from "./gossip.ts";
import type { MemberTable } from "./member_table.ts";
import { probe } from "./procedures.ts";
import { shuffle } from "./shuffle.ts";

const EXCHANGE_TIMEOUT_MS = 300;
const INDIRECT_TIMEOUT_MS = 500;
const INDIRECT_PROBES = 3;
const GREATEST_SLOWNESS = 4;
/** Time without a sign of being slow after which the patience falls by one. */
const SLOWNESS_DECAY_MS = 2_000;

/** Options of the prober. */
export interface ProberOptions {
  readonly peers: Peers;
  readonly table: MemberTable;
  readonly gossip: Gossip;
  /** Members that may be asked about another. */
  readonly helpers: (name: string) => readonly string[];
}

/** Probes members. */
export class Prober {
  readonly #options: ProberOptions;
  #slowness = 0;
  #slownessAt = -Infinity;

  constructor(options: ProberOptions) {
    this.#options = options;
  }

  /** Multiplies timeouts; 1 for a process without signs of being slow. */
  get patience(): number {
    return 1 + this.#slowness;
  }

  /** Answers members that ask about others. */
  serve(): void {
    this.#options.peers.serve(probe, ({ name }) => this.#reaches(name));
  }

  /** Notes a sign that this process, rather than others, is slow. */
  noteSlowness(): void {
    this.#slowness = Math.min(this.#slowness + 1, GREATEST_SLOWNESS);
    this.#slownessAt = performance.now();
  }

  /** Probes a member and swaps news with it; false when it does not answer. */
  async exchange(name: string): Promise<boolean> {
    const member = this.#options.table.get(name);
    if (!member) return true;
    const { endpoint } = member.state;
    const timeout = EXCHANGE_TIMEOUT_MS * this.patience;
    const heard = await this.#options.gossip.exchange(name, endpoint, timeout);
    if (heard) this.#decaySlowness();
    return heard;
  }

  /** Whether another member reaches this one; when nobody can be asked, a second probe decides. */
  async reachedByOthers(name: string): Promise<boolean> {
    const helpers = shuffle(this.#options.helpers(name))
      .slice(0, INDIRECT_PROBES);
    if (helpers.length === 0) return await this.exchange(name);
    const answers = helpers.map((helper) => this.#ask(helper, name));
    if (await anyTrue(answers)) return true;
    const given = await Promise.all(answers);
    if (given.every((answer) => answer === undefined)) this.noteSlowness();
    return false;
  }

  #decaySlowness(): void {
    const now = performance.now();
    if (now - this.#slownessAt < SLOWNESS_DECAY_MS) return;
    this.#slowness = Math.max(0, this.#slowness - 1);
    this.#slownessAt = now;
  }

  async #ask(helper: string, name: string): Promise<boolean | undefined> {
    const { table, peers } = this.#options;
    const endpoint = table.get(helper)?.state.endpoint ?? "";
    const timeout = INDIRECT_TIMEOUT_MS * this.patience;
    const answer = await peers.call(endpoint, probe, { name }, timeout);
    return answer.unwrapOr(undefined);
  }

  async #reaches(name: string): Promise<boolean> {
    const member = this.#options.table.get(name);
    if (!member || member.liveness === "gone") return false;
    return await this.exchange(name);
  }
}

/** Resolves with true as soon as one answer is true, else with false. */
async function anyTrue(
  answers: readonly Promise<boolean | undefined>[],
): Promise<boolean> {
  const wanted = answers.map(async (answer) => {
    if (await answer) return true;
    throw new Error("not true");
  });
  return await Promise.any(wanted).catch(() => false);
}
