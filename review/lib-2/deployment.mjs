/**
 * Starts a small deployment on loopback addresses: the stand-ins of the platform
 * and of the database groups, and the system's program with the command of the
 * deploy file, one process for each host.
 */
import { spawn } from "node:child_process";
import {
  appendFileSync,
  mkdtempSync,
  readFileSync,
  rmSync,
  writeFileSync,
} from "node:fs";
import { tmpdir } from "node:os";
import { join } from "node:path";
import { createInterface } from "node:readline";
import { setTimeout as sleep } from "node:timers/promises";
import { fileURLToPath } from "node:url";
import { Group } from "./group.mjs";
import { Store } from "./store.mjs";

export { sleep };

const ROOT = fileURLToPath(new URL("../..", import.meta.url));
const ZONES = {
  "zagreb-a": "zagreb",
  "split-a": "split",
  "osijek-a": "osijek",
};
const ZONE_NAMES = Object.keys(ZONES);

/** Exit codes of a case. */
export const HELD = 0;
export const BROKEN = 1;
export const NOT_RUN = 2;

/** The command of the role in the deploy file. */
function runCommand() {
  const text = readFileSync(join(ROOT, "deploy/system.toml"), "utf8");
  return /^run = "(.*)"$/m.exec(text)[1].split(" ");
}

/** Writes what was sent, answered and run. */
export class Record {
  #file;
  #start = performance.now();

  constructor(file) {
    this.#file = file;
    writeFileSync(file, "");
  }

  write(...fields) {
    const at = ((performance.now() - this.#start) / 1_000).toFixed(3);
    const text = fields
      .map((one) => (typeof one === "string" ? one : JSON.stringify(one)))
      .join(" ");
    appendFileSync(this.#file, `${at.padStart(8)} s  ${text}\n`);
  }
}

/** A host that runs the system's program. */
export class Host {
  log = [];
  errors = [];
  exits = [];

  constructor(fields) {
    Object.assign(this, fields);
  }

  /** Starts the process and waits until it is ready. */
  async start() {
    const [program, ...flags] = runCommand();
    const { PATH, HOME, LANG } = process.env;
    this.child = spawn(program, flags, {
      cwd: ROOT,
      env: { PATH, HOME, LANG, MARJORAMSHED_SETTINGS: this.settings },
      stdio: ["ignore", "pipe", "pipe"],
    });
    const { child } = this;
    child.on("exit", (code, signal) => this.exits.push(signal ?? code));
    createInterface({ input: child.stdout }).on("line", (line) => {
      this.log.push(line);
      if (this.log.length > 20_000) this.log.splice(0, 10_000);
    });
    createInterface({ input: child.stderr }).on("line", (line) => {
      if (this.errors.length < 200) this.errors.push(line);
    });
    await until(async () => await this.ready() === 200, 20_000, "ready");
  }

  get isRunning() {
    const { child } = this;
    return child && child.exitCode === null && child.signalCode === null;
  }

  async ready() {
    try {
      const url = `http://${this.ip}:${this.readyPort}/api/readyz`;
      const signal = AbortSignal.timeout(1_000);
      return (await fetch(url, { signal })).status;
    } catch {
      return 0;
    }
  }

  signal(name) {
    this.child?.kill(name);
  }

  async kill() {
    if (!this.isRunning) return;
    const ended = new Promise((resolve) => this.child.once("exit", resolve));
    this.signal("SIGCONT");
    this.signal("SIGKILL");
    await ended;
  }

  /** Resident memory in MB. */
  get memory() {
    try {
      const text = readFileSync(`/proc/${this.child.pid}/status`, "utf8");
      return Math.round(Number(/VmRSS:\s+(\d+)/.exec(text)[1]) / 1_024);
    } catch {
      return 0;
    }
  }
}

/** Waits until a condition holds; throws after a time in ms. */
export async function until(condition, timeout, name) {
  const end = performance.now() + timeout;
  for (;;) {
    if (await condition()) return;
    if (performance.now() > end) throw new Error(`${name}: not in time`);
    await sleep(50);
  }
}

/** A deployment of one or more groups. */
export class Deployment {
  store = new Store();
  hosts = [];
  groups = new Map();
  version = 0;

  /** Loopback network of this run, so that hosts have the same port for metrics. */
  #network = `127.${10 + Math.floor(Math.random() * 200)}.${
    1 + Math.floor(Math.random() * 250)
  }`;
  #folder = mkdtempSync(join(tmpdir(), "marjoramshed-review-"));

  static async start(options) {
    const deployment = new Deployment();
    try {
      await deployment.#start(options);
    } catch (error) {
      await deployment.stop();
      throw error;
    }
    return deployment;
  }

  async #start({ hosts = 2, groups = ["ledger"], ...options }) {
    this.options = options;
    for (const name of groups) {
      const group = new Group({
        name,
        ip: `${this.#network}.1`,
        zones: ZONE_NAMES,
        store: this.store,
        syncReplicas: options.syncReplicas ?? 0,
        onEvent: options.onEvent ?? (() => {}),
      });
      this.groups.set(name, group);
      this.store.groups.set(name, group);
      await group.start();
    }
    this.configure();
    for (let index = 0; index < hosts; index += 1) {
      this.hosts.push(await this.#createHost(index));
    }
    await Promise.all(this.hosts.map((host) => host.start()));
  }

