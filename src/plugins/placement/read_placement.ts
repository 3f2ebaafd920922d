/**
 * Where a read runs. Load that it answers: many short reads against few slots
 * per instance, replicas that lag by more than a read may show, instances that
 * are gone but still listed, and links between regions that are slow and dear.
 *
 * @module
 */
import type { UpstreamPools } from "../connections/upstream_pools.ts";
import type {
  InstanceDirectory,
  ListedInstance,
} from "../deployment/instance_directory.ts";
import type { ProxyLocation } from "../deployment/proxy_location.ts";
import type { PrimarySamples } from "../freshness/primary_samples.ts";
import { comparePositions, type Position } from "../upstream/position.ts";

/** Cost of another availability zone of the region, in ms of waiting. */
const ZONE_COST_MS = 4;

/** Cost of another region, in ms of waiting: the way there and back, and its price. */
const REGION_COST_MS = 60;

/** Cost of the primary, in ms of waiting: its slots are for what only it can do. */
const PRIMARY_COST_MS = 30;

/** Cost of one statement of this proxy that is ahead at the instance, in ms: a usual read over the slots. */
const OUTSTANDING_COST_MS = 8;

/** A replica that needs longer than this, in ms, to reach a position is passed over. */
const CATCH_UP_LIMIT_MS = 400;

/** A replica that is passed over for its lag gets one read after this time, in ms, since only an answer shows that it has caught up. */
const LAG_TRIAL_MS = 400;

/** Weight of an answer in the smoothed lag. */
const LAG_WEIGHT = 0.2;

/** An answer that shows less than this part of the smoothed lag ends it: the usual variation of a replica stays above. */
const LAG_RECOVERY_RATIO = 0.3;

/** A replica that lacked a position is expected to have it this much later, in ms. */
const LAG_STEP_MS = 15;

/** How long an instance that failed a read is passed over at first, in ms; doubled while it goes on. */
const FAILURE_PAUSE_MS = 250;
const FAILURE_PAUSE_MAX_MS = 2_000;

interface Observation {
  /** Position that the instance's data have shown. */
  position?: Position;
  /** Smoothed time, in ms, by which its data are behind the primary. */
  lag: number;
  /** Monotonic ms at which the lag was last seen, or a read sent to see it. */
  lagSeenAt: number;
  failurePause: number;
  avoidUntil: number;
}

/** What a read asks for. */
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

/** Where to run the read, and how long to wait before. */
export interface Placement {
  readonly instance: string;
  /** Time, in ms, in which the instance is expected to reach the position. */
  readonly wait: number;
}

/** Chooses instances by distance, load and lag. */
export class ReadPlacement {
  readonly #directory: Pick<InstanceDirectory, "group">;
  readonly #pools: Pick<UpstreamPools, "outstanding">;
  readonly #place: ProxyLocation;
  readonly #observations = new Map<string, Observation>();

  constructor(
    directory: Pick<InstanceDirectory, "group">,
    pools: Pick<UpstreamPools, "outstanding">,
    place: ProxyLocation,
  ) {
    this.#directory = directory;
    this.#pools = pools;
    this.#place = place;
  }

  /** The best instance; undefined when none may be tried now. */
  choose(
    request: PlacementRequest,
    now = performance.now(),
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
    if (best) this.#noteTrial(best.instance, now);
    return best;
  }

  /** An instance that failed or lagged gets one read; the others pass it over until that one is answered. */
  #noteTrial(id: string, now: number): void {
    const observation = this.#observations.get(id);
    if (!observation) return;
    if (now - observation.lagSeenAt > LAG_TRIAL_MS) observation.lagSeenAt = now;
    if (observation.avoidUntil === -Infinity) return;
    observation.avoidUntil = now + observation.failurePause;
  }

  /** Notes an answer and the position that it showed. */
  recordAnswer(
    id: string,
    position: Position | undefined,
    samples: PrimarySamples,
    now = performance.now(),
  ): void {
    const observation = this.#observation(id);
    observation.failurePause = FAILURE_PAUSE_MS;
    observation.avoidUntil = -Infinity;
    if (!position) return;
    observation.position = position;
    observation.lagSeenAt = now;
    const passedAt = samples.passedAt(position);
    const lag = passedAt === undefined ? 0 : now - passedAt;
    const isOver = lag < LAG_RECOVERY_RATIO * observation.lag;
    const weight = isOver ? 1 : LAG_WEIGHT;
    observation.lag += weight * (lag - observation.lag);
  }

  /** Notes that the instance's data did not show a position, and which one they showed. */
  recordLag(
    id: string,
    position: Position,
    shown: Position | undefined,
    samples: PrimarySamples,
    now = performance.now(),
  ): void {
    const observation = this.#observation(id);
    const reachedAt = shown
      ? samples.passedAt(shown) ?? now
      : samples.reachedAt(position);
    const behind = reachedAt === Infinity ? 0 : now - reachedAt;
    observation.position = shown;
    observation.lagSeenAt = now;
    observation.lag = Math.max(observation.lag, behind) + LAG_STEP_MS;
  }

  /** Notes that the instance could not be reached, failed or gave no answer. */
  recordFailure(id: string, now = performance.now()): void {
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

  /** Time to wait before a read, in ms; none when the read is to find out how far the replica is. */
  #expectedWait(id: string, request: PlacementRequest, now: number): number {
    const wait = this.#catchUp(id, request, now);
    if (wait <= CATCH_UP_LIMIT_MS) return wait;
    const seenAt = this.#observations.get(id)?.lagSeenAt ?? -Infinity;
    return now - seenAt > LAG_TRIAL_MS ? 0 : wait;
  }

  /** Time in which a replica is expected to reach the position, in ms. */
  #catchUp(id: string, request: PlacementRequest, now: number): number {
    if (id === request.primary) return 0;
    const { position, samples } = request;
    const observation = this.#observations.get(id);
    if (!observation) return 0;
    const { position: shown, lag } = observation;
    if (shown && comparePositions(shown, position) >= 0) return 0;
    const reachedAt = samples.reachedAt(position);
    // A position that no sample shows yet is one of the session's own, just written.
    const since = reachedAt === Infinity ? now : reachedAt;
    return Math.max(0, since + lag - now);
  }

  #cost(instance: ListedInstance, request: PlacementRequest): number {
    const cost = this.#distance(instance.zone) +
      OUTSTANDING_COST_MS * this.#pools.outstanding(instance.id);
    return instance.id === request.primary ? cost + PRIMARY_COST_MS : cost;
  }

  #distance(zone: string): number {
    if (zone === this.#place.zone) return 0;
    const { regions } = this.#place;
    const same = regions.get(zone) === regions.get(this.#place.zone);
    return same ? ZONE_COST_MS : REGION_COST_MS;
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
