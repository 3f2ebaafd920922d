/**
 * Status rounds among the instances of a group, for a proxy that the store
 * does not answer. A promotion pauses all other instances of the group before
 * it is ordered, so one of them that is not paused shows that none has begun.
 *
 * @module
 */
import type { Result } from "neverthrow";
import { sleep } from "../../utils/sleep.ts";
import { type EventLog, Events } from "../../kernel/events.ts";
import { type LinkProvider, withLink } from "../connections/upstream_pools.ts";
import type { InstanceDirectory } from "../deployment/instance_directory.ts";
import type { LinkStatus } from "../upstream/link.ts";
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
  readonly pools: LinkProvider;
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
    deadline: number,
  ): Promise<boolean> {
    const rounds = this.#groups.get(group) ?? { begunAt: -Infinity };
    this.#groups.set(group, rounds);
    // A round under way may have been answered before the caller's own answer came.
    rounds.next ??= this.#begin(rounds, group, leader);
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
  ): Promise<boolean> {
    await rounds.running;
    const early = rounds.begunAt + ROUND_INTERVAL_MS - performance.now();
    if (early > 0) await sleep(early);
    rounds.next = undefined;
    rounds.begunAt = performance.now();
    const running = this.#round(group, leader);
    rounds.running = running;
    return await running;
  }

  /**
   * The leader must say that it leads, and every other instance that it follows
   * a term no later and is not paused. One that was not heard may be the new
   * primary; one that has heard of no promotion proves nothing alone, since a
   * promotion ends its pause before its new primary reaches it.
   */
  async #round(group: string, leader: Leader): Promise<boolean> {
    const instances = this.#options.directory.group(group);
    const deadline = performance.now() + ROUND_TIMEOUT_MS;
    const answers = await Promise.all(
      instances.map(({ id }) => this.#ask(id, deadline)),
    );
    const statuses = answers.map((status) => status.unwrapOr(undefined));
    const own =
      statuses[instances.findIndex(({ id }) => id === leader.instance)];
    const others = statuses.filter((status) => status !== own);
    const confirmed = own?.role === "primary" && others.length > 0 &&
      others.every((status) =>
        status?.role === "replica" && status.term <= own.term &&
        status.pausedAt <= own.term
      );
    this.#options.log.write(Events.LEADER_ROUND, {
      group,
      leader: leader.instance,
      answers: instances.map(({ id }, index) => {
        const status = statuses[index];
        if (!status) return `${id} none`;
        return `${id} ${status.role} ${status.term} paused ${status.pausedAt}`;
      }),
      confirmed,
    });
    return confirmed;
  }

  #ask(
    id: string,
    deadline: number,
  ): Promise<Result<LinkStatus, { readonly reason: string }>> {
    return withLink(
      this.#options.pools,
      id,
      deadline,
      (link) => link.status(deadline),
    );
  }
}