  /** Writes a configuration as the operator does; returns its version once the store has accepted it. */
  configure(routes = this.options.routes) {
    this.version += 1;
    const value = {
      version: this.version,
      routes: routes.map((route) => ({
        name: `r-${route.host}`,
        prefix: "/",
        timeoutMs: 800,
        targetLatencyMs: 400,
        priority: 1,
        maxAttempts: 2,
        ...(route.kind === "primary" ? {} : { maxStalenessMs: 1_500 }),
        ...route,
      })),
      services: [...this.groups.keys()].map((name) => ({
        name,
        healthCheckPath: "/healthz",
        maxConnections: 22,
        protocol: "h1",
        tls: false,
        syncReplicas: this.options.syncReplicas ?? 0,
      })),
      limits: {
        maxHeaderBytes: 16_384,
        maxBodyBytes: 262_144,
        headerTimeoutMs: 3_000,
        idleTimeoutMs: 15_000,
        txIdleMs: 3_000,
      },
    };
    this.store.putForeign("op", "config", value);
    return value;
  }

  /** Adds a machine and waits until it is ready. */
  async addHost() {
    const host = await this.#createHost(this.hosts.length);
    this.hosts.push(host);
    await host.start();
    return host;
  }

  async #createHost(index) {
    const ip = `${this.#network}.${10 + index}`;
    const [callers, readyPort, internal] = [8_784, 8_785, 7_440];
    const door = `${ip}:${await this.store.openDoor(ip)}`;
    const settings = join(this.#folder, `host-${index}.yaml`);
    const zone = ZONE_NAMES[index % ZONE_NAMES.length];
    const name = `client-${zone}-${1 + Math.floor(index / ZONE_NAMES.length)}`;
    // The settings of a `client` machine of the small deployments; JSON is YAML.
    writeFileSync(
      settings,
      JSON.stringify({
        nodeName: name,
        role: "proxy",
        machineClass: "client",
        serves: ["client"],
        ip,
        zone,
        region: ZONES[zone],
        zones: ZONES,
        listenAddrs: {
          frontend: `${ip}:${callers}`,
          ready: `${ip}:${readyPort}`,
        },
        internalPortRange: [internal, internal + 15],
        seeds: [],
        bootstrap: true,
        faultCounted: false,
        limits: {
          cpuShare: 0.675,
          cores: 1,
          memoryMb: 350,
          maxFds: 4_300,
          linkMbps: 1_000,
          diskMb: 0,
          ...this.options.limits,
        },
        dataDir: null,
        discovery: "platform",
        entry: "vip",
        heartbeatMs: 1_200,
        bounds: { graceS: 6, contactMs: 5_000, configApplyMs: 3_000 },
        platform: { address: door, form: "table" },
        cloudApi: { address: door, duties: ["promote"] },
      }),
    );
    return new Host({ name, index, ip, port: callers, readyPort, settings });
  }

  /** Ends all processes that were started. */
  async stop() {
    await Promise.all(this.hosts.map((host) => host.kill()));
    rmSync(this.#folder, { recursive: true, force: true });
  }
}

/** Runs a case and ends the process with its exit code. */
export async function runCase(folder, run) {
  const record = new Record(join(folder, "record.txt"));
  const troubled = process.env.TROUBLE !== "0";
  record.write(troubled ? "with the disruption" : "without the disruption");
  let code = NOT_RUN;
  const limit = setTimeout(() => {
    record.write("the case took too long");
    process.exit(NOT_RUN);
  }, 115_000);
  try {
    code = await run({ record, troubled });
  } catch (error) {
    record.write("the case could not run:", String(error?.stack ?? error));
  }
  clearTimeout(limit);
  record.write("exit code", String(code));
  process.exit(code);
}
