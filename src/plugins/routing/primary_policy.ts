/**
 * Baseline policies for comparison: one sends all reads to the primary, the
 * other does so for a fixed time after each write of a session.
 *
 * @module
 */
import { okAsync, type ResultAsync } from "neverthrow";
import { clock } from "../../kernel/clock.ts";
import type { Failure } from "../../kernel/result_codes.ts";
import { eligibleReplicas, lowestCost } from "./replica_choice.ts";
import type { Choice, ReadRequest, RoutingPolicy } from "./routing.ts";
import { type PolicyContext, readFailure } from "./session_policy.ts";

/** How long the sticky policy keeps a session at the primary after a write, in ms. */
const STICKY_TIME_MS = 1_000;

/** Sends all reads to the primary. */
export class PrimaryPolicy implements RoutingPolicy {
  readonly #context: PolicyContext;

  constructor(context: PolicyContext) {
    this.#context = context;
  }

  chooseRead(request: ReadRequest): ResultAsync<Choice, Failure> {
    return this.#context.health.primary(request.database, request.deadline)
      .mapErr((failure) => readFailure(request, failure.message))
      .map((instance) => ({
        instance: instance.name,
        target: "primary" as const,
        reason: "all reads",
      }));
  }
}

/**
 * Sends reads to the primary for a fixed time after a write of the session,
 * then to any replica that is fresh enough.
 */
export class StickyPolicy implements RoutingPolicy {
  readonly #context: PolicyContext;
  readonly #primary: PrimaryPolicy;

  constructor(context: PolicyContext) {
    this.#context = context;
    this.#primary = new PrimaryPolicy(context);
  }

  chooseRead(request: ReadRequest): ResultAsync<Choice, Failure> {
    const { health, connections, zone } = this.#context;
    const { database } = request;
    const sinceWrite = clock.now() - request.lastWriteAt;
    if (sinceWrite < STICKY_TIME_MS) return this.#primary.chooseRead(request);
    const view = health.view(database);
    const eligible = view ? eligibleReplicas(view, health, request) : [];
    const best = lowestCost(eligible, connections, database, zone);
    if (!best) return this.#primary.chooseRead(request);
    return okAsync({
      instance: best.instance.name,
      target: "replica" as const,
      reason: "no write of late",
    });
  }
}
