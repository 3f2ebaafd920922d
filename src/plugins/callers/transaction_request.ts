/**
 * Enters a request id into the ledger at the start of a caller's transaction.
 *
 * @module
 */
import { createFailure, ResultCodes } from "../../kernel/result_codes.ts";
import { requestDone } from "./ledger_run.ts";
import {
  type HeldConnection,
  type Run,
  type RunEnd,
  runInternal,
} from "./run.ts";

/** Fingerprint of a transaction, whose statements are not known at its start. */
const TRANSACTION_FINGERPRINT = "transaction";

/**
 * Enters the id in the transaction that was just begun. The BEGIN was answered
 * already, so a repeated request fails the transaction with REQUEST_DONE.
 */
export async function enterRequest(
  run: Run,
  held: HeldConnection,
  id: string,
): Promise<RunEnd> {
  const { ledger } = run.context;
  const text = ledger.enterText(id, TRANSACTION_FINGERPRINT);
  const entered = await runInternal(held.exchange, text);
  if (!entered.lost && !entered.error) {
    return { kind: "held", held: { ...held, wrote: true } };
  }
  if (entered.lost) {
    held.exchange.finish(false);
    const message = `the connection to ${held.instance} was lost`;
    const failure = createFailure(ResultCodes.TRANSACTION_LOST, message);
    return { kind: "transaction lost", failure };
  }
  await runInternal(held.exchange, "ROLLBACK");
  const { sqlState, constraint, message } = entered.error!;
  if (ledger.isAbsent(sqlState)) {
    await runInternal(held.exchange, ledger.createText());
    const begun = await runInternal(held.exchange, `BEGIN; ${text}`);
    if (!begun.lost && !begun.error) {
      return { kind: "held", held: { ...held, wrote: true } };
    }
  }
  held.exchange.finish(false);
  const failure = ledger.isRepeat(sqlState, constraint)
    ? requestDone(id)
    : createFailure(ResultCodes.TRANSACTION_LOST, message);
  return { kind: "transaction lost", failure };
}
