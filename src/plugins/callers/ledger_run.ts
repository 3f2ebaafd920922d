/**
 * Runs a request with an id at most once. A repeated request gets the stored
 * answer, even if the outcome of the first attempt was unknown.
 *
 * @module
 */
import { setTimeout as delay } from "node:timers/promises";
import { ok } from "neverthrow";
import { clock } from "../../kernel/clock.ts";
import { Events } from "../../kernel/events.ts";
import {
  createFailure,
  type Failure,
  ResultCodes,
} from "../../kernel/result_codes.ts";
import { readLeadingComment } from "../classification/leading_comment.ts";
import {
  BackendType,
  createQuery,
  createReadyForQuery,
  FrontendType,
  type Message,
  splitMessages,
} from "../wire/message.ts";
import { relayBatch } from "./batch.ts";
import { createRepeatedAnswer } from "./repeated_answer.ts";
import { readBind } from "./statements.ts";
import { BufferedSink } from "./caller_output.ts";
import { Exchange } from "./exchange.ts";
import { openPrimaryExchange } from "./primary_exchange.ts";
import {
  ANSWERED,
  applySettings,
  createPositionMessage,
  type HeldConnection,
  isNotPrimary,
  POSITION_QUERY,
  type Run,
  runInternalQuery,
  type RunResult,
} from "./run.ts";
import { acknowledge, readPosition, unknownOutcome } from "./write_run.ts";

/** Maximum length of an answer that is buffered until its commit. */
const MAX_BUFFERED_ANSWER_BYTES = 16 * 1024 * 1024;
/** Pause before another attempt at a request that did not run or has an unknown outcome. */
const RETRY_PAUSE_MS = 20;

type Attempt =
  | RunResult
  /** The request did not run. */
  | { readonly kind: "not run"; readonly failure: Failure }
  /** The request may have run; the next attempt finds out from the ledger. */
  | { readonly kind: "unknown"; readonly failure: Failure };

/** Runs a request under its id, on the connection that the session keeps if there is one; retries until its outcome is known or the deadline has passed. */
export async function runRequest(
  run: Run,
  id: string,
  held?: HeldConnection,
): Promise<RunResult> {
  let unknown: Failure | undefined;
  for (;;) {
    const attempt = await attemptRequest(run, id, held);
    if (attempt.kind === "failed" && unknown) {
      return { kind: "failed", failure: unknown };
    }
    if (attempt.kind !== "unknown" && attempt.kind !== "not run") {
      if (unknown) logSettled(run, id);
      return attempt;
    }
    if (attempt.kind === "unknown") unknown = attempt.failure;
    // The session's state was lost with its connection, so the request may not run on another.
    if (clock.now() >= run.deadline || held?.exchange.finished) {
      return { kind: "failed", failure: unknown ?? attempt.failure };
    }
    await delay(RETRY_PAUSE_MS);
  }
}

async function attemptRequest(
  run: Run,
  id: string,
  held: HeldConnection | undefined,
): Promise<Attempt> {
  const { context, group } = run;
  const opened = held ? ok(held) : await openPrimaryExchange(run);
  if (opened.isErr()) return { kind: "failed", failure: opened.error };
  const { exchange, instance } = opened.value;
  if (held) exchange.keep();
  const attempt = held
    ? await runInLedger(run, id, exchange, instance)
    : await runWithSettings(run, id, exchange, instance);
  if (attempt.kind === "unknown" || attempt.kind === "not run") {
    context.health.reportFailure(group.database, instance);
  }
  if (held || exchange.finished) return attempt;
  if (attempt.kind === "answered") return keepConnection(exchange, instance);
  exchange.finish(false);
  return attempt;
}

async function runWithSettings(
  run: Run,
  id: string,
  exchange: Exchange,
  instance: string,
): Promise<Attempt> {
  const ready = await applySettings(exchange, run.state);
  if (ready.isErr()) {
    run.track(undefined);
    exchange.finish(true);
    return { kind: "failed", failure: ready.error };
  }
  if (!ready.value) return closeAsNotRun(run, exchange);
  return await runInLedger(run, id, exchange, instance);
}

async function runInLedger(
  run: Run,
  id: string,
  exchange: Exchange,
  instance: string,
): Promise<Attempt> {
  const { ledger } = run.context;
  const fingerprint = fingerprintOf(run);
  exchange.send([createQuery(ledger.beginText(id, fingerprint))], 1);
  const insertAnswer = await exchange.readInternalAnswer();
  if (insertAnswer.lost) return closeAsNotRun(run, exchange);
  if (insertAnswer.error) {
    const { error } = insertAnswer;
    await runInternalQuery(exchange, "ROLLBACK");
    if (ledger.isDuplicateRequest(error.sqlState, error.constraint)) {
      return await answerRepeatedRequest(
        run,
        id,
        fingerprint,
        exchange,
        instance,
      );
    }
    if (ledger.isMissingTable(error.sqlState)) {
      const created = await runInternalQuery(exchange, ledger.createText());
      exchange.finish(!created.lost);
      return notRun(run);
    }
    if (isNotPrimary(error)) return closeAsNotRun(run, exchange);
    exchange.finish(true);
    const message = `the request ledger refused: ${error.message}`;
    return {
      kind: "failed",
      failure: createFailure(ResultCodes.UPSTREAM_REFUSED, message),
    };
  }
  return await runAndStore(run, id, exchange, instance);
}

