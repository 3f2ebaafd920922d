/**
 * Relays a unit over one upstream connection, and the units that follow it as
 * long as each ends with a Flush.
 *
 * @module
 */
import type { AnswerSink } from "./caller_output.ts";
import type { AnswerResult, ErrorFilter, Exchange } from "./exchange.ts";
import type { SessionState } from "./session_state.ts";
import { createTransmission } from "./transmission.ts";
import type { Unit } from "./unit_reader.ts";

/** Reads the caller's next unit of the same batch; undefined when the caller has disconnected or the unit can't run on this connection. */
export type NextUnit = () => Promise<Unit | undefined>;

/** Units to relay over one connection. */
export interface Batch {
  readonly unit: Unit;
  readonly next: NextUnit;
  /** Complete Query messages of the proxy, sent after the last unit; the function that passes them in reads their answers. */
  readonly trailingQueries: readonly Buffer[];
  readonly interceptsError?: ErrorFilter;
}

/** Sends a batch and passes its answers to the sink. */
export async function relayBatch(
  exchange: Exchange,
  state: SessionState,
  batch: Batch,
  sink: AnswerSink,
): Promise<AnswerResult> {
  let unit = batch.unit;
  let firstError: AnswerResult["error"];
  for (;;) {
    const { connection } = exchange;
    const transmission = createTransmission(unit, state.statements, connection);
    const isLast = unit.end !== "flush";
    const trailingQueries = isLast ? batch.trailingQueries : [];
    const readyCount = isLast ? 1 + trailingQueries.length : 0;
    exchange.send([...transmission.data, ...trailingQueries], readyCount);
    // After an error the upstream discards all messages up to the Sync.
    const expectedAnswers = firstError
      ? transmission.expectedAnswers.slice(isLast ? -1 : Infinity)
      : transmission.expectedAnswers;
    const result = await exchange.relay(
      expectedAnswers,
      sink,
      batch.interceptsError,
    );
    firstError ??= result.error;
    if (isLast || result.lost) return { ...result, error: firstError };
    const nextUnit = await batch.next();
    if (!nextUnit) return { error: firstError, lost: true };
    unit = nextUnit;
  }
}
