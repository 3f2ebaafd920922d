/**
 * Benchmark of what a proxy adds: latency against a direct connection in the
 * same run, statements a second for each core, memory for each idle caller.
 *
 * @module
 */
import { createStack, type Stack } from "../standins/stack/stack.ts";
import {
  accountOf,
  type BenchmarkOptions,
  type BenchmarkResult,
  type Cell,
  round,
} from "./benchmark.ts";
import { Fleet } from "./load/fleet.ts";
import type { CallerAccount, StatementKind, Target } from "./load/orders.ts";
import { processorSeconds, residentBytes } from "./load/process_usage.ts";
import { percentileMs } from "./load/tally.ts";

const DATABASE = "booking";
const INSTANCE_ACCOUNT: CallerAccount = {
  user: "marjoramshed",
  password: "marjoramshed",
  database: DATABASE,
};
const DEFAULT_IDLE_CALLERS = 2_000;
const BUSY_CALLERS = 16;

const READ: StatementKind = {
  name: "read",
  text: "SELECT shop FROM bookings WHERE booking = $1",
  weight: 1,
  keyed: true,
};
const WRITE: StatementKind = {
  name: "write",
  text: "INSERT INTO bookings (booking, parent, shop, wheel) " +
    "VALUES ($1, 'parent', 'shop-1', 'wheel-1')",
  weight: 1,
  keyed: true,
};

/** Runs the benchmark. */
export async function benchOverhead(
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
  const { proxies, databases } = stack.describe();
  const proxy = proxies[0]!;
  const account = accountOf(stack.describe(), DATABASE);
  const { instances } = databases[0]!;
  const primary = instances.find(({ role }) => role === "primary")!;
  const replica = instances.find(({ role }) => role === "replica")!;
  const rows: Record<string, Cell>[] = [];
  for (const callers of [1, BUSY_CALLERS]) {
    for (const kind of [READ, WRITE]) {
      const instance = kind === READ ? replica : primary;
      const ways: readonly [string, CallerAccount, Target, number][] = [
        ["direct", INSTANCE_ACCOUNT, instance.real, instance.pid],
        ["proxy", account, proxy, proxy.pid],
      ];
      for (const [way, login, target, pid] of ways) {
        options.report(`${callers} callers, ${kind.name}, ${way}`);
        rows.push({
          way,
          ...await measureWay(login, target, pid, kind, callers, options),
        });
      }
    }
  }
  const idleCallers = options.callers ?? DEFAULT_IDLE_CALLERS;
  options.report(`connecting ${idleCallers} idle callers`);
  const bytesPerIdleCaller = await measureIdle(
    account,
    { host: proxy.host, port: proxy.port },
    proxy.pid,
    idleCallers,
  );
  return {
    rows,
    summary: { bench: "overhead", rows, idleCallers, bytesPerIdleCaller },
  };
}

async function measureWay(
  account: CallerAccount,
  { host, port }: Target,
  pid: number,
  kind: StatementKind,
  callers: number,
  { seconds }: BenchmarkOptions,
): Promise<Record<string, Cell>> {
  const fleet = await Fleet.connect({
    account,
    targets: [{ host, port }],
    callers,
    processes: callers > 1 ? 2 : 1,
    durationMs: seconds * 1_000,
    load: { workload: "statements", kinds: [kind] },
  });
  try {
    const before = processorSeconds(pid);
    const tally = (await fleet.run()).kind(kind.name);
    const used = processorSeconds(pid) - before;
    return {
      statement: kind.name,
      callers,
      perSecond: Math.round(tally.done / seconds),
      perCoreSecond: Math.round(tally.done / used),
      medianMs: percentileMs(tally.latency, 50),
      p99Ms: percentileMs(tally.latency, 99),
      failed: tally.failed,
    };
  } finally {
    fleet.stop();
  }
}

async function measureIdle(
  account: CallerAccount,
  target: Target,
  pid: number,
  callers: number,
): Promise<number> {
  const idle = (count: number) =>
    Fleet.connect({
      account,
      targets: [target],
      callers: count,
      durationMs: 0,
      load: { workload: "idle" },
    });
  // A first round takes the growth that any load brings.
  (await idle(BUSY_CALLERS)).stop();
  const before = residentBytes(pid);
  const fleet = await idle(callers);
  const after = residentBytes(pid);
  fleet.stop();
  return round((after - before) / callers, 0);
}
