/**
 * Benchmark of failover: primaries killed and isolated under load, the gap as
 * callers see it, and what was lost or doubled.
 *
 * @module
 */
import { setTimeout as sleep } from "node:timers/promises";
import { createStack, type Stack } from "../standins/stack/stack.ts";
import {
  accountOf,
  type BenchmarkOptions,
  type BenchmarkResult,
  type Cell,
} from "./benchmark.ts";
import { type Booking, BookingCaller } from "./booking_caller.ts";
import { checkBookings, failoverGap } from "./booking_checks.ts";

const DATABASE = "booking";
const DEFAULT_CALLERS = 16;
const CALM_MS = 1_000;
const SETTLE_TIMEOUT_MS = 30_000;
const POLL_INTERVAL_MS = 50;

/** A way to take the primary away and to bring its instance back. */
interface FaultKind {
  readonly name: "kill" | "isolate";
  begin(stack: Stack, instance: string): Promise<void>;
  end(stack: Stack, instance: string): Promise<void>;
}

const FAULTS: readonly FaultKind[] = [
  {
    name: "kill",
    begin: (stack, instance) => stack.killInstance(instance),
    end: async (stack, instance) => {
      await stack.restartInstance(instance);
    },
  },
  {
    name: "isolate",
    begin: (stack, instance) =>
      stack.setNetworkFaults([
        { kind: "cut", from: { host: instance }, to: {} },
      ]),
    end: (stack) => stack.setNetworkFaults([]),
  },
];

/** Runs the benchmark. */
export async function benchFailover(
  options: BenchmarkOptions,
): Promise<BenchmarkResult> {
  const stack = await createStack({
    databases: [DATABASE],
    network: true,
    latency: true,
    logLevel: "error",
  });
  try {
    return await measure(stack, options);
  } finally {
    await stack.stop();
  }
}

/** Log that a whole instance may still have to apply, in bytes. */
const NEAR_BYTES = 10_000n;

async function measure(
  stack: Stack,
  options: BenchmarkOptions,
): Promise<BenchmarkResult> {
  const account = accountOf(stack.describe(), DATABASE);
  const { proxies } = stack.describe();
  const callers = Array.from(
    { length: options.callers ?? DEFAULT_CALLERS },
    (_, index) => new BookingCaller(index, account, proxies),
  );
  const ended = new AbortController();
  const runs = callers.map((caller) => caller.run(ended.signal));
  const bookings = () => callers.flatMap((caller) => caller.bookings);
  const gaps = new Map<string, (number | null)[]>();
  try {
    for (const fault of FAULTS) {
      const list: (number | null)[] = [];
      gaps.set(fault.name, list);
      for (let round = 1; round <= options.rounds; round += 1) {
        await sleep(CALM_MS);
        const gap = await runRound(stack, fault, bookings);
        options.report(`${fault.name} ${round}: ${gap} ms`);
        list.push(gap);
      }
    }
  } finally {
    ended.abort();
    await Promise.all(runs);
  }
  const all = bookings();
  const checks = await checkBookings(stack, DATABASE, all);
  const violations = callers.reduce(
    (sum, caller) => sum + caller.readYourWritesViolations,
    0,
  );
  const rows = [...gaps].map(([fault, list]) => describeGaps(fault, list));
  return {
    rows,
    summary: {
      bench: "failover",
      faults: rows,
      acknowledged: all.length,
      ...checks,
      readYourWritesViolations: violations,
      gaps: Object.fromEntries(gaps),
    },
  };
}

async function runRound(
  stack: Stack,
  fault: FaultKind,
  bookings: () => readonly Booking[],
): Promise<number | null> {
  const primary = await stack.findPrimary(DATABASE);
  if (!primary) throw new Error(`${DATABASE} has no primary`);
  const { name } = primary.instance;
  const begun = performance.now();
  await fault.begin(stack, name);
  await until(async () => {
    const next = await stack.findPrimary(DATABASE);
    return next !== undefined && next.term > primary.term;
  });
  await sleep(CALM_MS);
  const ended = performance.now();
  await fault.end(stack, name);
  await until(() => isWhole(stack));
  return failoverGap(bookings(), begun, ended);
}

/** Whether every instance follows one primary and has applied its log; a restarted one first copies it, and can't be fenced before. */
async function isWhole(stack: Stack): Promise<boolean> {
  const text = "SELECT * FROM marjoramshed_status()";
  const names = stack.plan.instances.map((instance) => instance.name);
  const answers = await Promise.all(
    names.map((name) => stack.query(name, text).catch(() => [])),
  );
  const statuses = answers.flat();
  const primary = statuses.find((status) => status["role"] === "primary");
  if (!primary || statuses.length < names.length) return false;
  return statuses.every((status) =>
    status["role"] !== "fenced" &&
    status["last_term"] === primary["last_term"] &&
    BigInt(String(primary["received"])) - BigInt(String(status["applied"])) <=
      NEAR_BYTES
  );
}

async function until(condition: () => Promise<boolean>): Promise<void> {
  const deadline = performance.now() + SETTLE_TIMEOUT_MS;
  while (!await condition()) {
    if (performance.now() > deadline) throw new Error("no failover in time");
    await sleep(POLL_INTERVAL_MS);
  }
}

function describeGaps(
  fault: string,
  gaps: readonly (number | null)[],
): Readonly<Record<string, Cell>> {
  const seen = gaps.filter((gap) => gap !== null).sort((a, b) => a - b);
  return {
    fault,
    rounds: gaps.length,
    unmeasured: gaps.length - seen.length,
    medianMs: seen[Math.floor(seen.length / 2)] ?? "-",
    worstMs: seen.at(-1) ?? "-",
  };
}
