/**
 * Runs a request that carries an id: at most once, and answered with the stored
 * answer when it is repeated, also after its first outcome was unknown.
 *
 * @module
 */
import { setTimeout as delay } from "node:timers/promises";
import { Events } from "../../kernel/events.ts";
import {
  createFailure,
  type Failure,
  ResultCodes,
} from "../../kernel/result_codes.ts";
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
import { StoredSink } from "./caller_output.ts";
import { Exchange } from "./exchange.ts";
import { openPrimaryExchange } from "./primary_exchange.ts";
import {
  ANSWERED,
  applySettings,
  createPositionMessage,
  isNotPrimary,
  POSITION_QUERY,
  type Run,
  type RunEnd,
  runInternal,
} from "./run.ts";
import { acknowledge, readPosition, unknownOutcome } from "./write_run.ts";

/** Longest answer that is kept in memory until its commit, in bytes. */
const MAX_HELD_ANSWER_BYTES = 16 * 1024 * 1024;
/** Pause before a request whose outcome is unknown is settled, in ms. */
const SETTLE_PAUSE_MS = 20;

const LEADING_COMMENT = /^(\s*(\/\*[\s\S]*?\*\/|--[^\n]*(\n|$)))*\s*/;

type Attempt =
  | RunEnd
  /** The request did not run. */
  | { readonly kind: "not run"; readonly failure: Failure }
  /** The request may have run; the ledger will tell. */
  | { readonly kind: "unknown"; readonly failure: Failure };

/** Runs a request under its id until its outcome is settled or the deadline passes. */
export async function runRequest(run: Run, id: string): Promise<RunEnd> {
  let unknown: Failure | undefined;
  for (;;) {
    const attempt = await attemptRequest(run, id);
    if (attempt.kind === "failed" && unknown) {
      return { kind: "failed", failure: unknown };
    }
    if (attempt.kind !== "unknown" && attempt.kind !== "not run") {
      if (unknown) logSettled(run, id);
      return attempt;
    }
    if (attempt.kind === "unknown") unknown = attempt.failure;
    if (performance.now() >= run.deadline) {
      return { kind: "failed", failure: unknown ?? attempt.failure };
    }
    await delay(SETTLE_PAUSE_MS);
  }
}

async function attemptRequest(run: Run, id: string): Promise<Attempt> {
  const { context, group, state } = run;
  const opened = await openPrimaryExchange(run);
  if (opened.isErr()) return { kind: "failed", failure: opened.error };
  const { exchange, instance } = opened.value;
  const attempt = await applySettings(exchange, state)
    ? await runEntered(run, id, exchange, instance)
    : notRun(run);
  if (attempt.kind === "unknown" || attempt.kind === "not run") {
    context.health.reportFailure(group.database, instance);
  }
  return attempt;
}

async function runEntered(
  run: Run,
  id: string,
  exchange: Exchange,
  instance: string,
): Promise<Attempt> {
  const { ledger } = run.context;
  const fingerprint = fingerprintOf(run);
  exchange.send([createQuery(ledger.beginText(id, fingerprint))], 1);
  const entered = await exchange.readInternal();
  if (entered.lost) return notRunOn(run, exchange);
  if (entered.error) {
    const { error } = entered;
    await runInternal(exchange, "ROLLBACK");
    if (ledger.isDuplicateRequest(error.sqlState, error.constraint)) {
      return await answerRepeat(run, id, fingerprint, exchange, instance);
    }
    if (ledger.isMissingTable(error.sqlState)) {
      const created = await runInternal(exchange, ledger.createText());
      exchange.finish(!created.lost);
      return notRun(run);
    }
    if (isNotPrimary(error)) return notRunOn(run, exchange);
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
  const sink = new StoredSink(MAX_HELD_ANSWER_BYTES);
  const batch = {
    unit: run.unit,
    next: run.next,
    epilogue: [],
    keepsError: isNotPrimary,
  };
  const end = await relayBatch(exchange, run.state, batch, sink);
  // Nothing was committed yet, so a loss here rolls the request back.
  if (end.lost) return notRunOn(run, exchange);
  if (end.error) {
    const undone = await runInternal(exchange, "ROLLBACK");
    exchange.finish(!undone.lost);
    if (isNotPrimary(end.error)) return notRun(run);
    await giveAnswer(run, sink.messages, []);
    return ANSWERED;
  }
  if (sink.overflowed || end.status !== "T") {
    exchange.finish(false);
    return { kind: "failed", failure: unfit(run, sink) };
  }
  const answer = Buffer.concat(
    withoutReady(sink.messages).map((item) => item.data),
  );
  const kept = answer.length <= ledger.maxAnswerBytes ? answer : undefined;
  exchange.send([createQuery(ledger.commitText(id, kept)), POSITION_QUERY], 2);
  const committed = await exchange.readInternal();
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
  await giveAnswer(run, sink.messages, [createPositionMessage(position!)]);
  return ANSWERED;
}

/** Gives the stored answer, once a majority holds the request that ran before. */
async function answerRepeat(
  run: Run,
  id: string,
  fingerprint: string,
  exchange: Exchange,
  instance: string,
): Promise<Attempt> {
  const { ledger } = run.context;
  exchange.send([createQuery(ledger.lookupText(id)), POSITION_QUERY], 2);
  const found = await exchange.readInternal();
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
    return { kind: "failed", failure: reused(id) };
  }
  const answer = stored.answer &&
    createRepeatedAnswer(run.unit, splitMessages(stored.answer));
  if (!answer) return { kind: "failed", failure: requestDone(id) };
  await giveAnswer(run, answer, [createPositionMessage(position)]);
  return ANSWERED;
}

async function giveAnswer(
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
  // The id and a position may stand in leading comments, so these don't count.
  const texts = run.plan.texts.map((text) => text.replace(LEADING_COMMENT, ""));
  const parameters = run.unit.messages
    .filter((item) => item.type === FrontendType.BIND)
    .map((item) => item.data.subarray(readBind(item)?.end ?? 0));
  return run.context.ledger.fingerprint([...texts, ...parameters]);
}

function notRunOn(run: Run, exchange: Exchange): Attempt {
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

function reused(id: string): Failure {
  return createFailure(
    ResultCodes.REQUEST_ID_REUSED,
    `request id ${id} was used for another request`,
  );
}

/** The failure that says that a request has run and its answer is not kept. */
export function requestDone(id: string): Failure {
  return createFailure(
    ResultCodes.REQUEST_DONE,
    `request ${id} has run before; its answer was not kept`,
  );
}

function unfit(run: Run, sink: StoredSink): Failure {
  if (sink.overflowed) {
    return createFailure(
      ResultCodes.MESSAGE_TOO_LARGE,
      `an answer to a request with an id may be ${MAX_HELD_ANSWER_BYTES} bytes long at most`,
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
