/**
 * What a change of primary asks of the group's instances: how far their logs
 * are, to pause while proxies were not heard, and to receive again afterwards.
 *
 * @module
 */
import type { Result } from "neverthrow";
import { type EventLog, Events } from "../../kernel/events.ts";
import { sleep } from "../../utils/sleep.ts";
import { type LinkProvider, withLink } from "../connections/upstream_pools.ts";
import type {
  InstanceDirectory,
  ListedInstance,
} from "../deployment/instance_directory.ts";
import type { LinkResult, LinkStatus, UpstreamLink } from "../upstream/link.ts";
import { comparePositions, formatPosition } from "../upstream/position.ts";

/** Time for one status, pause or step-down, in ms. */
const STATUS_TIMEOUT_MS = 500;

/** How long the step-down of the old primary is waited for, in ms: a crossing between regions, an opening and a short queue. */
const STEP_DOWN_PATIENCE_MS = 150;

/** How long a candidate of a planned change may take to receive the rest of the log, in ms. */
const CATCH_UP_MS = 1_500;

/** Pause between two looks at what is waited for, in ms. */
export const POLL_MS = 40;

/** What a search is made with. */
export interface CandidateSearchOptions {
  readonly group: string;
  readonly directory: InstanceDirectory;
  readonly pools: LinkProvider;
  readonly log: EventLog;
}

/** An instance that may take over. */
export interface Candidate {
  readonly id: string;
  readonly status: LinkStatus;
}

/** The change that candidates are wanted for. */
export interface Handover {
  /** The old primary. */
  readonly primary: string;
  /** Term of the new one. */
  readonly term: number;
  /** The old primary lives, so that its log can be waited for. */
  readonly planned: boolean;
  /** Whether the others are told to receive nothing more, and the old primary to step down. */
  readonly pausing: boolean;
}

/** Asks the instances of one group for one change. */
export class CandidateSearch {
  readonly #options: CandidateSearchOptions;
  readonly #paused: string[] = [];

  constructor(options: CandidateSearchOptions) {
    this.#options = options;
  }

  /** The instances that may take over, the one with the furthest log first. */
  async find(handover: Handover): Promise<readonly Candidate[]> {
    const { primary, term, pausing } = handover;
    const { group, directory, log } = this.#options;
    const others = directory.group(group).filter(({ id }) => id !== primary);
    if (handover.planned) await this.#waitForCatchUp(primary, others);
    const stepDown = pausing ? this.#stepDown(primary, term) : undefined;
    const answers = await Promise.all(others.map(async (instance) => {
      const status = pausing
        ? await this.#ask(instance, (link, at) => link.pause(term, at))
        : await this.status(instance);
      if (pausing && status.isOk()) this.#paused.push(instance.id);
      return { instance, status };
    }));
    // A primary that can be reached answers within this; one that is dark is not waited for.
    if (stepDown) await Promise.race([stepDown, sleep(STEP_DOWN_PATIENCE_MS)]);
    const heard = answers.flatMap(({ instance, status }) =>
      status.isOk()
        ? [{ id: instance.id, status: status.value, leaving: instance.leaving }]
        : []
    );
    heard.sort((a, b) => {
      if (a.leaving !== b.leaving) return a.leaving ? 1 : -1;
      return comparePositions(b.status.received, a.status.received);
    });
    log.write(Events.CANDIDATES_FOUND, {
      group,
      asked: others.length,
      pausing,
      candidates: heard.map(({ id, status }) =>
        `${id} ${status.role} ${formatPosition(status.received)}`
      ),
    });
    return heard;
  }

  /** Role and log of an instance. */
  status(
    instance: ListedInstance,
  ): Promise<Result<LinkStatus, { readonly reason: string }>> {
    return this.#ask(instance, (link, at) => link.status(at));
  }

  /** Lets the paused replicas receive again, but for the one that was promoted. */
  async resume(promoted?: string): Promise<void> {
    const { group, directory, log } = this.#options;
    const paused = this.#paused.filter((id) => id !== promoted);
    await Promise.all(paused.map(async (id) => {
      const instance = directory.get(id);
      if (!instance) return;
      const status = await this.#ask(instance, (link, at) => link.resume(at));
      log.write(Events.FOLLOW_ORDERED, {
        group,
        instance: id,
        outcome: status.isOk() ? "done" : status.error.reason,
      });
    }));
  }

  /** Waits until some replica holds all that the primary has, so that a planned change loses nothing. */
  async #waitForCatchUp(
    primary: string,
    others: readonly ListedInstance[],
  ): Promise<void> {
    const leader = this.#options.directory.get(primary);
    if (!leader) return;
    const end = await this.status(leader);
    if (end.isErr()) return;
    const until = performance.now() + CATCH_UP_MS;
    const usable = others.filter(({ leaving }) => !leaving);
    while (performance.now() < until) {
      const answers = await Promise.all(
        usable.map((instance) => this.status(instance)),
      );
      const isCaughtUp = answers.some((status) =>
        status.isOk() &&
        comparePositions(status.value.received, end.value.received) >= 0
      );
      if (isCaughtUp) return;
      await sleep(POLL_MS);
    }
  }

  /** Asks the old primary to step down, should it live after all. */
  async #stepDown(primary: string, term: number): Promise<void> {
    const { group, directory, log } = this.#options;
    const instance = directory.get(primary);
    if (!instance) return;
    const status = await this.#ask(
      instance,
      (link, at) => link.stepDown(term, at),
    );
    log.write(Events.FENCED, {
      group,
      instance: primary,
      term,
      outcome: status.isOk() ? status.value.role : status.error.reason,
    });
  }

  async #ask(
    instance: ListedInstance,
    work: (link: UpstreamLink, deadline: number) => LinkResult<LinkStatus>,
  ): Promise<Result<LinkStatus, { readonly reason: string }>> {
    const deadline = performance.now() + STATUS_TIMEOUT_MS;
    return await withLink(
      this.#options.pools,
      instance.id,
      deadline,
      (link) => work(link, deadline),
    );
  }
}
