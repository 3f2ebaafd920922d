/**
 * Relays a unit, and while units end with a Flush the units after it, over one
 * upstream connection.
 *
 * @module
 */
import type { AnswerSink } from "./caller_output.ts";
import type { AnswerEnd, ErrorFilter, Exchange } from "./exchange.ts";
import type { SessionState } from "./session_state.ts";
import { createSending } from "./steps.ts";
import type { Unit } from "./unit_reader.ts";

/** Gives the caller's next unit of the same batch; undefined when the caller is gone or the unit can't run here. */
export type NextUnit = () => Promise<Unit | undefined>;

/** What to relay. */
export interface Batch {
  readonly unit: Unit;
  readonly next: NextUnit;
  /** Queries of the proxy's own, each sent whole after the last unit; their answers are left to the sender. */
  readonly epilogue: readonly Buffer[];
  readonly keepsError?: ErrorFilter;
}

/** Sends a batch and gives its answers to the sink. */
export async function relayBatch(
  exchange: Exchange,
  state: SessionState,
  batch: Batch,
  sink: AnswerSink,
): Promise<AnswerEnd> {
  let unit = batch.unit;
  let failed: AnswerEnd["error"];
  for (;;) {
    const { prepared } = exchange.connection;
    const sending = createSending(unit, state.statements, prepared);
    const last = unit.end !== "flush";
    const epilogue = last ? batch.epilogue : [];
    const readies = last ? 1 + epilogue.length : 0;
    exchange.send([...sending.data, ...epilogue], readies);
    // After an error an upstream discards everything up to the Sync.
    const steps = failed
      ? sending.steps.slice(last ? -1 : Infinity)
      : sending.steps;
    const end = await exchange.relay(steps, sink, batch.keepsError);
    failed ??= end.error;
    if (last || end.lost) return { ...end, error: failed };
    const following = await batch.next();
    if (!following) return { error: failed, lost: true };
    unit = following;
  }
}
