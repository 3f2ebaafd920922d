/**
 * A process of callers, steered over IPC: connects all of them, says so, runs
 * the load, reports and ends.
 *
 * @module
 */
import { setTimeout as sleep } from "node:timers/promises";
import { Caller } from "./caller.ts";
import type { CallerOrder } from "./orders.ts";
import { runSessions } from "./session_callers.ts";
import { runStatements } from "./statement_callers.ts";
import { Tally } from "./tally.ts";

/** Logins under way at one time: each costs a proxy a password hash. */
const PARALLEL_LOGINS = 8;

process.on("disconnect", () => process.exit(0));
process.once("message", (order: CallerOrder) => void connectAll(order));

async function connectAll(order: CallerOrder): Promise<void> {
  const callers = Array.from(
    { length: order.callers },
    (_, index) =>
      new Caller(order.firstIndex + index, order.account, order.targets),
  );
  const left = [...callers];
  await Promise.all(Array.from({ length: PARALLEL_LOGINS }, async () => {
    for (let one = left.pop(); one; one = left.pop()) {
      await one.connect().catch(() => undefined);
    }
  }));
  process.once("message", (start: CallerOrder) => void run(start, callers));
  process.send?.("connected");
}

async function run(
  order: CallerOrder,
  callers: readonly Caller[],
): Promise<void> {
  const { load, startAt } = order;
  await sleep(Math.max(0, startAt - Date.now()));
  const tally = new Tally(startAt);
  if (load.workload === "statements") {
    await runStatements(order, load, callers, tally);
  }
  if (load.workload === "sessions") {
    await runSessions(order, load, callers, tally);
  }
  if (load.workload === "idle") await sleep(order.durationMs);
  process.send?.(tally.report(), () => process.disconnect());
}
