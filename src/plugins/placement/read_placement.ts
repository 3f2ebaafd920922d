/**
 * Chooses the instance on which a read runs. Designed for many short reads with
 * few connection slots per instance, replicas whose lag exceeds the allowed age,
 * instances that are gone but still listed, and slow, expensive links between
 * regions.
 *
 * @module
 */
import { clock } from "../../kernel/clock.ts";
import type { LinkPools } from "../connections/link_pools.ts";
import type {
  InstanceDirectory,
  ListedInstance,
} from "../deployment/instance_directory.ts";
import type { ProxyLocation } from "../deployment/proxy_location.ts";
import type { PrimarySamples } from "../freshness/primary_samples.ts";
import { comparePositions, type Position } from "../upstream/position.ts";

/** Cost of another availability zone in the same region, as equivalent waiting time in ms. */
const ZONE_COST_MS = 4;

/** Cost of another region, as equivalent waiting time in ms: the round trip and the price of traffic. */
const REGION_COST_MS = 60;

/**
 * Cost of the primary, as equivalent waiting time in ms; its slots are reserved
 * for work that only it can do.
 */
const PRIMARY_COST_MS = 30;

/**
 * Cost of each outstanding statement of this proxy at the instance, in ms: the
 * duration of a typical read divided by the slots.
 */
const OUTSTANDING_COST_MS = 8;

/** A replica that is expected to need longer than this to reach a position, in ms, is skipped. */
const CATCH_UP_LIMIT_MS = 400;

/**
 * A replica that is skipped for its lag receives one trial read after this
 * time, in ms, since only an answer shows that it has caught up.
 */
const LAG_TRIAL_MS = 400;

/** Weight of a new answer in the moving average of the lag. */
const LAG_WEIGHT = 0.2;

/**
 * An answer with a lag below this fraction of the average replaces the average;
 * normal variation of a replica stays above it.
 */
const LAG_RECOVERY_RATIO = 0.3;

/** Added to the expected lag of a replica that lacked a position, in ms. */
const LAG_STEP_MS = 15;

/**
 * Initial time for which an instance is skipped after a failed read, in ms;
 * doubled after each further failure.
 */
const FAILURE_PAUSE_MS = 250;
const FAILURE_PAUSE_MAX_MS = 2_000;

interface Observation {
  /** Last position that the instance's data included. */
  position?: Position;
  /** Moving average of the time by which its data are behind the primary, in ms. */
  lag: number;
  /** Monotonic ms at which the lag was last measured, or a trial read was sent to measure it. */
  lagSeenAt: number;
  failurePause: number;
  avoidUntil: number;
}

/** Requirements of a read. */
export interface PlacementRequest {
  readonly group: string;
  readonly position: Position;
  readonly samples: PrimarySamples;
  /** The primary, listed among the instances. */
  readonly primary: string | undefined;
  /** Whether the primary may be used now. */
  readonly primaryUsable: boolean;
  readonly excluded: ReadonlySet<string>;
}

/** The chosen instance and the wait before the read is sent. */
export interface Placement {
  readonly instance: string;
  /** Expected time until the instance reaches the position, in ms. */
  readonly wait: number;
}

/** Chooses instances by distance, load and lag. */
export class ReadPlacement {
  readonly #directory: Pick<InstanceDirectory, "group">;
  readonly #pools: Pick<LinkPools, "outstanding">;
  readonly #location: ProxyLocation;
  readonly #observations = new Map<string, Observation>();

  constructor(
    directory: Pick<InstanceDirectory, "group">,
    pools: Pick<LinkPools, "outstanding">,
    location: ProxyLocation,
  ) {
    this.#directory = directory;
    this.#pools = pools;
    this.#location = location;
  }

  /** Returns the instance with the lowest cost; undefined if none may be tried now. */
  choose(
    request: PlacementRequest,
    now = clock.now(),
  ): Placement | undefined {
    let best: Placement | undefined;
    let bestCost = Infinity;
    for (const instance of this.#directory.group(request.group)) {
      if (!this.#isUsable(instance, request, now)) continue;
      const wait = this.#expectedWait(instance.id, request, now);
      if (wait > CATCH_UP_LIMIT_MS) continue;
      const cost = this.#cost(instance, request) + wait;
      if (cost >= bestCost) continue;
      best = { instance: instance.id, wait };
      bestCost = cost;
    }
    if (best) this.#recordTrial(best.instance, now);
    return best;
  }

  /**
   * Records a trial read on an instance that failed or lagged; other reads skip
   * it until the trial is answered or its interval has passed.
   */
  #recordTrial(id: string, now: number): void {
    const observation = this.#observations.get(id);
    if (!observation) return;
    if (now - observation.lagSeenAt > LAG_TRIAL_MS) observation.lagSeenAt = now;
    if (observation.avoidUntil === -Infinity) return;
    observation.avoidUntil = now + observation.failurePause;
  }

