/**
 * Status rounds among the instances of a group, for a proxy that the store
 * does not answer. A promotion pauses all other instances of the group before
 * it is ordered, so one of them that is not paused shows that none has begun.
 *
 * @module
 */
import { type EventLog, Events } from "../../kernel/events.ts";
import { type LinkLender, withLink } from "../connections/upstream_pools.ts";
import type { InstanceDirectory } from "../deployment/instance_directory.ts";
import type { Leader, StatusRounds } from "./group_leadership.ts";

/** Least time between the beginnings of two rounds of a group, in ms; bounds the slots that rounds take. */
const ROUND_INTERVAL_MS = 60;

/** Longest time for one round, in ms: two crossings between regions and a short queue. */
const ROUND_TIMEOUT_MS = 400;

interface Rounds {
  running?: Promise<boolean>;
  next?: Promise<boolean>;
  begunAt: number;
}

/** What the rounds are made with. */
export interface InstanceRoundsOptions {
  readonly directory: InstanceDirectory;
  readonly pools: LinkLender;
  readonly log: EventLog;
}

/** Rounds of all groups; callers that wait share the next one. */
export class InstanceRounds implements StatusRounds {
  readonly #options: InstanceRoundsOptions;
  readonly #groups = new Map<string, Rounds>();

  constructor(options: InstanceRoundsOptions) {
    this.#options = options;
  }

  async confirm(
    group: string,
    leader: Leader,
    term: number,
    deadline: number,
  ): Promise<boolean> {
    const rounds = this.#groups.get(group) ?? { begunAt: -Infinity };
    this.#groups.set(group, rounds);
    // A round under way may have been answered before the caller's own answer came.
    rounds.next ??= this.#begin(rounds, group, leader, term);
    const outcome = rounds.next;
    const timeout = new Promise<boolean>((resolve) => {
      setTimeout(
        () => resolve(false),
        Math.max(1, deadline - performance.now()),
      );
    });
    return await Promise.race([outcome, timeout]);
  }

  async #begin(
    rounds: Rounds,
    group: string,
    leader: Leader,
    term: number,
  ): Promise<boolean> {
    await rounds.running;
    const pause = rounds.begunAt + ROUND_INTERVAL_MS - performance.now();
    if (pause > 0) await new Promise((resolve) => setTimeout(resolve, pause));
    rounds.next = undefined;
    rounds.begunAt = performance.now();
    const running = this.#round(group, leader, term);
    rounds.running = running;
    return await running;
  }

  async #round(group: string, leader: Leader, term: number): Promise<boolean> {
    const others = this.#options.directory.group(group)
      .filter(({ id }) => id !== leader.instance);
    const deadline = performance.now() + ROUND_TIMEOUT_MS;
    const answers = others.map(({ id }) => this.#ask(id, term, deadline));
    const confirmed = await firstTrue(answers);
    this.#options.log.write(Events.LEADER_ROUND, {
      group,
      leader: leader.instance,
      term,
      asked: others.length,
      confirmed,
    });
    return confirmed;
  }

  async #ask(id: string, term: number, deadline: number): Promise<boolean> {
    const status = await withLink(
      this.#options.pools,
      id,
      deadline,
      (link) => link.status(deadline),
    );
    if (status.isErr()) return false;
    const { pausedAt, role } = status.value;
    return role === "replica" && status.value.term <= term && pausedAt <= term;
  }
}

/** Resolves true with the first of the promises that does, false when none does. */
function firstTrue(answers: readonly Promise<boolean>[]): Promise<boolean> {
  return new Promise((resolve) => {
    for (const answer of answers) {
      void answer.then((value) => value && resolve(true));
    }
    void Promise.all(answers).then(() => resolve(false));
  });
}
