/**
 * Runs units on a connection that the session holds, because a transaction is
 * open or because of session state that can't be replayed.
 *
 * @module
 */
import { clock } from "../../kernel/clock.ts";
import {
  createFailure,
  type Failure,
  ResultCodes,
} from "../../kernel/result_codes.ts";
import { relayBatch } from "./batch.ts";
import { DeferredSink, DirectSink } from "./caller_output.ts";
import type { AnswerResult } from "./exchange.ts";
import {
  ANSWERED,
  createPositionMessage,
  type HeldConnection,
  isUpstreamStop,
  logWrite,
  POSITION_QUERY,
  recordSessionState,
  type Run,
  type RunResult,
} from "./run.ts";
import { acknowledge, readPosition, unknownOutcome } from "./write_run.ts";

/** Runs a unit on the held connection. */
export async function runHeld(
  run: Run,
  held: HeldConnection,
): Promise<RunResult> {
  const writes = run.plan.effect === "write" || run.plan.mixedTransaction;
  const wrote = held.wrote || writes;
  const commits = wrote && mayCommit(run, held);
  logWrite(run, held.instance);
  if (!commits) return await relayOnly(run, { ...held, wrote });
  return await relayCommit(run, { ...held, wrote });
}

async function relayOnly(run: Run, held: HeldConnection): Promise<RunResult> {
  const startedAt = clock.now();
  const sink = new DirectSink(run.output);
  const result = await relayBatch(held.exchange, run.state, {
    unit: run.unit,
    next: run.next,
    trailingQueries: [],
    interceptsError: isUpstreamStop,
  }, sink);
  if (result.lost) return afterLoss(run, held, false);
  const effect = run.plan.effect === "write" ? "write" : "read";
  run.context.metrics.recordStatement(
    held.target,
    effect,
    clock.now() - startedAt,
  );
  return keepOrFinish(run, held, result);
}

async function relayCommit(run: Run, held: HeldConnection): Promise<RunResult> {
  const startedAt = clock.now();
  const sink = new DeferredSink(run.output);
  const result = await relayBatch(held.exchange, run.state, {
    unit: run.unit,
    next: run.next,
    trailingQueries: [POSITION_QUERY],
    interceptsError: isUpstreamStop,
  }, sink);
  if (result.lost) return afterLoss(run, held, true);
  const position = await readPosition(held.exchange);
  // An error later in the same text does not undo its COMMIT.
  const committed = sink.commandCompleted && result.status === "I";
  const failure = committed
    ? await acknowledge(run, position, held.instance)
    : undefined;
  if (failure) {
    held.exchange.finish(false);
    return { kind: "failed", failure };
  }
  await sink.release(
    committed && position ? [createPositionMessage(position)] : [],
  );
  run.context.metrics.recordStatement(
    "primary",
    "write",
    clock.now() - startedAt,
  );
  return keepOrFinish(run, held, result);
}

/** Whether the unit may commit: a COMMIT, a text with mixed transaction control, or any other statement outside a transaction. */
function mayCommit(run: Run, held: HeldConnection): boolean {
  const command = run.plan.single?.transaction;
  if (!held.inTransaction) return command === undefined;
  return command === "commit" || run.plan.mixedTransaction;
}

/** Whether the unit leaves session state that pins the connection, as a SET in a transaction on the primary does: only the upstream knows whether it takes effect. */
function keepsState(
  { plan }: Run,
  held: HeldConnection,
  { error }: AnswerResult,
): boolean {
  const sets = plan.single?.replayed !== undefined && held.inTransaction;
  // An error undoes no advisory lock and no PREPARE that came before it.
  return plan.pinned || sets && held.target === "primary" && !error;
}

function keepOrFinish(
  run: Run,
  held: HeldConnection,
  result: AnswerResult,
): RunResult {
  const pinned = held.pinned || keepsState(run, held, result);
  const inTransaction = result.status !== "I";
  if (!inTransaction && !result.error) {
    recordSessionState(run.plan, run.state, held.exchange);
  }
  if (run.plan.single?.replayed && inTransaction) {
    // A rollback would undo the setting, so the connection's settings are unknown; the dummy entry forces a RESET ALL later.
    held.exchange.connection.settings.set("", "");
  }
  if (!inTransaction && !pinned) {
    held.exchange.finish(true);
    return ANSWERED;
  }
  const wrote = inTransaction && held.wrote;
  return { kind: "held", held: { ...held, pinned, wrote, inTransaction } };
}

function afterLoss(
  run: Run,
  held: HeldConnection,
  committing: boolean,
): RunResult {
  held.exchange.finish(false);
  run.context.health.reportFailure(run.group.database, held.instance);
  if (committing) {
    return { kind: "failed", failure: unknownOutcome(held.instance) };
  }
  const failure = transactionLost(held.instance);
  if (held.inTransaction) return { kind: "transaction lost", failure };
  return { kind: "failed", failure };
}

function transactionLost(instance: string): Failure {
  return createFailure(
    ResultCodes.TRANSACTION_LOST,
    `the connection to ${instance} was lost; nothing of the transaction was committed`,
    { hint: "Run the transaction again." },
  );
}
