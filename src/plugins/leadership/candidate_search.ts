/**
 * The requests that a change of primary sends to the group's instances: it pauses
 * their replication, reads their log positions, and resumes replication
 * afterwards.
 *
 * @module
 */
import type { Result } from "neverthrow";
import { clock } from "../../kernel/clock.ts";
import { type EventLog, Events } from "../../kernel/events.ts";
import { sleep } from "../../utils/sleep.ts";
import { type LinkProvider, withLink } from "../connections/link_pools.ts";
import type {
  InstanceDirectory,
  ListedInstance,
} from "../deployment/instance_directory.ts";
import type { LinkResult, LinkStatus, UpstreamLink } from "../upstream/link.ts";
import { comparePositions, formatPosition } from "../upstream/position.ts";

/** Timeout of one status, pause, resume or step-down request, in ms. */
const STATUS_TIMEOUT_MS = 500;

/**
 * Longest wait for the old primary to step down, in ms: a crossing between
 * regions, opening a connection and a short queue.
 */
const STEP_DOWN_TIMEOUT_MS = 150;

/** Longest wait for a candidate of a planned change to receive the rest of the log, in ms. */
const CATCH_UP_TIMEOUT_MS = 1_500;

/** Longest wait for a candidate before a planned change begins, in ms: replicas receive a commit within a crossing between regions. */
const READY_TIMEOUT_MS = 150;

/** Number of attempts to resume a replica, each after the time of one request. */
const RESUME_ATTEMPT_COUNT = 4;

/** Polling interval while a change waits for a condition, in ms. */
export const POLL_INTERVAL_MS = 40;

/** Dependencies of a candidate search. */
export interface CandidateSearchOptions {
  readonly group: string;
  readonly directory: InstanceDirectory;
  readonly pools: LinkProvider;
  readonly log: EventLog;
}

/** An instance that may become the primary. */
export interface Candidate {
  readonly id: string;
  readonly status: LinkStatus;
}

/** The change of primary for which candidates are searched. */
export interface Handover {
  /** The old primary. */
  readonly primary: string;
  /** Term of the new primary. */
  readonly term: number;
  /** Whether the old primary is alive, so that replicas can catch up with its log first. */
  readonly planned: boolean;
  /** Whether the old primary is asked to step down, because some proxies may still use it. */
  readonly fencesPrimary: boolean;
  /** Whether all listed instances have to answer, because one of them alone may have a commit that was acknowledged. */
  readonly hearsAll: boolean;
  /** Whether the change may go on. */
  readonly mayContinue: () => boolean;
}

/** What the instances of a group say. */
export interface Survey {
  /** The instance that leads under the highest term; undefined if none does. */
  readonly primary: Candidate | undefined;
  /** Highest term; 0 if no instance answered. */
  readonly term: number;
}

/** Finds the candidates of one group for one change of primary. */
export class CandidateSearch {
  readonly #options: CandidateSearchOptions;
  /** Instances that were asked to pause; one that did not answer may have paused as well. */
  #paused: readonly string[] = [];

  #formerPrimary: Candidate | undefined;

  constructor(options: CandidateSearchOptions) {
    this.#options = options;
  }

  /** Asks the instances which of them leads, and for the highest term of a log or a lead; `except` is not asked. */
  async survey(except?: string): Promise<Survey> {
    const { group, directory } = this.#options;
    const asked = directory.group(group).filter(({ id }) => id !== except);
    const answers = await Promise.all(asked.map(async (instance) => {
      const status = await this.status(instance);
      return status.isOk() ? [{ id: instance.id, status: status.value }] : [];
    }));
    const found = answers.flat();
    const term = Math.max(0, ...found.map(({ status }) => status.term));
    const primary = found.find(({ status }) =>
      status.role === "primary" && status.term === term
    );
    return { primary, term };
  }

  /** Whether a planned change would lose nothing now: a replica that is not leaving has received what the primary has. */
  isReady(primary: string | undefined): Promise<boolean> {
    const { group, directory } = this.#options;
    const others = directory.group(group).filter(({ id }) => id !== primary);
    return this.#waitForCatchUp(primary, others, READY_TIMEOUT_MS);
  }

  /**
   * Pauses the other instances and returns those that answered, the most
   * advanced log first, and among equal logs an instance that is not leaving.
   * Returns none for a planned change that would lose a commit.
   */
  async find(handover: Handover): Promise<readonly Candidate[]> {
    const { primary, term, planned, fencesPrimary } = handover;
    const { group, directory, log } = this.#options;
    const others = directory.group(group).filter(({ id }) => id !== primary);
    const isCaughtUp = !planned ||
      await this.#waitForCatchUp(primary, others, CATCH_UP_TIMEOUT_MS);
    if (!isCaughtUp) return [];
    const stepDown = fencesPrimary ? this.#stepDown(primary, term) : undefined;
    const candidates = await this.#pauseAll(handover, others);
    // A reachable primary answers within this time; an unreachable one must not delay the change.
    if (stepDown) await Promise.race([stepDown, sleep(STEP_DOWN_TIMEOUT_MS)]);
    log.write(Events.CANDIDATES_FOUND, {
      group,
      asked: others.length,
      fencesPrimary,
      candidates: candidates.map(({ id, status }) =>
        `${id} ${status.role} ${formatPosition(status.received)}`
      ),
    });
    return candidates;
  }

