/**
 * Measures the membership: bytes, processor time and memory of each process, and
 * the time until a killed process and one that leaves are gone from all views.
 *
 * `node dist/bench/membership.js [--sizes 2,4,8,16] [--seconds 20] [--demands steady|changing]`
 *
 * @module
 */
import { setTimeout as sleep } from "node:timers/promises";
import { parseArgs } from "node:util";
import { createEventLog } from "../src/kernel/events.ts";
import { TrpcPeers } from "../src/plugins/peers/trpc_peers.ts";
import {
  type DaemonProcess,
  startDaemon,
} from "../standins/stack/daemon_process.ts";
import { type MembershipSample, sampleProcedure } from "./membership_daemon.ts";

const PEER_KEY = "the key of the measurement";
const SETTLE_MS = 25_000;
const POLL_INTERVAL_MS = 25;
const POLL_DEADLINE_MS = 30_000;
const CALL_TIMEOUT_MS = 2_000;

/** Figures of one number of processes. */
interface MembershipFigures {
  readonly processes: number;
  /** Sent and received by one process, the mean of all; HTTP included, TCP and IP headers not. */
  readonly bytesPerSecond: number;
  readonly worstBytesPerSecond: number;
  /** Share of a core of one process, the mean of all. */
  readonly corePercent: number;
  readonly rssMegabytes: number;
  /** Until all others count the process as not alive. */
  readonly killedMs: number;
  readonly leavingMs: number;
}

const { values } = parseArgs({
  options: {
    sizes: { type: "string", default: "2,4,8,16" },
    seconds: { type: "string", default: "20" },
    demands: { type: "string", default: "steady" },
  },
});

const peers = new TrpcPeers(
  { address: "127.0.0.1", peerPort: 0, peerKey: PEER_KEY },
  createEventLog("fatal", {}),
);

async function sample(daemon: DaemonProcess): Promise<MembershipSample> {
  const endpoint = `${daemon.ready.host}:${daemon.ready.port}`;
  const answer = await peers
    .call(endpoint, sampleProcedure, {}, CALL_TIMEOUT_MS);
  if (answer.isErr()) throw new Error(answer.error.detail);
  return answer.value;
}

async function startProcesses(
  count: number,
  hostListUrl: string,
): Promise<DaemonProcess[]> {
  const places = Array.from({ length: count }, (_, index) => index + 1);
  const daemons: DaemonProcess[] = [];
  for (const place of places) {
    daemons.push(
      await startDaemon(nameOf(place), "bench/membership_daemon.js", [
        ...["--name", nameOf(place), "--zone", "zagreb-a"],
        ...["--address", `127.42.${count}.${place}`, "--peer-port", "0"],
        ...["--environment", values.demands],
        ...["--peer-key", PEER_KEY, "--host-list", hostListUrl],
        ...["--table-service", "http://127.0.0.1:1"],
        ...["--object-store", "http://127.0.0.1:1", "--log-level", "fatal"],
      ]),
    );
  }
  const hosts = daemons.map((daemon) => ({
    name: daemon.name,
    kind: "proxy",
    zone: "zagreb-a",
    endpoint: `${daemon.ready.host}:${daemon.ready.port}`,
    state: "live",
  }));
  await fetch(`${hostListUrl}/hosts`, {
    method: "PUT",
    body: JSON.stringify({ hosts }),
  });
  return daemons;
}

function nameOf(place: number): string {
  return `proxy-${String(place).padStart(2, "0")}`;
}

/** Waits until all watchers see this number of live processes; gives the ms it took. */
async function untilAlive(
  watchers: readonly DaemonProcess[],
  count: number,
): Promise<number> {
  const begin = performance.now();
  while (performance.now() - begin < POLL_DEADLINE_MS) {
    const samples = await Promise.all(watchers.map(sample));
    if (samples.every((one) => one.alive.length === count)) {
      return performance.now() - begin;
    }
    await sleep(POLL_INTERVAL_MS);
  }
  throw new Error(`not ${count} live processes in time`);
}

async function measure(
  count: number,
  hostListUrl: string,
): Promise<MembershipFigures> {
  const daemons = await startProcesses(count, hostListUrl);
  try {
    await untilAlive(daemons, count);
    await sleep(SETTLE_MS);
    const before = await Promise.all(daemons.map(sample));
    const begin = performance.now();
    await sleep(Number(values.seconds) * 1_000);
    const after = await Promise.all(daemons.map(sample));
    const seconds = (performance.now() - begin) / 1_000;
    const rates = after.map((one, index) =>
      (one.bytes - before[index]!.bytes) / seconds
    );
    const cores = after.map((one, index) =>
      (one.cpuMs - before[index]!.cpuMs) / seconds / 10
    );
    const [first, second, ...others] = daemons;
    await first!.kill();
    const killedMs = await untilAlive([second!, ...others], count - 1);
    const leaving = second!.stop();
    const leavingMs = others.length === 0
      ? 0
      : await untilAlive(others, count - 2);
    await leaving;
    return {
      processes: count,
      bytesPerSecond: Math.round(mean(rates)),
      worstBytesPerSecond: Math.round(Math.max(...rates)),
      corePercent: Number(mean(cores).toFixed(2)),
      rssMegabytes: Math.round(mean(after.map((one) => one.rssBytes)) / 1e6),
      killedMs: Math.round(killedMs),
      leavingMs: Math.round(leavingMs),
    };
  } finally {
    await Promise.all(daemons.map((daemon) => daemon.kill()));
  }
}

function mean(numbers: readonly number[]): number {
  return numbers.reduce((sum, one) => sum + one, 0) / numbers.length;
}

const hostList = await startDaemon(
  "host_list",
  "standins/host_list/main.js",
  [],
);
const figures: MembershipFigures[] = [];
try {
  await peers.start();
  const url = `http://${hostList.ready.host}:${hostList.ready.port}`;
  for (const size of values.sizes.split(",").map(Number)) {
    figures.push(await measure(size, url));
  }
} finally {
  await peers.stop();
  await hostList.stop();
}
console.table(figures);
console.log(JSON.stringify({ demands: values.demands, membership: figures }));
