/**
 * `npm run demo`: books wheel swaps and reads them back through changing
 * proxies, kills the primary in the middle, and counts what was lost, doubled
 * or not read back. Progress goes to standard error, the result is one line of
 * JSON on standard output. Starts just the database `booking` of the example.
 *
 * @module
 */
import { parseArgs } from "node:util";
import { createStack, type Stack } from "../standins/stack/stack.ts";
import { BookingCaller } from "./booking_caller.ts";
import { checkBookings, failoverGap } from "./booking_checks.ts";
import { countReads, replicaShare } from "./proxy_metrics.ts";

const DATABASE = "booking";
const CALLERS = 8;
const DEFAULT_SECONDS = 16;
const PROGRESS_INTERVAL_MS = 1_000;

interface DemoResult {
  readonly acknowledged: number;
  readonly lost: number;
  readonly doubled: number;
  readonly readYourWritesViolations: number;
  readonly replicaReadShare: number;
  readonly failoverGapMs: number | null;
}

const { values: flags } = parseArgs({
  options: {
    seconds: { type: "string", default: String(DEFAULT_SECONDS) },
    "no-kill": { type: "boolean", default: false },
    network: { type: "boolean", default: false },
    "log-level": { type: "string", default: "error" },
  },
});

function report(text: string): void {
  process.stderr.write(text + "\n");
}

function showProgress(callers: readonly BookingCaller[]): NodeJS.Timeout {
  let before = 0;
  let second = 0;
  return setInterval(() => {
    second += 1;
    const booked = sum(callers, (caller) => caller.bookings.length);
    const reads = sum(callers, (caller) => caller.reads);
    const failures = sum(callers, (caller) => caller.failures);
    const bar = "#".repeat(Math.min(60, Math.ceil((booked - before) / 10)));
    report(
      `${
        String(second).padStart(3)
      } s  ${booked} booked, ${reads} read back, ${failures} failed attempts  ${bar}`,
    );
    before = booked;
  }, PROGRESS_INTERVAL_MS);
}

async function killPrimary(stack: Stack): Promise<number> {
  const primary = await stack.findPrimary(DATABASE);
  if (!primary) throw new Error(`${DATABASE} has no primary`);
  const killedAt = performance.now();
  await stack.killInstance(primary.instance.name);
  report(`killed the primary ${primary.instance.name}, term ${primary.term}`);
  return killedAt;
}

async function runDemo(stack: Stack): Promise<DemoResult> {
  const { user, password, proxies } = stack.describe();
  const account = { user, password, database: DATABASE };
  const callers = Array.from(
    { length: CALLERS },
    (_, index) => new BookingCaller(index, account, proxies),
  );
  const durationMs = Number(flags.seconds) * 1_000;
  const progress = showProgress(callers);
  const end = AbortSignal.timeout(durationMs);
  const runs = callers.map((caller) => caller.run(end));
  let killedAt: number | undefined;
  if (!flags["no-kill"]) {
    await new Promise((resolve) => setTimeout(resolve, durationMs / 2));
    killedAt = await killPrimary(stack);
  }
  await Promise.all(runs);
  clearInterval(progress);
  const bookings = callers.flatMap((caller) => caller.bookings);
  const faults = await checkBookings(stack, DATABASE, bookings);
  const reads = await countReads(proxies);
  return {
    acknowledged: bookings.length,
    ...faults,
    readYourWritesViolations: sum(
      callers,
      (caller) => caller.readYourWritesViolations,
    ),
    replicaReadShare: Number(replicaShare(reads).toFixed(4)),
    failoverGapMs: killedAt === undefined
      ? null
      : failoverGap(bookings, killedAt),
  };
}

function sum(
  callers: readonly BookingCaller[],
  value: (caller: BookingCaller) => number,
): number {
  return callers.reduce((total, caller) => total + value(caller), 0);
}

// The end of this process takes its daemons with it.
process.once("SIGTERM", () => process.exit(1));
process.once("SIGINT", () => process.exit(1));
report(`starting the database ${DATABASE}, 3 instances and 4 proxies`);
if (flags["no-kill"]) report("the primary is not killed in this run");
const stack = await createStack({
  databases: [DATABASE],
  network: flags.network,
  latency: flags.network,
  logLevel: flags["log-level"] as "error",
});
let failed = true;
try {
  const result = await runDemo(stack);
  const broken = result.lost + result.doubled +
    result.readYourWritesViolations;
  const unmeasured = !flags["no-kill"] && result.failoverGapMs === null;
  failed = broken > 0 || result.acknowledged === 0 || unmeasured;
  process.stdout.write(JSON.stringify(result) + "\n");
} finally {
  await stack.stop();
}
process.exit(failed ? 1 : 0);
