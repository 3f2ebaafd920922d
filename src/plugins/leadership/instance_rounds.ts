/**
 * Status rounds among the instances of a group, for a proxy that cannot reach
 * the store. All other instances of the group are paused before a promotion is
 * ordered, so an instance that is not paused shows that no promotion has begun.
 *
 * @module
 */
import type { Result } from "neverthrow";
import { sleep } from "../../utils/sleep.ts";
import { clock } from "../../kernel/clock.ts";
import { type EventLog, Events } from "../../kernel/events.ts";
import { type LinkProvider, withLink } from "../connections/link_pools.ts";
import type { InstanceDirectory } from "../deployment/instance_directory.ts";
import type { LinkStatus } from "../upstream/link.ts";
import type { Leader, StatusRounds } from "./group_leadership.ts";

/**
 * Minimum interval between the starts of two rounds of a group, in ms; limits
 * the connection slots that rounds occupy.
 */
const ROUND_INTERVAL_MS = 60;

/** Timeout of one round, in ms: two crossings between regions and a short queue. */
const ROUND_TIMEOUT_MS = 400;

interface GroupRounds {
  running?: Promise<boolean>;
  next?: Promise<boolean>;
  startedAt: number;
}

/** Dependencies of the status rounds. */
export interface InstanceRoundsOptions {
  readonly directory: InstanceDirectory;
  readonly pools: LinkProvider;
  readonly log: EventLog;
}

/** Runs status rounds for all groups; concurrent requests share the next round of their group. */
export class InstanceRounds implements StatusRounds {
  readonly #options: InstanceRoundsOptions;
  readonly #groups = new Map<string, GroupRounds>();

  constructor(options: InstanceRoundsOptions) {
    this.#options = options;
  }

  async confirm(
    group: string,
    leader: Leader,
    deadline: number,
  ): Promise<boolean> {
    const rounds = this.#groups.get(group) ?? { startedAt: -Infinity };
    this.#groups.set(group, rounds);
    // A round in progress may have been answered before the answer to be confirmed arrived.
    rounds.next ??= this.#startRound(rounds, group, leader);
    const outcome = rounds.next;
    const timeout = new Promise<boolean>((resolve) => {
      setTimeout(
        () => resolve(false),
        Math.max(1, deadline - clock.now()),
      );
    });
    return await Promise.race([outcome, timeout]);
  }

  async #startRound(
    rounds: GroupRounds,
    group: string,
    leader: Leader,
  ): Promise<boolean> {
    await rounds.running;
    const delay = rounds.startedAt + ROUND_INTERVAL_MS - clock.now();
    if (delay > 0) await sleep(delay);
    rounds.next = undefined;
    rounds.startedAt = clock.now();
    const running = this.#runRound(group, leader);
    rounds.running = running;
    return await running;
  }

  /**
   * Confirms the leader if it reports the primary role and every other instance
   * reports that it is a replica of no later term and is not paused. Every
   * instance must answer: a silent one may be the new primary. A single unpaused
   * replica is not enough, since a promotion ends its pause before the new
   * primary reaches it.
   */
  async #runRound(group: string, leader: Leader): Promise<boolean> {
    const instances = this.#options.directory.group(group);
    const deadline = clock.now() + ROUND_TIMEOUT_MS;
    const answers = await Promise.all(
      instances.map(({ id }) => this.#requestStatus(id, deadline)),
    );
    const statuses = answers.map((status) => status.unwrapOr(undefined));
    const leaderStatus =
      statuses[instances.findIndex(({ id }) => id === leader.instance)];
    const others = statuses.filter((status) => status !== leaderStatus);
    const confirmed = leaderStatus?.role === "primary" && others.length > 0 &&
      others.every((status) =>
        status?.role === "replica" && status.term <= leaderStatus.term &&
        status.pausedAt <= leaderStatus.term
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

  #requestStatus(
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
