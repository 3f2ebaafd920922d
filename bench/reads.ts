/**
 * Benchmark of reads: share served by replicas, checked for read-your-writes
 * and stated ages, against the baselines, and the share against the lag.
 *
 * @module
 */
import { setTimeout as sleep } from "node:timers/promises";
import type { StackOptions } from "../standins/stack/options.ts";
import { createStack, type Stack } from "../standins/stack/stack.ts";
import {
  accountOf,
  type BenchmarkOptions,
  type BenchmarkResult,
  type Cell,
  round,
} from "./benchmark.ts";
import { runLoad } from "./load/fleet.ts";
import { percentileMs } from "./load/tally.ts";
import { countReads, type ReadCounts, replicaShare } from "./proxy_metrics.ts";

const DATABASE = "booking";
const DEFAULT_SESSIONS = 60;
const PAUSE_MS = 100;
const LAG_MS = 50;
const SPIKE_LAG_MS = 2_000;
const SPIKE_INTERVAL_MS = 5_000;
const SPIKE_MS = 1_000;
const LAGS_MS = [0, 50, 200, 1_000, 5_000];

const POLICIES: readonly NonNullable<StackOptions["policy"]>[] = [
  "session",
  "primary",
  "sticky",
];

/** Runs the benchmark. */
export async function benchReads(
  options: BenchmarkOptions,
): Promise<BenchmarkResult> {
  const policies: Record<string, Cell>[] = [];
  const lags: Record<string, Cell>[] = [];
  for (const policy of POLICIES) {
    options.report(`policy ${policy}`);
    const stack = await createStack({
      databases: [DATABASE],
      network: true,
      latency: true,
      policy,
      applyLagMs: LAG_MS,
      logLevel: "error",
    });
    try {
      const spikes = new LagSpikes(stack);
      policies.push({ policy, ...await measure(stack, options) });
      await spikes.stop();
      if (policy !== "session") continue;
      for (const lagMs of LAGS_MS) {
        options.report(`apply lag ${lagMs} ms`);
        await setLag(stack, lagMs);
        lags.push({ lagMs, ...await measure(stack, options) });
      }
    } finally {
      await stack.stop();
    }
  }
  const lagRows = lags.map(({ lagMs, ...rest }) => ({
    policy: `session, lag ${lagMs} ms`,
    ...rest,
  }));
  return {
    rows: [...policies, ...lagRows],
    summary: { bench: "reads", policies, lags },
  };
}

async function measure(
  stack: Stack,
  options: BenchmarkOptions,
): Promise<Record<string, Cell>> {
  const { proxies } = stack.describe();
  const group = stack.example.document.environments["production"]!.groups
    .find(({ database }) => database === DATABASE)!;
  const before = await countReads(proxies);
  const tally = await runLoad({
    account: accountOf(stack.describe(), DATABASE),
    targets: proxies.map(({ host, port }) => ({ host, port })),
    callers: options.callers ?? DEFAULT_SESSIONS,
    durationMs: options.seconds * 1_000,
    load: {
      workload: "sessions",
      maxAgeMs: group.reads.maxAge,
      pauseMs: PAUSE_MS,
    },
  });
  const counts = difference(await countReads(proxies), before);
  const reads = tally.kind("read");
  const writes = tally.kind("write");
  return {
    reads: reads.done,
    writes: writes.done,
    replicaShare: round(replicaShare(counts), 4),
    readMedianMs: percentileMs(reads.latency, 50),
    readP99Ms: percentileMs(reads.latency, 99),
    writeMedianMs: percentileMs(writes.latency, 50),
    failed: reads.failed + writes.failed,
    readYourWritesViolations: tally.readYourWritesViolations,
    ageViolations: tally.ageViolations,
  };
}

function difference(after: ReadCounts, before: ReadCounts): ReadCounts {
  return {
    primary: after.primary - before.primary,
    replica: after.replica - before.replica,
  };
}

/** Lets the replicas fall behind now and then, one after another. */
class LagSpikes {
  readonly #stack: Stack;
  readonly #ended: Promise<void>;
  #running = true;

  constructor(stack: Stack) {
    this.#stack = stack;
    this.#ended = this.#run();
  }

  async stop(): Promise<void> {
    this.#running = false;
    await this.#ended;
  }

  async #run(): Promise<void> {
    const replicas = replicasOf(this.#stack);
    for (let round = 0; this.#running; round += 1) {
      const replica = replicas[round % replicas.length]!;
      await sleep(SPIKE_INTERVAL_MS - SPIKE_MS);
      await applyLag(this.#stack, replica, SPIKE_LAG_MS);
      await sleep(SPIKE_MS);
      await applyLag(this.#stack, replica, LAG_MS);
    }
  }
}

function replicasOf(stack: Stack): readonly string[] {
  return stack.describe().databases[0]!.instances
    .filter(({ role }) => role === "replica")
    .map(({ name }) => name);
}

async function setLag(stack: Stack, lagMs: number): Promise<void> {
  for (const name of replicasOf(stack)) await applyLag(stack, name, lagMs);
}

async function applyLag(
  stack: Stack,
  instance: string,
  lagMs: number,
): Promise<void> {
  await stack.query(instance, `SELECT * FROM marjoramshed_lag(0, ${lagMs})`);
}
