/**
 * Benchmark of the configuration: time from the acceptance of a document until
 * every proxy has it in force, and what an idle proxy spends on control.
 *
 * @module
 */
import { setTimeout as sleep } from "node:timers/promises";
import { build } from "hdr-histogram-js";
import { PeerClient } from "../src/plugins/peers/peer_client.ts";
import { SocketTraffic } from "../src/plugins/peers/socket_traffic.ts";
import { resolvePeerKeys } from "../src/plugins/peers/trpc_peers.ts";
import { statusProcedure } from "../src/plugins/status/status.ts";
import type { ProxyDescription } from "../standins/stack/options.ts";
import { createStack, type Stack } from "../standins/stack/stack.ts";
import {
  type BenchmarkOptions,
  type BenchmarkResult,
  type Cell,
  round,
} from "./benchmark.ts";
import { processorSeconds, residentBytes } from "./load/process_usage.ts";

const DATABASE = "booking";
const POLL_INTERVAL_MS = 10;
const STATUS_TIMEOUT_MS = 1_000;
const IN_FORCE_TIMEOUT_MS = 30_000;
const PAUSE_MS = 1_000;
const MEGABYTE = 1_000_000;

/** Runs the benchmark. */
export async function benchConfiguration(
  options: BenchmarkOptions,
): Promise<BenchmarkResult> {
  const stack = await createStack({ databases: [DATABASE], logLevel: "error" });
  const client = new PeerClient({
    keys: resolvePeerKeys({ peerKey: stack.peerKey }),
    traffic: new SocketTraffic(),
  });
  try {
    options.report("measuring idle proxies");
    const rows = await measureIdle(stack, options);
    const times = await measureInForce(stack, client, options);
    return { rows, summary: { bench: "configuration", ...times, idle: rows } };
  } finally {
    await client.close();
    await stack.stop();
  }
}

async function measureIdle(
  stack: Stack,
  { seconds }: BenchmarkOptions,
): Promise<readonly Readonly<Record<string, Cell>>[]> {
  const { proxies } = stack.describe();
  const before = proxies.map(({ pid }) => processorSeconds(pid));
  await sleep(seconds * 1_000);
  return proxies.map(({ name, pid }, index) => ({
    proxy: name,
    corePercent: round(
      100 * (processorSeconds(pid) - before[index]!) / seconds,
    ),
    residentMegabytes: round(residentBytes(pid) / MEGABYTE, 1),
  }));
}

async function measureInForce(
  stack: Stack,
  client: PeerClient,
  options: BenchmarkOptions,
): Promise<Readonly<Record<string, number>>> {
  const { proxies } = stack.describe();
  const times = build();
  const base = stack.document;
  for (let round = 1; round <= options.rounds; round += 1) {
    await sleep(PAUSE_MS * Math.random());
    const number = await stack.promote(`${base}# round ${round}\n`);
    const accepted = performance.now();
    await Promise.all(
      proxies.map((proxy) => untilInForce(client, proxy, number)),
    );
    const elapsed = Math.round(performance.now() - accepted);
    options.report(`revision ${number}: ${elapsed} ms`);
    times.recordValue(elapsed);
  }
  return {
    revisions: times.totalCount,
    medianMs: times.getValueAtPercentile(50),
    worstMs: times.maxValue,
  };
}

async function untilInForce(
  client: PeerClient,
  proxy: ProxyDescription,
  number: number,
): Promise<void> {
  const deadline = performance.now() + IN_FORCE_TIMEOUT_MS;
  while (performance.now() < deadline) {
    const report = await client
      .call(proxy.peers, statusProcedure, {}, STATUS_TIMEOUT_MS);
    if (report.isOk() && report.value.revision >= number) return;
    await sleep(POLL_INTERVAL_MS);
  }
  throw new Error(`${proxy.name} has not taken revision ${number}`);
}
