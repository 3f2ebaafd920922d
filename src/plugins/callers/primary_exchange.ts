/**
 * Opens an exchange with the confirmed primary to run a unit.
 *
 * @module
 */
import { err, ok, type Result } from "neverthrow";
import type { Failure } from "../../kernel/result_codes.ts";
import { Exchange } from "./exchange.ts";
import { acquirePrimary } from "./primary_connection.ts";
import { logWrite, type Run } from "./run.ts";

/** An exchange with the primary, and the name of that instance. */
export interface PrimaryExchange {
  readonly exchange: Exchange;
  readonly instance: string;
}

/** Acquires a connection to the primary before the unit's deadline and logs the chosen instance. */
export async function openPrimaryExchange(
  run: Run,
): Promise<Result<PrimaryExchange, Failure>> {
  const { context, group } = run;
  const { priority } = group.writes;
  const acquired = await acquirePrimary(context, group, priority, run.deadline);
  if (acquired.isErr()) return err(acquired.error);
  const { connection, instance } = acquired.value;
  run.track(connection);
  logWrite(run, instance);
  return ok({ exchange: new Exchange(connection), instance });
}
