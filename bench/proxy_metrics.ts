/**
 * Reads the metrics of proxies.
 *
 * @module
 */
import type { ProxyDescription } from "../standins/stack/options.ts";

const STATEMENTS =
  /^marjoramshed_statements_total\{target="(\w+)",effect="(\w+)"\} (\d+)/gm;

/** Reads that proxies have sent to the primary and to replicas. */
export interface ReadCounts {
  readonly primary: number;
  readonly replica: number;
}

/** Sums the reads of all proxies that answer. */
export async function countReads(
  proxies: readonly ProxyDescription[],
): Promise<ReadCounts> {
  const counts = { primary: 0, replica: 0 };
  for (const proxy of proxies) {
    const text = await readMetrics(proxy);
    for (const [, target, effect, value] of text.matchAll(STATEMENTS)) {
      if (effect !== "read") continue;
      if (target === "primary") counts.primary += Number(value);
      if (target === "replica") counts.replica += Number(value);
    }
  }
  return counts;
}

/** Share of the reads that replicas served, from 0 to 1. */
export function replicaShare(counts: ReadCounts): number {
  const total = counts.primary + counts.replica;
  return total === 0 ? 0 : counts.replica / total;
}

/** The metrics of one proxy in the Prometheus text format; empty when it does not answer. */
export async function readMetrics(proxy: ProxyDescription): Promise<string> {
  const url = `http://${proxy.real.host}:${proxy.metricsPort}/metrics`;
  try {
    return await (await fetch(url)).text();
  } catch {
    return "";
  }
}

const CONNECTIONS =
  /^marjoramshed_connections_(\w+)\{database="([^"]+)",instance="([^"]+)"\} (\d+)/gm;

/** Use of an instance's connections by all proxies together. */
export interface InstanceUse {
  open: number;
  busy: number;
  waiting: number;
  share: number;
  opened: number;
}

/** Sums the use of connections of all proxies that answer, by instance. */
export async function countConnections(
  proxies: readonly ProxyDescription[],
): Promise<ReadonlyMap<string, InstanceUse>> {
  const sums = new Map<string, InstanceUse>();
  const texts = await Promise.all(proxies.map(readMetrics));
  for (const text of texts) {
    for (const [, count, , instance, value] of text.matchAll(CONNECTIONS)) {
      const sum = sums.get(instance!) ??
        { open: 0, busy: 0, waiting: 0, share: 0, opened: 0 };
      sum[count as keyof InstanceUse] += Number(value);
      sums.set(instance!, sum);
    }
  }
  return sums;
}
