/**
 * Benchmark of the connection budget: four proxies with uneven demand over the
 * connections of one group; a proxy is killed at the end.
 *
 * @module
 */
import { setTimeout as sleep } from "node:timers/promises";
import type { ProxyDescription } from "../standins/stack/options.ts";
import { createStack, type Stack } from "../standins/stack/stack.ts";
import {
  accountOf,
  type BenchmarkOptions,
  type BenchmarkResult,
  round,
} from "./benchmark.ts";
import { Fleet } from "./load/fleet.ts";
import { INTERVAL_MS, type StatementKind } from "./load/orders.ts";
import type { Tally } from "./load/tally.ts";
import { countConnections, type InstanceUse } from "./proxy_metrics.ts";

const DATABASE = "stock";
const LIMIT = 20;
const DEFAULT_CALLERS_PER_PROXY = 500;
const SAMPLE_INTERVAL_MS = 200;
const TAKEOVER_TIMEOUT_MS = 15_000;
const USED_PART = 0.9;

/** Statements a second of the callers of each proxy; the first two send without pause. */
const RATES: readonly (number | undefined)[] = [undefined, undefined, 100, 10];

const READ: StatementKind = {
  name: "read",
  text: "SELECT count(*) FROM generate_series(1, 10000)",
  weight: 1,
  keyed: false,
};

interface Sample {
  readonly at: number;
  readonly uses: ReadonlyMap<string, InstanceUse>;
}

/** Runs the benchmark. */
export async function benchConnections(
  options: BenchmarkOptions,
): Promise<BenchmarkResult> {
  const stack = await createStack({ databases: [DATABASE], logLevel: "error" });
  const fleets: Fleet[] = [];
  try {
    return await measure(stack, fleets, options);
  } finally {
    for (const fleet of fleets) fleet.stop();
    await stack.stop();
  }
}

async function measure(
  stack: Stack,
  fleets: Fleet[],
  options: BenchmarkOptions,
): Promise<BenchmarkResult> {
  const { proxies } = stack.describe();
  const callers = options.callers ?? DEFAULT_CALLERS_PER_PROXY;
  const steadyMs = options.seconds * 1_000;
  options.report(`connecting ${callers} callers to each of ${proxies.length}`);
  for (const [index, proxy] of proxies.entries()) {
    fleets.push(
      await Fleet.connect({
        account: accountOf(stack.describe(), DATABASE),
        targets: [{ host: proxy.host, port: proxy.port }],
        callers,
        processes: 1,
        durationMs: 2 * steadyMs + TAKEOVER_TIMEOUT_MS,
        load: {
          workload: "statements",
          kinds: [READ],
          ratePerSecond: RATES[index],
        },
      }),
    );
  }
  const samples: Sample[] = [];
  const runs = fleets.map((fleet) => fleet.run().catch(() => undefined));
  await sampleFor(proxies, 2 * steadyMs, samples);
  const steady = samples.slice(Math.floor(samples.length / 2));
  const byProxy = await describeProxies(proxies);
  options.report(`killing ${proxies[0]!.name}`);
  await stack.process(proxies[0]!.name).kill();
  const takeoverMs = await takeover(proxies.slice(1));
  const tallies = await Promise.all(runs);
  const result = summarize(steady, takeoverMs, tallies.slice(1));
  return { ...result, summary: { ...result.summary, byProxy } };
}

/** Use of each instance's connections by each proxy at one moment. */
async function describeProxies(
  proxies: readonly ProxyDescription[],
): Promise<Readonly<Record<string, Record<string, InstanceUse>>>> {
  const entries = await Promise.all(proxies.map(async (proxy) => {
    const uses = Object.fromEntries(await countConnections([proxy]));
    return [proxy.name, uses] as const;
  }));
  return Object.fromEntries(entries);
}

async function sampleFor(
  proxies: readonly ProxyDescription[],
  durationMs: number,
  samples: Sample[],
): Promise<void> {
  const until = performance.now() + durationMs;
  while (performance.now() < until) {
    const uses = await countConnections(proxies);
    samples.push({ at: performance.now(), uses });
    await sleep(SAMPLE_INTERVAL_MS);
  }
}

/** Time until the other proxies use the number again, in ms; null when they don't. */
async function takeover(
  proxies: readonly ProxyDescription[],
): Promise<number | null> {
  const begun = performance.now();
  while (performance.now() - begun < TAKEOVER_TIMEOUT_MS) {
    const uses = [...(await countConnections(proxies)).values()];
    const used = Math.max(...uses.map(({ busy }) => busy));
    if (used >= USED_PART * LIMIT) return Math.round(performance.now() - begun);
    await sleep(SAMPLE_INTERVAL_MS);
  }
  return null;
}

function summarize(
  samples: readonly Sample[],
  takeoverMs: number | null,
  tallies: readonly (Tally | undefined)[],
): BenchmarkResult {
  const first = samples[0]!;
  const last = samples.at(-1)!;
  const seconds = (last.at - first.at) / 1_000;
  const rows = [...last.uses.keys()].map((instance) => {
    const uses = samples.map(({ uses }) => uses.get(instance)!);
    const opened = last.uses.get(instance)!.opened -
      first.uses.get(instance)!.opened;
    return {
      instance,
      limit: LIMIT,
      mostOpen: Math.max(...uses.map(({ open }) => open)),
      meanBusy: round(mean(uses.map(({ busy }) => busy))),
      usedPart: round(mean(uses.map(({ busy }) => busy)) / LIMIT, 3),
      opensPerSecond: round(opened / seconds),
    };
  });
  const errors = tallies.map((tally) => describeErrors(tally));
  const done = tallies.reduce(
    (sum, tally) => sum + (tally?.total((kind) => kind.done) ?? 0),
    0,
  );
  return {
    rows,
    summary: { bench: "connections", rows, takeoverMs, done, errors },
  };
}

/** Errors of the callers of one proxy, and when the last one was, in ms since the start. */
function describeErrors(tally: Tally | undefined) {
  const kind = tally?.kind(READ.name);
  const last = kind?.errorsByInterval.findLastIndex((count) => count > 0) ?? -1;
  return { codes: kind?.errors ?? {}, lastAtMs: (last + 1) * INTERVAL_MS };
}

function mean(values: readonly number[]): number {
  return values.reduce((sum, value) => sum + value, 0) / values.length;
}
