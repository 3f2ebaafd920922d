/**
 * Runs a read-only unit on the instance that the routing policy chooses. It is
 * retried on another instance only if nothing was written to the caller yet.
 *
 * @module
 */
import { clock } from "../../kernel/clock.ts";
import { Events } from "../../kernel/events.ts";
import {
  createFailure,
  type Failure,
  ResultCodes,
} from "../../kernel/result_codes.ts";
import { laterPosition, type Position } from "../upstream/position.ts";
import { relayBatch } from "./batch.ts";
import { DirectSink } from "./caller_output.ts";
import { Exchange, type UpstreamError } from "./exchange.ts";
import {
  ANSWERED,
  applySettings,
  isUpstreamStop,
  recordSessionState,
  type Run,
  type RunResult,
} from "./run.ts";
import type { Choice } from "../routing/routing.ts";

type Attempt = RunResult | {
  readonly kind: "repeat";
  readonly reason: string;
  /** Set if the instance answered that it refuses a setting of the session. */
  readonly refusal?: Failure;
};

/** Runs a read, or a BEGIN of a read-only transaction. */
export async function runRead(run: Run): Promise<RunResult> {
  const excluded = new Set<string>();
  for (;;) {
    const choice = await chooseInstance(run, excluded);
    if ("code" in choice) return { kind: "failed", failure: choice };
    const attempt = await attemptRead(run, choice);
    if (attempt.kind !== "repeat") return attempt;
    const { instance } = choice;
    excluded.add(instance);
    const { refusal } = attempt;
    if (refusal && choice.target === "primary") {
      return { kind: "failed", failure: refusal };
    }
    if (!refusal) {
      run.context.health.reportFailure(run.group.database, instance);
    }
    run.context.log.write(Events.READ_REPEATED, {
      session: run.identity.id,
      database: run.group.database,
      instance,
      reason: attempt.reason,
    });
  }
}

async function chooseInstance(
  run: Run,
  excluded: ReadonlySet<string>,
): Promise<Choice | Failure> {
  const { state, plan, group } = run;
  const currentPosition = state.position(clock.now());
  const chosen = await run.context.routing.chooseRead({
    database: group.database,
    position: currentPosition || plan.position
      ? latestPosition(state.lastPosition, plan.position)
      : undefined,
    maxAge: resolveMaxAge(run),
    lastWriteAt: state.lastWriteAt,
    deadline: run.deadline,
    excluded,
  });
  if (chosen.isErr()) return chosen.error;
  if (chosen.value.position) state.replacePosition(chosen.value.position);
  run.context.log.write(Events.READ_ROUTED, {
    session: run.identity.id,
    database: group.database,
    instance: chosen.value.instance,
    target: chosen.value.target,
    reason: chosen.value.reason,
  });
  return chosen.value;
}

async function attemptRead(run: Run, choice: Choice): Promise<Attempt> {
  const { context, group, output } = run;
  const { instance, target } = choice;
  const acquired = await context.connections.acquire({
    database: group.database,
    instance,
    priority: "normal",
    deadline: run.deadline,
  });
  if (acquired.isErr()) return resultOfAcquireFailure(acquired.error);
  run.track(acquired.value);
  const exchange = new Exchange(acquired.value);
  const ready = await applySettings(exchange, run.state);
  if (ready.isErr()) {
    run.track(undefined);
    exchange.finish(true);
    const { message } = ready.error;
    return { kind: "repeat", reason: message, refusal: ready.error };
  }
  if (!ready.value) {
    exchange.finish(false);
    return { kind: "repeat", reason: "connection lost" };
  }
  const startedAt = clock.now();
  const sink = new DirectSink(output);
  const bytesBefore = output.bytesWritten;
  let stopError: UpstreamError | undefined;
  const result = await relayBatch(exchange, run.state, {
    unit: run.unit,
    next: run.next,
    trailingQueries: [],
    interceptsError: (error) => {
      if (!isUpstreamStop(error)) return false;
      stopError = error;
      return true;
    },
  }, sink);
  const nothingSent = output.bytesWritten === bytesBefore;
  if (result.lost || stopError) {
    exchange.finish(false);
    if (nothingSent) {
      return {
        kind: "repeat",
        reason: stopError?.message ?? "connection lost",
      };
    }
    return { kind: "failed", failure: answerTruncated(instance) };
  }
  const elapsed = clock.now() - startedAt;
  // A slow caller delays the rest of an answer, so only the time to the first message measures the instance.
  const latency = (sink.firstMessageAt ?? startedAt + elapsed) - startedAt;
  context.health.reportLatency(group.database, instance, latency);
  context.metrics.recordStatement(target, "read", elapsed);
  if (result.status === "I") {
    if (!result.error) recordSessionState(run.plan, run.state, exchange);
    exchange.finish(true);
    return ANSWERED;
  }
  const held = {
    exchange,
    instance,
    target,
    pinned: false,
    wrote: false,
    inTransaction: true,
  };
  return { kind: "held", held };
}

function resultOfAcquireFailure(failure: Failure): Attempt {
  const retryable = failure.code === ResultCodes.UPSTREAM_UNREACHABLE ||
    failure.code === ResultCodes.UPSTREAM_REFUSED;
  if (retryable) return { kind: "repeat", reason: failure.message };
  return { kind: "failed", failure };
}

function resolveMaxAge(run: Run): number {
  const { reads } = run.group;
  const name = run.plan.kind ?? run.state.kind;
  const namedKind = reads.kinds.find((kind) => kind.name === name);
  if (namedKind) return namedKind.maxAge;
  const { tables } = run.plan;
  const matchingKind = reads.kinds.find((kind) =>
    tables.length > 0 && tables.every((table) => kind.tables.includes(table))
  );
  return matchingKind?.maxAge ?? reads.maxAge;
}

/** The later of the position that this connection has seen and the one that the caller gave. */
function latestPosition(
  seen: Position | undefined,
  given: Position | undefined,
): Position | undefined {
  return seen && given ? laterPosition(seen, given) : given ?? seen;
}

function answerTruncated(instance: string): Failure {
  return createFailure(
    ResultCodes.ANSWER_TRUNCATED,
    `the connection to ${instance} was lost in the middle of the answer`,
  );
}
