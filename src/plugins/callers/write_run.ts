/**
 * Runs a unit on the primary and acknowledges its commit once a majority of the
 * group's instances has it, unless the group asks for the primary alone.
 *
 * @module
 */
import { err, ok, type Result } from "neverthrow";
import { clock } from "../../kernel/clock.ts";
import {
  createFailure,
  type Failure,
  ResultCodes,
} from "../../kernel/result_codes.ts";
import type { Position } from "../upstream/position.ts";
import { relayBatch } from "./batch.ts";
import { DeferredSink } from "./caller_output.ts";
import type { Exchange, UpstreamError } from "./exchange.ts";
import { openPrimaryExchange } from "./primary_exchange.ts";
import {
  ANSWERED,
  applySettings,
  createPositionMessage,
  isNotPrimary,
  isUpstreamStop,
  POSITION_QUERY,
  readPositionAnswer,
  recordSessionState,
  type Run,
  type RunResult,
} from "./run.ts";

type Attempt = RunResult | { readonly kind: "not run" };

/** Runs a write outside a transaction, a BEGIN, or a control statement. */
export async function runWrite(run: Run): Promise<RunResult> {
  for (;;) {
    const attempt = await attemptWrite(run);
    if (attempt.kind !== "not run") return attempt;
    if (clock.now() >= run.deadline) {
      return { kind: "failed", failure: noPrimary(run) };
    }
  }
}

async function attemptWrite(run: Run): Promise<Attempt> {
  const { context, group, plan, state } = run;
  const opened = await openPrimaryExchange(run);
  if (opened.isErr()) return { kind: "failed", failure: opened.error };
  const { exchange, instance } = opened.value;
  const ready = await applySettings(exchange, state);
  if (ready.isErr()) {
    releaseConnection(run, exchange);
    return { kind: "failed", failure: ready.error };
  }
  if (!ready.value || exchange.lost) {
    exchange.finish(false);
    return { kind: "not run" };
  }
  const startedAt = clock.now();
  const writes = plan.effect === "write" || plan.mixedTransaction;
  const sink = new DeferredSink(run.output);
  let refused: UpstreamError | undefined;
  const result = await relayBatch(exchange, state, {
    unit: run.unit,
    next: run.next,
    trailingQueries: writes ? [POSITION_QUERY] : [],
    interceptsError: (error) => {
      const notPrimary = !sink.commandCompleted && isNotPrimary(error) &&
        !state.forbidsWrites;
      const intercepted = notPrimary || isUpstreamStop(error);
      if (intercepted) refused = error;
      return intercepted;
    },
  }, sink);
  if (refused || result.lost) {
    exchange.finish(false);
    context.health.reportFailure(group.database, instance);
    if (refused && isNotPrimary(refused)) return { kind: "not run" };
    return { kind: "failed", failure: unknownOutcome(instance) };
  }
  const position = writes ? await readPosition(exchange) : undefined;
  // An error undoes no advisory lock and no PREPARE that came before it.
  const { pinned } = plan;
  const idle = result.status === "I";
  if (idle && !result.error) recordSessionState(plan, state, exchange);
  // The connection is released first, because waiting for the acknowledgement does not need it.
  if (idle && !pinned) releaseConnection(run, exchange);
  const failure = sink.commandCompleted && writes && idle
    ? await acknowledge(run, position, instance)
    : undefined;
  if (failure) {
    if (!idle || pinned) exchange.finish(false);
    return { kind: "failed", failure };
  }
  const reported = position && sink.commandCompleted
    ? [createPositionMessage(position)]
    : [];
  await sink.release(reported);
  context.metrics.recordStatement(
    "primary",
    "write",
    clock.now() - startedAt,
  );
  if (idle && !pinned) return ANSWERED;
  const held = {
    exchange,
    instance,
    target: "primary" as const,
    pinned,
    wrote: !idle && writes,
    inTransaction: !idle,
  };
  return { kind: "held", held };
}

/** Releases the connection, after making sure that a cancel request can't reach its next user. */
function releaseConnection(run: Run, exchange: Exchange): void {
  run.track(undefined);
  exchange.finish(true);
}

/** Reads the answer to a POSITION_QUERY that was already sent; undefined if it failed. */
export async function readPosition(
  exchange: Exchange,
): Promise<Position | undefined> {
  return readPositionAnswer(await exchange.readInternalAnswer());
}

/** Waits until a commit is acknowledged; its failures never have the outcome "not run", because the write was run. */
export async function acknowledge(
  run: Run,
  position: Position | undefined,
  instance: string,
): Promise<Failure | undefined> {
  if (!position) return unknownOutcome(instance);
  const result = await confirmPosition(run, position);
  if (result.isErr()) return result.error;
  run.state.advance(position);
  run.state.lastWriteAt = clock.now();
  return undefined;
}

async function confirmPosition(
  run: Run,
  position: Position,
): Promise<Result<void, Failure>> {
  const { database, writes } = run.group;
  if (writes.acknowledge === "primary") return ok(undefined);
  const deadline = clock.now() + writes.acknowledgeDeadline;
  const result = await run.context.health.confirm(database, position, deadline);
  if (result.isOk()) return result;
  if (result.error.code.outcome === "outcome unknown") return result;
  return err(createFailure(
    ResultCodes.ACKNOWLEDGE_DEADLINE,
    `the write ran, but no majority of ${database} was seen to hold it`,
    { detail: result.error.message },
  ));
}

/** The failure for a connection that was lost during a write. */
export function unknownOutcome(instance: string): Failure {
  return createFailure(
    ResultCodes.OUTCOME_UNKNOWN,
    `the connection to ${instance} was lost before the write was answered`,
    { hint: "Read back, or repeat the request under a request id." },
  );
}

function noPrimary(run: Run): Failure {
  return createFailure(
    ResultCodes.PRIMARY_ABSENT,
    `no primary of ${run.group.database} took the statement before its deadline`,
  );
}
