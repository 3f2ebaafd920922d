/**
 * Acquires a connection to the confirmed primary of a database.
 *
 * @module
 */
import { setTimeout as delay } from "node:timers/promises";
import { err, ok, type Result } from "neverthrow";
import { clock } from "../../kernel/clock.ts";
import {
  createFailure,
  type Failure,
  ResultCodes,
} from "../../kernel/result_codes.ts";
import type {
  Priority,
  UpstreamConnection,
} from "../connections/connections.ts";
import type { Group } from "../document/document.ts";
import type { CallerContext } from "./caller_context.ts";

/** Age after which a primary's confirmation by a majority is renewed before a write. */
const CONFIRMATION_MAX_AGE_MS = 1_000;
/** Pause before a retry after the primary could not be reached. */
const RETRY_PAUSE_MS = 20;

/** Services that are needed to acquire a connection. */
export type AcquireContext = Pick<CallerContext, "connections" | "health">;

/** An acquired connection to the primary, and the name of that instance. */
export interface PrimaryConnection {
  readonly connection: UpstreamConnection;
  readonly instance: string;
}

/** Waits until the deadline (monotonic ms) for a confirmed primary and a connection to it. */
export async function acquirePrimary(
  context: AcquireContext,
  group: Group,
  priority: Priority,
  deadline: number,
): Promise<Result<PrimaryConnection, Failure>> {
  const { database } = group;
  for (;;) {
    const primary = await context.health.primary(database, deadline);
    if (primary.isErr()) return err(primary.error);
    const confirmed = await confirmPrimary(context, group, deadline);
    if (confirmed.isErr()) return err(confirmed.error);
    // A switchover may have begun to hold writes during the confirmation.
    const current = await context.health.primary(database, deadline);
    if (current.isErr()) return err(current.error);
    const instance = current.value.name;
    if (instance !== primary.value.name) continue;
    const request = { database, instance, priority, deadline };
    const acquired = await context.connections.acquire(request);
    if (acquired.isOk()) return ok({ connection: acquired.value, instance });
    if (!isTransient(acquired.error) || clock.now() >= deadline) {
      return err(acquired.error);
    }
    await delay(RETRY_PAUSE_MS);
  }
}

async function confirmPrimary(
  context: AcquireContext,
  group: Group,
  deadline: number,
): Promise<Result<void, Failure>> {
  const view = context.health.view(group.database);
  const limit = group.writes.acknowledgeDeadline;
  if (
    group.writes.acknowledge === "majority" && view && view.receiveLagMs > limit
  ) {
    const lag = Math.round(view.receiveLagMs);
    return err(createFailure(
      ResultCodes.RECEIVE_LAG,
      `no majority of ${group.database} has received the log of ${lag} ms ago; the limit is ${limit} ms`,
    ));
  }
  const age = clock.now() - (view?.confirmedAt ?? -Infinity);
  if (age <= CONFIRMATION_MAX_AGE_MS) return ok(undefined);
  const fresh = await context.health.freshPosition(group.database, deadline);
  if (fresh.isOk()) return ok(undefined);
  return err(createFailure(
    ResultCodes.PRIMARY_UNCONFIRMED,
    `the primary of ${group.database} is not confirmed by a majority of its instances`,
    { detail: fresh.error.message },
  ));
}

function isTransient(failure: Failure): boolean {
  return failure.code === ResultCodes.UPSTREAM_UNREACHABLE ||
    failure.code === ResultCodes.UPSTREAM_REFUSED;
}