async function runAndStore(
  run: Run,
  id: string,
  exchange: Exchange,
  instance: string,
): Promise<Attempt> {
  const { ledger } = run.context;
  if (run.plan.pinned) exchange.keep();
  const sink = new BufferedSink(MAX_BUFFERED_ANSWER_BYTES);
  const batch = {
    unit: run.unit,
    next: run.next,
    trailingQueries: [],
    interceptsError: isNotPrimary,
  };
  const result = await relayBatch(exchange, run.state, batch, sink);
  // Nothing is committed yet, so losing the connection rolls the request back.
  if (result.lost) return closeAsNotRun(run, exchange);
  if (result.error) {
    const rolledBack = await runInternalQuery(exchange, "ROLLBACK");
    if (isNotPrimary(result.error)) return closeAsNotRun(run, exchange);
    exchange.finish(!rolledBack.lost);
    await sendAnswer(run, sink.messages, []);
    return ANSWERED;
  }
  if (sink.overflowed || result.status !== "T") {
    exchange.finish(false);
    return { kind: "failed", failure: unsupportedRequest(run, sink) };
  }
  const answer = Buffer.concat(
    withoutReady(sink.messages).map((item) => item.data),
  );
  const storedAnswer = answer.length <= ledger.maxAnswerBytes
    ? answer
    : undefined;
  exchange.send([
    createQuery(ledger.commitText(id, storedAnswer)),
    POSITION_QUERY,
  ], 2);
  const committed = await exchange.readInternalAnswer();
  if (committed.lost) {
    exchange.finish(false);
    return { kind: "unknown", failure: unknownOutcome(instance) };
  }
  const position = await readPosition(exchange);
  run.track(undefined);
  exchange.finish(!committed.error);
  if (committed.error) {
    return { kind: "unknown", failure: unknownOutcome(instance) };
  }
  const failure = await acknowledge(run, position, instance);
  if (failure) return { kind: "unknown", failure };
  await sendAnswer(run, sink.messages, [createPositionMessage(position!)]);
  return ANSWERED;
}

/** Keeps the connection for the session because of state that can't be replayed. */
function keepConnection(exchange: Exchange, instance: string): RunResult {
  const held = {
    exchange,
    instance,
    target: "primary" as const,
    pinned: true,
    wrote: false,
    inTransaction: false,
  };
  return { kind: "held", held };
}

/** Sends the stored answer once a majority has the earlier run of the request. */
async function answerRepeatedRequest(
  run: Run,
  id: string,
  fingerprint: string,
  exchange: Exchange,
  instance: string,
): Promise<Attempt> {
  const { ledger } = run.context;
  exchange.send([createQuery(ledger.lookupText(id)), POSITION_QUERY], 2);
  const found = await exchange.readInternalAnswer();
  const position = found.lost ? undefined : await readPosition(exchange);
  run.track(undefined);
  exchange.finish(!found.lost);
  const row = found.rows[0];
  if (!row || !position) {
    return { kind: "unknown", failure: unknownOutcome(instance) };
  }
  const failure = await acknowledge(run, position, instance);
  if (failure) return { kind: "unknown", failure };
  const stored = ledger.readRow(row);
  run.context.log.write(Events.REQUEST_REPEATED, {
    session: run.identity.id,
    database: run.group.database,
    request: id,
  });
  if (stored.fingerprint !== fingerprint) {
    return { kind: "failed", failure: requestIdReused(id) };
  }
  const answer = stored.answer &&
    createRepeatedAnswer(run.unit, splitMessages(stored.answer));
  if (!answer) return { kind: "failed", failure: requestDone(id) };
  await sendAnswer(run, answer, [createPositionMessage(position)]);
  return ANSWERED;
}

async function sendAnswer(
  run: Run,
  messages: readonly Message[],
  extra: readonly Message[],
): Promise<void> {
  const all = [...withoutReady(messages), ...extra, createReadyForQuery("I")];
  await run.output.write(all.map((item) => item.data));
}

function withoutReady(messages: readonly Message[]): readonly Message[] {
  return messages.filter((item) => item.type !== BackendType.READY_FOR_QUERY);
}

function fingerprintOf(run: Run): string {
  // Leading comments are ignored, because they may contain the id or a position.
  const texts = run.plan.texts.map((text) =>
    text.slice(readLeadingComment(text).end)
  );
  const parameters = run.unit.messages
    .filter((item) => item.type === FrontendType.BIND)
    .map((item) => item.data.subarray(readBind(item)?.end ?? 0));
  return run.context.ledger.fingerprint([...texts, ...parameters]);
}

function closeAsNotRun(run: Run, exchange: Exchange): Attempt {
  exchange.finish(false);
  return notRun(run);
}

function notRun(run: Run): Attempt {
  const message =
    `no primary of ${run.group.database} took the request before its deadline`;
  return {
    kind: "not run",
    failure: createFailure(ResultCodes.PRIMARY_ABSENT, message),
  };
}

/** The failure for an id that stands for a different request. */
export function requestIdReused(id: string): Failure {
  return createFailure(
    ResultCodes.REQUEST_ID_REUSED,
    `request id ${id} was used for another request`,
  );
}

/** The failure for a repeated request whose answer is not available. */
export function requestDone(id: string): Failure {
  return createFailure(
    ResultCodes.REQUEST_DONE,
    `request ${id} has run before; its answer was not kept`,
  );
}

function unsupportedRequest(run: Run, sink: BufferedSink): Failure {
  if (sink.overflowed) {
    return createFailure(
      ResultCodes.MESSAGE_TOO_LARGE,
      `an answer to a request with an id may be ${MAX_BUFFERED_ANSWER_BYTES} bytes long at most`,
    );
  }
  return createFailure(
    ResultCodes.REQUEST_ID_INVALID,
    `a request id on ${run.group.database} stands for one statement or, on BEGIN, for one transaction`,
  );
}

function logSettled(run: Run, id: string): void {
  run.context.log.write(Events.REQUEST_SETTLED, {
    session: run.identity.id,
    database: run.group.database,
    request: id,
  });
}
