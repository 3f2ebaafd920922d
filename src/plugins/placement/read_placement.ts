/**
 * Where a read runs. Load that it answers: many short reads against few slots
 * per instance, replicas that lag by more than a read may show, and links
 * between regions that are slow and dear.
 *
 * @module
 */
import type { UpstreamPools } from "../connections/upstream_pools.ts";
import type {
  InstanceDirectory,
  ListedInstance,
} from "../deployment/instance_directory.ts";
import { comparePositions, type Position } from "../upstream/position.ts";

/** Where this proxy is. */
export interface Place {
  readonly zone: string;
  /** Region of each availability zone. */
  readonly regions: ReadonlyMap<string, string>;
}

/** Cost of another availability zone of the region, in ms of waiting. */
const ZONE_COST_MS = 4;

/** Cost of another region, in ms of waiting: the way there and back, and its price. */
const REGION_COST_MS = 60;

/** Cost of the primary: its slots are for what only it can do. */
const PRIMARY_COST_MS = 30;

/** Cost of one statement of this proxy that is ahead at the instance, in ms: a usual read over the slots. */
const OUTSTANDING_COST_MS = 8;

/** How long an instance that lagged is passed over at first, in ms; doubled while it goes on. */
const LAG_PAUSE_MS = 100;
const LAG_PAUSE_MAX_MS = 800;

/** How long an instance that failed a read is passed over, in ms. */
const FAILURE_PAUSE_MS = 250;
const FAILURE_PAUSE_MAX_MS = 2_000;

/** Cost of an instance that lagged or failed a moment ago, in ms: it is taken only when all others are busy. */
const AVOIDED_COST_MS = 400;

interface Observation {
  /** Position that the instance's data have shown. */
  shown?: Position;
  lagPause: number;
  failurePause: number;
  avoidUntil: number;
}

/** What a read asks for. */
export interface PlacementRequest {
  readonly group: string;
  readonly position: Position;
  readonly primary: string | undefined;
  readonly excluded: ReadonlySet<string>;
}

/** Chooses instances by distance, load and what they have shown. */
export class ReadPlacement {
  readonly #directory: InstanceDirectory;
  readonly #pools: Pick<UpstreamPools, "outstanding">;
  readonly #place: Place;
  readonly #observations = new Map<string, Observation>();

  constructor(
    directory: InstanceDirectory,
    pools: Pick<UpstreamPools, "outstanding">,
    place: Place,
  ) {
    this.#directory = directory;
    this.#pools = pools;
    this.#place = place;
  }

  /** The best instance; undefined when none may be tried. */
  choose(request: PlacementRequest): string | undefined {
    const now = performance.now();
    let best: string | undefined;
    let bestCost = Infinity;
    for (const instance of this.#directory.group(request.group)) {
      if (request.excluded.has(instance.id)) continue;
      const isPrimary = instance.id === request.primary;
      if (instance.leaving && !isPrimary) continue;
      const cost = this.#cost(instance, request, isPrimary, now);
      if (cost >= bestCost) continue;
      best = instance.id;
      bestCost = cost;
    }
    return best;
  }

  /** Notes an answer. */
  answered(id: string, position: Position | undefined): void {
    const observation = this.#observation(id);
    if (position) observation.shown = position;
    observation.lagPause = LAG_PAUSE_MS;
    observation.failurePause = FAILURE_PAUSE_MS;
    observation.avoidUntil = -Infinity;
  }

  /** Notes that the instance's data did not show a position. */
  lagged(id: string, now = performance.now()): void {
    const observation = this.#observation(id);
    observation.avoidUntil = now + observation.lagPause;
    observation.lagPause = Math.min(LAG_PAUSE_MAX_MS, 2 * observation.lagPause);
  }

  /** Notes that the instance could not be reached, failed or gave no answer. */
  failed(id: string, now = performance.now()): void {
    const observation = this.#observation(id);
    observation.avoidUntil = now + observation.failurePause;
    observation.failurePause = Math.min(
      FAILURE_PAUSE_MAX_MS,
      2 * observation.failurePause,
    );
  }

  #cost(
    instance: ListedInstance,
    request: PlacementRequest,
    isPrimary: boolean,
    now: number,
  ): number {
    const observation = this.#observations.get(instance.id);
    let cost = this.#distance(instance.zone) +
      OUTSTANDING_COST_MS * this.#pools.outstanding(instance.id);
    if (isPrimary) return cost + PRIMARY_COST_MS;
    const shown = observation?.shown;
    const known = shown && comparePositions(shown, request.position) >= 0;
    const avoided = observation && observation.avoidUntil > now;
    if (avoided && !known) cost += AVOIDED_COST_MS;
    return cost;
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
      lagPause: LAG_PAUSE_MS,
      failurePause: FAILURE_PAUSE_MS,
      avoidUntil: -Infinity,
    };
    this.#observations.set(id, observation);
    return observation;
  }
}
