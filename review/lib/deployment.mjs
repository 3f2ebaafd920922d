/**
 * A small deployment for one case, and the frame in which a case runs.
 *
 * @module
 */
import { mkdtempSync, rmSync } from "node:fs";
import { tmpdir } from "node:os";
import { join } from "node:path";
import { Group } from "./instances.mjs";
import { Platform } from "./platform.mjs";
import { createProxies } from "./proxies.mjs";
import { Record } from "./record.mjs";

/** Name of the service. */
const SERVICE = "swap-ledger";

/** Bounds, zones and times of the site kotacic-swap. */
export const ZONES = ["zagreb-a", "split-a", "osijek-a"];
const ROUTES = [
  { host: "booking", kind: "primary", timeoutMs: 800, targetLatencyMs: 400 },
  {
    host: "stock",
    kind: "bounded_staleness",
    timeoutMs: 2_000,
    targetLatencyMs: 800,
    maxStalenessMs: 1_500,
  },
];

/** Longest run of a case in ms. */
const CASE_LIMIT_MS = 110_000;

export const sleep = (duration) =>
  new Promise((resolve) => setTimeout(resolve, duration));

/** Platform, instances and proxies. */
class Deployment {
  record = new Record();
  /** Statements that instances ran. */
  runs = [];
  proxies = [];
  #folder = mkdtempSync(join(tmpdir(), "review-"));

  constructor(workMs) {
    this.platform = new Platform((_service, id) => this.group.promote(id));
    this.group = new Group({
      name: SERVICE,
      zones: ZONES,
      workMs,
      onRun: (run) => {
        this.runs.push({ ...run, at: this.record.now });
        const values = [...run.values].map((pair) => pair.join("=")).join(" ");
        this.record.write(
          `${run.instance} runs ${run.id} ${JSON.stringify(run.text)} from ` +
            `${run.machine}, values [${values}]`,
        );
      },
    });
  }

  async start(zones) {
    await this.platform.start();
    this.platform.put("op", "config", {
      version: 1,
      routes: ROUTES.map((route) => ({
        ...route,
        name: `r-${route.host}`,
        prefix: "/",
        service: SERVICE,
        priority: 1,
      })),
      services: [{ name: SERVICE, maxConnections: 22, syncReplicas: 0 }],
      limits: { headerTimeoutMs: 3_000, txIdleMs: 3_000 },
    });
    await this.group.start(this.platform);
    this.proxies = await createProxies({
      zones,
      platformPort: this.platform.port,
      folder: this.#folder,
    });
    await Promise.all(this.proxies.map((proxy) => proxy.start()));
    this.record.write("all machines are ready");
  }

  async stop() {
    await Promise.all(this.proxies.map((proxy) => proxy.kill()));
    this.group.stop();
    this.platform.stop();
    rmSync(this.#folder, { recursive: true, force: true });
  }
}

/**
 * Runs a case and exits: 0 if the rule held, 1 if it was broken, 2 if the case
 * couldn't run. `play` returns the breaches in words.
 */
export async function runCase({ folder, zones, workMs, play }) {
  const hasTrouble = process.env["TROUBLE"] !== "0";
  const deployment = new Deployment(workMs);
  const { record } = deployment;
  let code = 2;
  try {
    await deployment.start(zones);
    const breaches = await Promise.race([
      play(deployment, hasTrouble),
      sleep(CASE_LIMIT_MS).then(() => {
        throw new Error("the case takes too long");
      }),
    ]);
    for (const breach of breaches) record.write(`BROKEN ${breach}`);
    record.write(breaches.length > 0 ? "the rule was broken" : "the rule held");
    console.log(
      `${breaches.length} breaches` +
        (breaches.length > 0 ? `; the first: ${breaches[0]}` : ""),
    );
    code = breaches.length > 0 ? 1 : 0;
  } catch (error) {
    record.write(`couldn't run: ${error}`);
    console.error(error);
  }
  await deployment.stop();
  record.save(folder);
  process.exit(code);
}
