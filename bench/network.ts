/**
 * Measures the network's stand-in: messages a second and round trips over a
 * link with a given latency. Prints a table, then one line of JSON.
 *
 * @module
 */
import { once } from "node:events";
import { connect, createServer } from "node:net";
import { setTimeout as sleep } from "node:timers/promises";
import { build, type Histogram } from "hdr-histogram-js";
import { startDaemon } from "../standins/stack/daemon_process.ts";
import { processorSeconds } from "./load/process_usage.ts";

const CONNECTIONS = 32;
const MESSAGE = Buffer.alloc(64, "x");
const RUN_MS = 4_000;
const LATENCIES_MS = [0, 1, 1.5, 12];

interface Run {
  readonly latencyMs: number;
  readonly messagesPerSecond: number;
  readonly roundTripMedianMs: number;
  readonly roundTripP99Ms: number;
  readonly coreShare: number;
}

async function exchange(
  port: number,
  until: number,
  roundTrips: Histogram,
): Promise<void> {
  const socket = connect({ host: "127.0.0.1", port, noDelay: true });
  await once(socket, "connect");
  while (performance.now() < until) {
    const startedAt = performance.now();
    socket.write(MESSAGE);
    let missing = MESSAGE.length;
    while (missing > 0) {
      const [data] = await once(socket, "data") as [Buffer];
      missing -= data.length;
    }
    roundTrips.recordValue((performance.now() - startedAt) * 1_000);
  }
  socket.destroy();
}

async function measure(
  latencyMs: number,
  port: number,
  pid: number,
  control: string,
): Promise<Run> {
  const fault = { kind: "latency", between: [{}, {}], ms: latencyMs };
  const body = JSON.stringify({ faults: [fault] });
  await fetch(`${control}/faults`, { method: "PUT", body });
  await sleep(200);
  const roundTrips = build();
  const usedBefore = processorSeconds(pid);
  const startedAt = performance.now();
  const until = startedAt + RUN_MS;
  await Promise.all(
    Array.from(
      { length: CONNECTIONS },
      () => exchange(port, until, roundTrips),
    ),
  );
  const seconds = (performance.now() - startedAt) / 1_000;
  return {
    latencyMs,
    messagesPerSecond: Math.round(2 * roundTrips.totalCount / seconds),
    roundTripMedianMs: roundTrips.getValueAtPercentile(50) / 1_000,
    roundTripP99Ms: roundTrips.getValueAtPercentile(99) / 1_000,
    coreShare: Number(
      ((processorSeconds(pid) - usedBefore) / seconds).toFixed(2),
    ),
  };
}

const echo = createServer({ noDelay: true }, (socket) => {
  socket.on("error", () => undefined);
  socket.on("data", (data) => socket.write(data));
}).listen(0, "127.0.0.1");
await once(echo, "listening");
const link = {
  id: "echo",
  name: "echo",
  zone: "here",
  listenHost: "127.0.0.1",
  listenPort: 0,
  targetHost: "127.0.0.1",
  targetPort: (echo.address() as { port: number }).port,
};
const network = await startDaemon("network", "standins/network/main.js", [
  "--topology",
  JSON.stringify({ links: [link], sources: [] }),
]);
try {
  const control = `http://${network.ready.host}:${network.ready.port}`;
  const [opened] = network.ready["links"] as { listenPort: number }[];
  const runs: Run[] = [];
  for (const latencyMs of LATENCIES_MS) {
    const { pid } = network.ready;
    runs.push(await measure(latencyMs, opened!.listenPort, pid, control));
  }
  console.table(runs);
  console.log(JSON.stringify({ connections: CONNECTIONS, runs }));
} finally {
  await network.stop();
  echo.close();
}
