/**
 * Begins a caller's transaction that carries a request id: the id is entered
 * into the ledger before the BEGIN is answered, so that a repeated transaction
 * is refused at its start.
 *
 * @module
 */
import {
  createFailure,
  type Failure,
  ResultCodes,
} from "../../kernel/result_codes.ts";
import { relayBatch } from "./batch.ts";
import { StoredSink } from "./caller_output.ts";
import { Exchange, type InternalAnswer } from "./exchange.ts";
import { requestDone } from "./ledger_run.ts";
import { openPrimaryExchange } from "./primary_exchange.ts";
import {
  applySettings,
  POSITION_QUERY,
  type Run,
  type RunEnd,
  runInternal,
} from "./run.ts";
import { acknowledge, readPosition } from "./write_run.ts";

/** Fingerprint of a transaction, whose statements are not known at its start. */
const TRANSACTION_FINGERPRINT = "transaction";
const MAX_BEGIN_ANSWER_BYTES = 64 * 1024;

/** Begins the transaction and enters its request id. */
export async function beginRequest(run: Run, id: string): Promise<RunEnd> {
  const { state } = run;
  const opened = await openPrimaryExchange(run);
  if (opened.isErr()) return { kind: "failed", failure: opened.error };
  const { exchange, instance } = opened.value;
  const sink = new StoredSink(MAX_BEGIN_ANSWER_BYTES);
  const begin = (): ReturnType<typeof relayBatch> =>
    relayBatch(exchange, state, {
      unit: run.unit,
      next: run.next,
      epilogue: [],
    }, sink);
  const ready = await applySettings(exchange, state) && !(await begin()).lost;
  const entered = ready ? await enter(run, id, exchange) : undefined;
  if (!entered || entered.lost || entered.error) {
    const failure = await refuse(run, id, exchange, instance, entered);
    exchange.finish(false);
    return { kind: "failed", failure };
  }
  await run.output.write(sink.messages.map((message) => message.data));
  const held = {
    exchange,
    instance,
    target: "primary" as const,
    pinned: false,
    wrote: true,
    inTransaction: true,
  };
  return { kind: "held", held };
}

/** Enters the id; creates the ledger's table first when it is not there. */
async function enter(
  run: Run,
  id: string,
  exchange: Exchange,
): Promise<InternalAnswer> {
  const { ledger } = run.context;
  const entered = await runInternal(
    exchange,
    ledger.insertText(id, TRANSACTION_FINGERPRINT),
  );
  if (!entered.error || !ledger.isMissingTable(entered.error.sqlState)) {
    return entered;
  }
  await runInternal(exchange, "ROLLBACK");
  await runInternal(exchange, ledger.createText());
  return await runInternal(
    exchange,
    ledger.beginText(id, TRANSACTION_FINGERPRINT),
  );
}

async function refuse(
  run: Run,
  id: string,
  exchange: Exchange,
  instance: string,
  entered: InternalAnswer | undefined,
): Promise<Failure> {
  const { ledger } = run.context;
  const error = entered?.error;
  if (!error || !ledger.isDuplicateRequest(error.sqlState, error.constraint)) {
    const lost = "the connection was lost at the start of the transaction";
    return createFailure(ResultCodes.TRANSACTION_LOST, error?.message ?? lost);
  }
  // "Done" is said only once a majority holds the transaction that ran before.
  await runInternal(exchange, "ROLLBACK");
  exchange.send([POSITION_QUERY], 1);
  const position = await readPosition(exchange);
  return await acknowledge(run, position, instance) ?? requestDone(id);
}
