/**
 * Direct and indirect probes of members. A process with signs of being slow
 * itself uses longer timeouts before it suspects other members; otherwise the
 * processes on an overloaded host would suspect each other.
 *
 * @module
 */
import { clock } from "../../kernel/clock.ts";
import type { Peers } from "../peers/peers.ts";
import type { Gossip } from "./gossip.ts";
import type { MemberTable } from "./member_table.ts";
import { probe } from "./procedures.ts";
import { shuffle } from "./shuffle.ts";

const EXCHANGE_TIMEOUT_MS = 300;
const INDIRECT_PROBE_TIMEOUT_MS = 500;
const INDIRECT_PROBE_COUNT = 3;
const MAX_SLOWNESS = 4;
/** Time without a sign of slowness after which the slowness decreases by one. */
const SLOWNESS_DECAY_MS = 2_000;

/** Options of the prober. */
export interface ProberOptions {
  readonly peers: Peers;
  readonly table: MemberTable;
  readonly gossip: Gossip;
  /** Names of the members that may probe the named member on behalf of this one. */
  readonly helpers: (name: string) => readonly string[];
}

/** Probes members directly and indirectly. */
export class Prober {
  readonly #options: ProberOptions;
  #slowness = 0;
  #slownessChangedAt = -Infinity;

  constructor(options: ProberOptions) {
    this.#options = options;
  }

  /** Factor by which timeouts are multiplied; 1 for a process without signs of slowness. */
  get timeoutMultiplier(): number {
    return 1 + this.#slowness;
  }

  /** Registers the handler of indirect probes. */
  serve(): void {
    this.#options.peers.serve(probe, ({ name }) => this.#handleProbe(name));
  }

  /** Records a sign that this process, rather than another member, is slow. */
  recordSlowness(): void {
    this.#slowness = Math.min(this.#slowness + 1, MAX_SLOWNESS);
    this.#slownessChangedAt = clock.now();
  }

  /** Probes a member by an exchange of updates; resolves with false if the member does not answer. */
  async exchange(name: string): Promise<boolean> {
    const member = this.#options.table.get(name);
    if (!member) return true;
    const { endpoint } = member.state;
    const timeoutMs = EXCHANGE_TIMEOUT_MS * this.timeoutMultiplier;
    const answered = await this.#options.gossip.exchange(
      name,
      endpoint,
      timeoutMs,
    );
    if (answered) this.#decreaseSlowness();
    return answered;
  }

  /** Whether another member can reach the named one. Without members to ask, a second direct probe decides. */
  async probeIndirectly(name: string): Promise<boolean> {
    const helpers = shuffle(this.#options.helpers(name))
      .slice(0, INDIRECT_PROBE_COUNT);
    if (helpers.length === 0) return await this.exchange(name);
    const requests = helpers.map((helper) => this.#requestProbe(helper, name));
    if (await anyTrue(requests)) return true;
    const results = await Promise.all(requests);
    if (results.every((result) => result === undefined)) this.recordSlowness();
    return false;
  }

  #decreaseSlowness(): void {
    const now = clock.now();
    if (now - this.#slownessChangedAt < SLOWNESS_DECAY_MS) return;
    this.#slowness = Math.max(0, this.#slowness - 1);
    this.#slownessChangedAt = now;
  }

  async #requestProbe(
    helper: string,
    name: string,
  ): Promise<boolean | undefined> {
    const { table, peers } = this.#options;
    const endpoint = table.get(helper)?.state.endpoint ?? "";
    const timeoutMs = INDIRECT_PROBE_TIMEOUT_MS * this.timeoutMultiplier;
    const answer = await peers.call(endpoint, probe, { name }, timeoutMs);
    return answer.unwrapOr(undefined);
  }

  async #handleProbe(name: string): Promise<boolean> {
    const member = this.#options.table.get(name);
    if (!member || member.liveness === "gone") return false;
    return await this.exchange(name);
  }
}

/** Resolves with true as soon as any answer is true, otherwise with false. */
async function anyTrue(
  answers: readonly Promise<boolean | undefined>[],
): Promise<boolean> {
  const successes = answers.map(async (answer) => {
    if (await answer) return true;
    throw new Error("not true");
  });
  return await Promise.any(successes).catch(() => false);
}
