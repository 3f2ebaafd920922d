/**
 * Callers that repeat statements, without pause or at a given rate.
 *
 * @module
 */
import { setTimeout as sleep } from "node:timers/promises";
import { Caller } from "./caller.ts";
import type { CallerOrder, StatementKind, StatementLoad } from "./orders.ts";
import type { Tally } from "./tally.ts";

/** Pause of a caller after a refusal or an error. */
const RETRY_PAUSE_MS = 100;
const SQLSTATE_LENGTH = 5;

/** Runs all callers of an order to the end of its time. */
export async function runStatements(
  order: CallerOrder,
  load: StatementLoad,
  callers: readonly Caller[],
  tally: Tally,
): Promise<void> {
  const until = performance.now() + order.durationMs;
  const gapMs = load.ratePerSecond
    ? 1_000 * order.callers / load.ratePerSecond
    : 0;
  await Promise.all(
    callers.map((caller) => repeat(caller, load.kinds, gapMs, until, tally)),
  );
}

async function repeat(
  caller: Caller,
  kinds: readonly StatementKind[],
  gapMs: number,
  until: number,
  tally: Tally,
): Promise<void> {
  let due = performance.now() + Math.random() * gapMs;
  for (let number = 1;; number += 1) {
    const early = Math.min(due, until) - performance.now();
    if (early > 0) await sleep(early);
    const begun = performance.now();
    if (begun >= until || due >= until) return;
    // Arrivals that a busy caller missed are dropped, not made up for.
    due = Math.max(due, begun - gapMs) + interval(gapMs);
    await attempt(caller, choose(kinds), `${caller.name}-${number}`, tally);
  }
}

async function attempt(
  caller: Caller,
  kind: StatementKind,
  key: string,
  tally: Tally,
): Promise<void> {
  const begun = performance.now();
  try {
    await caller.run(kind.text, kind.keyed ? [key] : undefined);
    tally.done(kind.name, begun);
  } catch (error) {
    tally.failed(kind.name, begun, error);
    const code = (error as { readonly code?: string }).code;
    if (code?.length !== SQLSTATE_LENGTH) await caller.close();
    await sleep(RETRY_PAUSE_MS);
  }
}

/** Time to the next arrival of a Poisson process. */
function interval(gapMs: number): number {
  return -gapMs * Math.log(1 - Math.random());
}

function choose(kinds: readonly StatementKind[]): StatementKind {
  const sum = kinds.reduce((total, kind) => total + kind.weight, 0);
  let rest = Math.random() * sum;
  for (const kind of kinds) {
    rest -= kind.weight;
    if (rest < 0) return kind;
  }
  return kinds[0]!;
}
