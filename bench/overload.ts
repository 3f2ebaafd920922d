/**
 * Benchmark of overload: a base load at half of the capacity runs all the
 * time, a surge brings the sum to three times the capacity and ends.
 *
 * @module
 */
import { setTimeout as sleep } from "node:timers/promises";
import { createStack, type Stack } from "../standins/stack/stack.ts";
import {
  accountOf,
  type BenchmarkOptions,
  type BenchmarkResult,
  round,
} from "./benchmark.ts";
import { Fleet, runLoad } from "./load/fleet.ts";
import { INTERVAL_MS, type StatementKind } from "./load/orders.ts";
import { type KindTally, percentileMs, type Tally } from "./load/tally.ts";

const DATABASE = "booking";
const PEAK_CALLERS = 60;
const DEFAULT_SURGE_CALLERS = 1_500;
const BASE_CALLERS = 200;
const BASE_PART = 0.5;
const SURGE_PART = 2.5;
const CALM_MS = 4_000;

const BOOKING: StatementKind = {
  name: "booking",
  text: "INSERT INTO bookings (booking, parent, shop, wheel) " +
    "VALUES ($1, 'parent', 'shop-1', 'wheel-1')",
  weight: 1,
  keyed: true,
};
const BROWSE: StatementKind = {
  name: "browse",
  text: "SELECT count(*) FROM generate_series(1, 20000)",
  weight: 9,
  keyed: false,
};
const KINDS = [BOOKING, BROWSE];

/** Runs the benchmark. */
export async function benchOverload(
  options: BenchmarkOptions,
): Promise<BenchmarkResult> {
  const stack = await createStack({ databases: [DATABASE], logLevel: "error" });
  try {
    return await measure(stack, options);
  } finally {
    await stack.stop();
  }
}

async function measure(
  stack: Stack,
  options: BenchmarkOptions,
): Promise<BenchmarkResult> {
  const account = accountOf(stack.describe(), DATABASE);
  const targets = stack.describe().proxies.map(({ host, port }) => ({
    host,
    port,
  }));
  const durationMs = options.seconds * 1_000;
  options.report("finding the peak with callers that send without pause");
  const peak = await runLoad({
    account,
    targets,
    callers: PEAK_CALLERS,
    durationMs,
    load: { workload: "statements", kinds: KINDS },
  });
  const capacity = peak.total(({ done }) => done) / options.seconds;
  options.report(`the peak is ${Math.round(capacity)} statements a second`);
  const fleetOf = (callers: number, part: number, length: number) =>
    Fleet.connect({
      account,
      targets,
      callers,
      durationMs: length,
      load: {
        workload: "statements",
        kinds: KINDS,
        ratePerSecond: part * capacity,
      },
    });
  const surgeCallers = options.callers ?? DEFAULT_SURGE_CALLERS;
  options.report(`connecting ${BASE_CALLERS + surgeCallers} callers`);
  const base = await fleetOf(
    BASE_CALLERS,
    BASE_PART,
    CALM_MS + 2 * durationMs,
  );
  const surge = await fleetOf(surgeCallers, SURGE_PART, durationMs);
  try {
    const baseRun = base.run();
    await sleep(CALM_MS);
    options.report("the surge begins");
    const surgeTally = await surge.run();
    options.report("the surge has ended");
    return summarize(capacity, options.seconds, await baseRun, surgeTally);
  } finally {
    base.stop();
    surge.stop();
  }
}

function summarize(
  capacity: number,
  seconds: number,
  base: Tally,
  surge: Tally,
): BenchmarkResult {
  const from = CALM_MS / INTERVAL_MS;
  const to = from + seconds * 1_000 / INTERVAL_MS;
  const during = (kind: KindTally) => sum(kind.doneByInterval.slice(from, to));
  const goodput = (base.total(during) + surge.total(({ done }) => done)) /
    seconds;
  const rows = KINDS.map(({ name }) => {
    const kind = surge.kind(name);
    return {
      kind: name,
      done: kind.done,
      refused: kind.failed,
      donePart: round(kind.done / (kind.done + kind.failed), 3),
      medianMs: percentileMs(kind.latency, 50),
      p99Ms: percentileMs(kind.latency, 99),
      refusalMedianMs: percentileMs(kind.errorLatency, 50),
      refusalP99Ms: percentileMs(kind.errorLatency, 99),
    };
  });
  const errors = Object.fromEntries(
    [...surge.kinds].map(([name, kind]) => [name, kind.errors]),
  );
  return {
    rows,
    summary: {
      bench: "overload",
      capacityPerSecond: Math.round(capacity),
      goodputPerSecond: Math.round(goodput),
      goodputPart: round(goodput / capacity, 3),
      offeredPart: round(
        surge.total(({ done, failed }) => done + failed) / seconds / capacity +
          BASE_PART,
      ),
      recoveryMs: recovery(base, to),
      unexplained: base.total(({ unexplained }) => unexplained) +
        surge.total(({ unexplained }) => unexplained),
      kinds: rows,
      errors,
    },
  };
}

/** Time from the end of the surge to the last error of the base load, in ms. */
function recovery(base: Tally, end: number): number {
  const last = Math.max(
    ...[...base.kinds.values()].map(({ errorsByInterval }) =>
      errorsByInterval.findLastIndex((count) => count > 0)
    ),
  );
  return Math.max(0, (last + 1 - end) * INTERVAL_MS);
}

function sum(values: readonly (number | undefined)[]): number {
  return values.reduce<number>((total, value) => total + (value ?? 0), 0);
}