  /** Records an answer and the position that its data included. */
  recordAnswer(
    id: string,
    position: Position | undefined,
    samples: PrimarySamples,
    now = clock.now(),
  ): void {
    const observation = this.#observation(id);
    observation.failurePause = FAILURE_PAUSE_MS;
    observation.avoidUntil = -Infinity;
    if (!position) return;
    observation.position = position;
    observation.lagSeenAt = now;
    const passedAt = samples.passedAt(position);
    const lag = passedAt === undefined ? 0 : now - passedAt;
    const hasRecovered = lag < LAG_RECOVERY_RATIO * observation.lag;
    const weight = hasRecovered ? 1 : LAG_WEIGHT;
    observation.lag += weight * (lag - observation.lag);
  }

  /** Records that the instance's data lacked a position, and the position that they included. */
  recordLag(
    id: string,
    position: Position,
    dataPosition: Position | undefined,
    samples: PrimarySamples,
    now = clock.now(),
  ): void {
    const observation = this.#observation(id);
    const reachedAt = dataPosition
      ? samples.passedAt(dataPosition) ?? now
      : samples.reachedAt(position);
    const currentLag = reachedAt === Infinity ? 0 : now - reachedAt;
    observation.position = dataPosition;
    observation.lagSeenAt = now;
    observation.lag = Math.max(observation.lag, currentLag) + LAG_STEP_MS;
  }

  /** Records that the instance was unreachable, failed or did not answer. */
  recordFailure(id: string, now = clock.now()): void {
    const observation = this.#observation(id);
    observation.avoidUntil = now + observation.failurePause;
    observation.failurePause = Math.min(
      FAILURE_PAUSE_MAX_MS,
      2 * observation.failurePause,
    );
  }

  #isUsable(
    instance: ListedInstance,
    request: PlacementRequest,
    now: number,
  ): boolean {
    if (request.excluded.has(instance.id)) return false;
    if (instance.id === request.primary) return request.primaryUsable;
    if (instance.leaving) return false;
    const avoidUntil = this.#observations.get(instance.id)?.avoidUntil;
    return avoidUntil === undefined || avoidUntil <= now;
  }

  /** Expected wait before a read, in ms; 0 for a trial read that measures the replica's lag. */
  #expectedWait(id: string, request: PlacementRequest, now: number): number {
    const wait = this.#catchUpTime(id, request, now);
    if (wait <= CATCH_UP_LIMIT_MS) return wait;
    const seenAt = this.#observations.get(id)?.lagSeenAt ?? -Infinity;
    return now - seenAt > LAG_TRIAL_MS ? 0 : wait;
  }

  /** Expected time until a replica reaches the position, in ms. */
  #catchUpTime(id: string, request: PlacementRequest, now: number): number {
    if (id === request.primary) return 0;
    const { position, samples } = request;
    const observation = this.#observations.get(id);
    if (!observation) return 0;
    const { position: dataPosition, lag } = observation;
    if (dataPosition && comparePositions(dataPosition, position) >= 0) return 0;
    const reachedAt = samples.reachedAt(position);
    // A position beyond all samples belongs to a recent write of the session itself.
    const since = reachedAt === Infinity ? now : reachedAt;
    return Math.max(0, since + lag - now);
  }

  #cost(instance: ListedInstance, request: PlacementRequest): number {
    const cost = this.#distance(instance.zone) +
      OUTSTANDING_COST_MS * this.#pools.outstanding(instance.id);
    return instance.id === request.primary ? cost + PRIMARY_COST_MS : cost;
  }

  #distance(zone: string): number {
    if (zone === this.#location.zone) return 0;
    const { regions } = this.#location;
    const isSameRegion = regions.get(zone) === regions.get(this.#location.zone);
    return isSameRegion ? ZONE_COST_MS : REGION_COST_MS;
  }

  #observation(id: string): Observation {
    const known = this.#observations.get(id);
    if (known) return known;
    const observation: Observation = {
      lag: 0,
      lagSeenAt: -Infinity,
      failurePause: FAILURE_PAUSE_MS,
      avoidUntil: -Infinity,
    };
    this.#observations.set(id, observation);
    return observation;
  }
}
