/**
 * The cost of control against the number of database groups that a proxy
 * watches: processor time, memory, and bytes on control connections, without
 * any caller. The instances are stubs that only answer status requests.
 *
 * @module
 */
import { setTimeout as sleep } from "node:timers/promises";
import { stringify } from "yaml";
import { hashPassword } from "../src/plugins/document/password.ts";
import {
  type DaemonProcess,
  startDaemon,
} from "../standins/stack/daemon_process.ts";
import { promoteDocument } from "../standins/stack/operator.ts";
import type { Benchmark } from "./benchmark.ts";
import { processorSeconds, residentBytes } from "./load/process_usage.ts";

const GROUP_COUNTS: readonly number[] = [1, 8, 32, 64];
const SETTLE_MS = 6_000;
const MS_PER_SECOND = 1_000;
const BYTES_PER_MEGABYTE = 1_000_000;
const ADDRESS = "127.0.0.1";
const ZONE = "a";

interface Figures {
  readonly groups: number;
  readonly corePercent: number;
  readonly megabytes: number;
  readonly bytesPerSecond: number;
}

/** Measures one proxy with growing numbers of groups. */
export const benchGroups: Benchmark = async ({ seconds, report }) => {
  const figures: Figures[] = [];
  for (const groups of GROUP_COUNTS) {
    report(`${groups} groups`);
    figures.push(await measure(groups, seconds * MS_PER_SECOND));
  }
  const rows = figures.map((item) => ({ ...item }));
  return { rows, summary: { benchmark: "groups", figures } };
};

async function measure(groups: number, lengthMs: number): Promise<Figures> {
  const daemons: DaemonProcess[] = [];
  const start = async (
    name: string,
    module: string,
    args: readonly string[],
  ): Promise<DaemonProcess> => {
    const daemon = await startDaemon(name, module, args);
    daemons.push(daemon);
    return daemon;
  };
  try {
    const platform = await startPlatform(start);
    const stubs = await startStubs(start);
    const { table, objects, hosts } = platform;
    await promoteDocument(await createDocument(groups, stubs), table, objects);
    const proxy = await start("proxy", "src/main.js", [
      "proxy",
      ...["--name", "p1", "--zone", ZONE, "--port", "0", "--peer-port", "0"],
      ...["--peer-key", "key of the measurement", "--log-level", "error"],
      ...["--table-service", urlOf(table), "--object-store", urlOf(objects)],
      ...["--host-list", urlOf(hosts)],
    ]);
    await sleep(SETTLE_MS);
    return await sample(groups, proxy, stubs, lengthMs);
  } finally {
    await Promise.all(daemons.map((daemon) => daemon.kill()));
  }
}

type Start = (
  name: string,
  module: string,
  args: readonly string[],
) => Promise<DaemonProcess>;

interface Place {
  readonly host: string;
  readonly port: number;
}

async function startPlatform(
  start: Start,
): Promise<
  { readonly table: Place; readonly objects: Place; readonly hosts: Place }
> {
  const args = ["--address", ADDRESS, "--port", "0"];
  const open = async (name: string): Promise<Place> =>
    (await start(name, `standins/${name}/main.js`, args)).ready;
  return {
    table: await open("table_service"),
    objects: await open("object_store"),
    hosts: await open("host_list"),
  };
}

async function startStubs(start: Start): Promise<readonly DaemonProcess[]> {
  const stub = (name: string, role: string): Promise<DaemonProcess> =>
    start(name, "bench/status_stub.js", [
      ...[
        "--name",
        name,
        "--role",
        role,
        "--address",
        ADDRESS,
        "--source",
        "one",
      ],
    ]);
  return await Promise.all([
    stub("one", "primary"),
    stub("two", "replica"),
    stub("three", "replica"),
  ]);
}

async function createDocument(
  groups: number,
  stubs: readonly DaemonProcess[],
): Promise<string> {
  const instances = stubs.map(({ name, ready }) => ({
    name,
    zone: ZONE,
    host: ready.host,
    port: ready.port,
  }));
  const list = Array.from({ length: groups }, (_, index) => ({
    database: `database-${index}`,
    connectionsPerInstance: 20,
    instances,
  }));
  const environment = {
    zones: [ZONE],
    proxies: [{ name: "p1", zone: ZONE }],
    groups: list,
  };
  const password = await hashPassword("measurement");
  return stringify({
    service: "measurement",
    accounts: [{ name: "m", password, databases: ["database-0"] }],
    environments: { trial: environment, production: environment },
  }, { aliasDuplicateObjects: false });
}

async function sample(
  groups: number,
  proxy: DaemonProcess,
  stubs: readonly DaemonProcess[],
  lengthMs: number,
): Promise<Figures> {
  const { pid } = proxy.ready;
  const timeBefore = processorSeconds(pid);
  const bytesBefore = await countBytes(stubs);
  const begun = performance.now();
  await sleep(lengthMs);
  const elapsed = (performance.now() - begun) / MS_PER_SECOND;
  const time = processorSeconds(pid) - timeBefore;
  const bytes = await countBytes(stubs) - bytesBefore;
  return {
    groups,
    corePercent: round(100 * time / elapsed),
    megabytes: round(residentBytes(pid) / BYTES_PER_MEGABYTE),
    bytesPerSecond: Math.round(bytes / elapsed),
  };
}

async function countBytes(stubs: readonly DaemonProcess[]): Promise<number> {
  const counts = await Promise.all(stubs.map(async ({ ready }) => {
    const url = `http://${ready.host}:${String(ready["counters"])}/`;
    return (await (await fetch(url)).json() as { bytes: number }).bytes;
  }));
  return counts.reduce((sum, count) => sum + count, 0);
}

function urlOf({ host, port }: Place): string {
  return `http://${host}:${port}`;
}

function round(value: number): number {
  return Math.round(value * 10) / 10;
}
