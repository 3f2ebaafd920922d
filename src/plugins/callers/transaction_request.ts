/**
 * Begins a caller's transaction with a request id. The id is inserted into the
 * ledger before the BEGIN is answered, so that a repeated transaction is refused
 * at its start.
 *
 * @module
 */
import { ok } from "neverthrow";
import {
  createFailure,
  type Failure,
  ResultCodes,
} from "../../kernel/result_codes.ts";
import { createQuery } from "../wire/message.ts";
import { relayBatch } from "./batch.ts";
import { BufferedSink } from "./caller_output.ts";
import { Exchange, type InternalAnswer } from "./exchange.ts";
import { requestDone, requestIdReused } from "./ledger_run.ts";
import { openPrimaryExchange } from "./primary_exchange.ts";
import {
  applySettings,
  type HeldConnection,
  POSITION_QUERY,
  type Run,
  runInternalQuery,
  type RunResult,
} from "./run.ts";
import { acknowledge, readPosition } from "./write_run.ts";

/** Fingerprint for all transactions, because their statements are not known at the start. */
const TRANSACTION_FINGERPRINT = "transaction";
const MAX_BEGIN_ANSWER_BYTES = 64 * 1024;

/** Begins the transaction and inserts its request id into the ledger. */
export async function beginRequest(
  run: Run,
  id: string,
  kept?: HeldConnection,
): Promise<RunResult> {
  const { state } = run;
  const opened = kept ? ok(kept) : await openPrimaryExchange(run);
  if (opened.isErr()) return { kind: "failed", failure: opened.error };
  const { exchange, instance } = opened.value;
  if (kept) exchange.keep();
  const sink = new BufferedSink(MAX_BEGIN_ANSWER_BYTES);
  const ready = kept ? ok(true) : await applySettings(exchange, state);
  if (ready.isErr()) {
    run.track(undefined);
    exchange.finish(true);
    return { kind: "failed", failure: ready.error };
  }
  const insertAnswer = ready.value
    ? await insertRequestId(run, id, exchange, sink)
    : undefined;
  if (!insertAnswer || insertAnswer.lost || insertAnswer.error) {
    const failure = await createRefusal(
      run,
      id,
      exchange,
      instance,
      insertAnswer,
    );
    run.track(undefined);
    // A repeated id was found after a rollback.
    exchange.finish(
      failure.code === ResultCodes.REQUEST_DONE ||
        failure.code === ResultCodes.REQUEST_ID_REUSED,
    );
    return { kind: "failed", failure };
  }
  await run.output.write(sink.messages.map((message) => message.data));
  const held = {
    exchange,
    instance,
    target: "primary" as const,
    pinned: kept !== undefined,
    wrote: true,
    inTransaction: true,
  };
  return { kind: "held", held };
}

/** Begins the transaction as the caller asked for it, and inserts the id unless that failed. */
async function beginAndInsert(
  run: Run,
  id: string,
  exchange: Exchange,
  sink: BufferedSink,
): Promise<InternalAnswer> {
  const { unit, next } = run;
  const batch = { unit, next, trailingQueries: [] };
  const begun = await relayBatch(exchange, run.state, batch, sink);
  if (begun.status !== "T") return { ...begun, rows: [], lost: true };
  const { ledger } = run.context;
  const text = ledger.insertText(id, TRANSACTION_FINGERPRINT);
  return await runInternalQuery(exchange, text);
}

/** Begins the transaction with its id in the ledger; creates the ledger's table first if it does not exist. */
async function insertRequestId(
  run: Run,
  id: string,
  exchange: Exchange,
  sink: BufferedSink,
): Promise<InternalAnswer> {
  const { ledger } = run.context;
  const answer = await beginAndInsert(run, id, exchange, sink);
  if (!answer.error || !ledger.isMissingTable(answer.error.sqlState)) {
    return answer;
  }
  await runInternalQuery(exchange, "ROLLBACK");
  await runInternalQuery(exchange, ledger.createText());
  const unused = new BufferedSink(MAX_BEGIN_ANSWER_BYTES);
  return await beginAndInsert(run, id, exchange, unused);
}

async function createRefusal(
  run: Run,
  id: string,
  exchange: Exchange,
  instance: string,
  insertAnswer: InternalAnswer | undefined,
): Promise<Failure> {
  const { ledger } = run.context;
  const error = insertAnswer?.error;
  if (!error || !ledger.isDuplicateRequest(error.sqlState, error.constraint)) {
    const lost = "the connection was lost at the start of the transaction";
    return createFailure(ResultCodes.TRANSACTION_LOST, error?.message ?? lost);
  }
  // The request is reported as done only once a majority has the earlier transaction.
  await runInternalQuery(exchange, "ROLLBACK");
  exchange.send([createQuery(ledger.lookupText(id)), POSITION_QUERY], 2);
  const { rows, lost } = await exchange.readInternalAnswer();
  const position = lost ? undefined : await readPosition(exchange);
  const failure = await acknowledge(run, position, instance);
  if (failure) return failure;
  const stored = rows[0] && ledger.readRow(rows[0]);
  const reused = stored && stored.fingerprint !== TRANSACTION_FINGERPRINT;
  return reused ? requestIdReused(id) : requestDone(id);
}