  /**
   * Pauses instances. Where commits wait for replicas, a listed one that doesn't
   * answer may be the only one to have a commit, so it is asked until it answers
   * or is no longer listed, or the change may not go on.
   */
  async #pauseAll(
    { term, hearsAll, mayContinue }: Handover,
    others: readonly ListedInstance[],
  ): Promise<readonly Candidate[]> {
    const { directory } = this.#options;
    this.#paused = others.map(({ id }) => id);
    const found = new Map<string, Candidate & { readonly leaving: boolean }>();
    for (;;) {
      const unheard = others.filter(({ id }) =>
        !found.has(id) && directory.get(id) !== undefined
      );
      await Promise.all(unheard.map(async (instance) => {
        const { id, leaving } = instance;
        const status = await this.#request(
          instance,
          (link, at) => link.pause(term, at),
        );
        if (status.isOk()) found.set(id, { id, status: status.value, leaving });
      }));
      const isComplete = unheard.every(({ id }) => found.has(id));
      if (!hearsAll || isComplete || !mayContinue()) break;
      await sleep(POLL_INTERVAL_MS);
    }
    return [...found.values()].sort((a, b) =>
      comparePositions(b.status.received, a.status.received) ||
      Number(a.leaving) - Number(b.leaving)
    );
  }

  /** The old primary once it has stepped down, so that it leads no more. */
  get formerPrimary(): Candidate | undefined {
    return this.#formerPrimary;
  }

  /** Reads the role and the log position of an instance. */
  status(
    instance: ListedInstance,
  ): Promise<Result<LinkStatus, { readonly reason: string }>> {
    return this.#request(instance, (link, at) => link.status(at));
  }

  /** Resumes replication on the paused replicas, except on the promoted one. */
  async resume(promoted?: string): Promise<void> {
    const paused = this.#paused.filter((id) => id !== promoted);
    await Promise.all(paused.map((id) => this.#resume(id)));
  }

  async #resume(id: string): Promise<void> {
    const { group, directory, log } = this.#options;
    for (let attempt = 1; attempt <= RESUME_ATTEMPT_COUNT; attempt += 1) {
      const instance = directory.get(id);
      if (!instance) return;
      const status = await this.#request(
        instance,
        (link, at) => link.resume(at),
      );
      log.write(Events.FOLLOW_ORDERED, {
        group,
        instance: id,
        attempt,
        outcome: status.isOk() ? "done" : status.error.reason,
      });
      if (status.isOk()) return;
      await sleep(STATUS_TIMEOUT_MS);
    }
  }

  /**
   * Waits until a replica that is not leaving has received the primary's whole
   * log; returns whether one has, the primary doesn't tell what it has, or
   * another instance leads already.
   */
  async #waitForCatchUp(
    primary: string | undefined,
    others: readonly ListedInstance[],
    timeout: number,
  ): Promise<boolean> {
    const leader = primary && this.#options.directory.get(primary);
    if (!leader) return true;
    const leaderStatus = await this.status(leader);
    if (leaderStatus.isErr()) return true;
    const { received, term } = leaderStatus.value;
    const until = clock.now() + timeout;
    while (clock.now() < until) {
      const answers = await Promise.all(
        others.map((instance) => this.status(instance)),
      );
      const isReady = answers.some((status, index) => {
        if (status.isErr()) return false;
        const leads = status.value.role === "primary" &&
          status.value.term > term;
        const isCaughtUp = !others[index]!.leaving &&
          comparePositions(status.value.received, received) >= 0;
        return leads || isCaughtUp;
      });
      if (isReady) return true;
      await sleep(POLL_INTERVAL_MS);
    }
    return false;
  }

  /** Asks the old primary to step down, in case it is still alive. */
  async #stepDown(primary: string, term: number): Promise<void> {
    const { group, directory, log } = this.#options;
    const instance = directory.get(primary);
    if (!instance) return;
    const status = await this.#request(
      instance,
      (link, at) => link.stepDown(term, at),
    );
    if (status.isOk() && status.value.role === "replica") {
      this.#formerPrimary = { id: primary, status: status.value };
    }
    log.write(Events.FENCED, {
      group,
      instance: primary,
      term,
      outcome: status.isOk() ? status.value.role : status.error.reason,
    });
  }

  async #request(
    instance: ListedInstance,
    send: (link: UpstreamLink, deadline: number) => LinkResult<LinkStatus>,
  ): Promise<Result<LinkStatus, { readonly reason: string }>> {
    const deadline = clock.now() + STATUS_TIMEOUT_MS;
    return await withLink(
      this.#options.pools,
      instance.id,
      deadline,
      (link) => send(link, deadline),
    );
  }
}
