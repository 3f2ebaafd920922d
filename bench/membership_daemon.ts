/**
 * A process with just the peers and the membership, for measurements.
 *
 * @module
 */
import { z } from "zod";
import { clock } from "../src/kernel/clock.ts";
import { createEventLog } from "../src/kernel/events.ts";
import { Kernel } from "../src/kernel/kernel.ts";
import { resolveSettings } from "../src/kernel/settings.ts";
import type { Demand } from "../src/plugins/membership/membership.ts";
import type { PeerProcedure } from "../src/plugins/peers/peers.ts";
import "../src/plugins/host_list/plugin.ts";
import "../src/plugins/membership/plugin.ts";
import "../src/plugins/peers/plugin.ts";

const DEMAND_INTERVAL_MS = 1_000;
/** Name of the environment in which demands change all the time. */
const CHANGING_DEMANDS = "changing";
const DATABASES = 3;
const INSTANCES = 3;

const sampleSchema = z.object({
  /** Bytes sent and received since the start. */
  bytes: z.number(),
  /** Processor time since the start, in ms. */
  cpuMs: z.number(),
  rssBytes: z.number(),
  alive: z.array(z.string()),
});

/** Counters of one process. */
export type MembershipSample = z.infer<typeof sampleSchema>;

/** Asks a process for its counters. */
export const sampleProcedure: PeerProcedure<
  Record<string, never>,
  MembershipSample
> = {
  name: "sample",
  input: z.record(z.string(), z.never()),
  output: sampleSchema,
};

/** Demands that differ from each call to the next. */
function createDemands(): readonly Demand[] {
  return Array.from({ length: DATABASES * INSTANCES }, (_, index) => ({
    database: `database-${index % DATABASES}`,
    instance: `instance-${index}`,
    wanted: Math.floor(Math.random() * 20),
  }));
}

async function main(): Promise<void> {
  const settings = resolveSettings(process.argv.slice(2), process.env)
    ._unsafeUnwrap();
  const log = createEventLog(settings.logLevel, { name: settings.name });
  const kernel = new Kernel(settings, log);
  await kernel.start(["membership"]);
  const peers = kernel.use("peers");
  const membership = kernel.use("membership");
  peers.serve(sampleProcedure, () => {
    const { sent, received } = peers.traffic();
    const { user, system } = process.cpuUsage();
    return {
      bytes: sent + received,
      cpuMs: (user + system) / 1_000,
      rssBytes: process.memoryUsage.rss(),
      alive: membership.alive().map((state) => state.name),
    };
  });
  if (settings.environment === CHANGING_DEMANDS) {
    setInterval(
      () => membership.publishDemands(createDemands()),
      DEMAND_INTERVAL_MS,
    );
  }
  process.once("SIGTERM", async () => {
    await kernel.stop(clock.now() + settings.stopDeadline);
    process.exit(0);
  });
  const [host, port] = peers.endpoint.split(":");
  const ready = { ready: true, host, port: Number(port), pid: process.pid };
  console.log(JSON.stringify(ready));
}

if (process.argv[1] === new URL(import.meta.url).pathname) await main();
