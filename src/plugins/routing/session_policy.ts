/**
 * The default policy: a read runs on a replica that has applied the session's
 * position and whose data is recent enough. It waits briefly for such a replica
 * to keep load off the primary.
 *
 * For a session whose position is unknown to this proxy, the position is obtained
 * as the read index of Raft (Ongaro, "Consensus: Bridging Theory and Practice",
 * 2014, section 6.4), with a round of status requests instead of the leader's
 * heartbeats.
 *
 * @module
 */
import { err, errAsync, ok, type Result, ResultAsync } from "neverthrow";
import { clock } from "../../kernel/clock.ts";
import {
  createFailure,
  type Failure,
  ResultCodes,
} from "../../kernel/result_codes.ts";
import type { Connections } from "../connections/connections.ts";
import type { GroupView, Health, InstanceView } from "../health/health.ts";
import { containsPosition, type Position } from "../upstream/position.ts";
import { caughtUp, eligibleReplicas, lowestCost } from "./replica_choice.ts";
import type { Choice, ReadRequest, RoutingPolicy } from "./routing.ts";

/** Dependencies and settings of the policies. */
export interface PolicyContext {
  readonly health: Health;
  readonly connections: Connections;
  /** Availability zone of this proxy. */
  readonly zone: string;
  /** Maximum wait for a replica to catch up, by database, in ms. */
  readonly catchUpWait: (database: string) => number;
}

/** Serves reads from replicas with read-your-writes consistency and a maximum age. */
export class SessionPolicy implements RoutingPolicy {
  readonly #context: PolicyContext;

  constructor(context: PolicyContext) {
    this.#context = context;
  }

  chooseRead(request: ReadRequest): ResultAsync<Choice, Failure> {
    const { health } = this.#context;
    const view = health.view(request.database);
    if (!view) return errAsync(readFailure(request, "the group is not known"));
    if (request.position && !isDiscarded(view, request.position)) {
      return new ResultAsync(this.#choose(request, request.position));
    }
    return health.freshPosition(request.database, request.deadline)
      .mapErr((failure) => readFailure(request, failure.message))
      .andThen((position) =>
        new ResultAsync(this.#choose(request, position))
          .map((choice) => ({ ...choice, position }))
      );
  }

  async #choose(
    request: ReadRequest,
    position: Position,
  ): Promise<Result<Choice, Failure>> {
    const { health, connections, zone } = this.#context;
    const { database } = request;
    const view = health.view(database)!;
    const eligible = eligibleReplicas(view, health, request);
    const ready = caughtUp(eligible, health, database, position);
    const best = lowestCost(ready, connections, database, zone);
    if (best) return ok(replicaChoice(best.instance.name, "applied"));
    const replicaName = await this.#waitForReplica(request, position, eligible);
    if (replicaName) return ok(replicaChoice(replicaName, "caught up"));
    return await this.#choosePrimary(request, position);
  }

  /** Waits for the first replica that applies the position, if one is expected to do so in time. */
  async #waitForReplica(
    request: ReadRequest,
    position: Position,
    eligible: readonly InstanceView[],
  ): Promise<string | undefined> {
    const { health } = this.#context;
    const { database } = request;
    const wait = this.#context.catchUpWait(database);
    const names = eligible.map((item) => item.instance.name)
      .filter((name) => health.expectedWait(database, name, position) <= wait);
    if (names.length === 0) return undefined;
    const deadline = Math.min(request.deadline, clock.now() + wait);
    const applied = await health.applied(database, names, position, deadline);
    return applied.isOk() ? applied.value : undefined;
  }

  async #choosePrimary(
    request: ReadRequest,
    position: Position,
  ): Promise<Result<Choice, Failure>> {
    const { health } = this.#context;
    const { database } = request;
    const found = await health.primary(database, request.deadline);
    if (found.isErr()) return err(readFailure(request, found.error.message));
    const { name } = found.value;
    const isRecent = health.age(database, name) <= request.maxAge;
    if (isRecent && health.hasApplied(database, name, position)) {
      return ok({
        instance: name,
        target: "primary",
        reason: "no replica in time",
      });
    }
    const fresh = await health.freshPosition(database, request.deadline);
    if (fresh.isErr()) return err(readFailure(request, fresh.error.message));
    return ok({ instance: name, target: "primary", reason: "confirmed anew" });
  }
}

/** Whether a failover has discarded the position, so that no instance will ever reach it. */
function isDiscarded(view: GroupView, position: Position): boolean {
  const status = view.instances
    .find((item) => item.instance.name === view.primary)?.status;
  if (!status || status.lastTerm <= position.term) return false;
  return !containsPosition(status, status.received, position);
}

function replicaChoice(instance: string, reason: string): Choice {
  return { instance, target: "replica", reason };
}

/** Creates the failure of a read that no instance may serve. */
export function readFailure(request: ReadRequest, detail: string): Failure {
  return createFailure(
    ResultCodes.READ_UNAVAILABLE,
    `no instance of ${request.database} may serve the read`,
    { detail },
  );
}
