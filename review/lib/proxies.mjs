/**
 * Starts the project's program as the deploy file says, one process for each
 * machine, with a settings file as DEPLOY.md describes it.
 *
 * @module
 */
import { spawn } from "node:child_process";
import { readFileSync, writeFileSync } from "node:fs";
import { createServer } from "node:net";
import { dirname, join } from "node:path";
import { fileURLToPath } from "node:url";

const ROOT = join(dirname(fileURLToPath(import.meta.url)), "../..");

/** Time in ms within which a machine has to be ready. */
const READY_MS = 15_000;

/** `graceS` of the settings. */
export const GRACE_S = 6;

const sleep = (duration) =>
  new Promise((resolve) => setTimeout(resolve, duration));

/** The words of `run` in the deploy file. */
function readCommand() {
  const text = readFileSync(join(ROOT, "deploy/system.toml"), "utf8");
  const [program, ...words] = /^run = "(.*)"$/m.exec(text)[1].split(" ");
  return [program === "node" ? process.execPath : program, words];
}

function isFree(host, port) {
  return new Promise((resolve) => {
    const server = createServer();
    server.once("error", () => resolve(false));
    server.listen(port, host, () => server.close(() => resolve(true)));
  });
}

/** First port of a run of free ones on an address. */
async function findPorts(host, count) {
  for (let first = 20_000; first < 30_000; first += count) {
    const ports = Array.from({ length: count }, (_, index) => first + index);
    const free = await Promise.all(ports.map((port) => isFree(host, port)));
    if (free.every(Boolean)) return first;
  }
  throw new Error(`no free ports on ${host}`);
}

/** One machine with its process. */
export class Proxy {
  #child;
  #exit;
  #log = [];

  constructor(name, ip, first, settings) {
    this.name = name;
    this.address = `${ip}:${first}`;
    this.readyUrl = `http://${ip}:${first + 1}/api/readyz`;
    this.settings = settings;
  }

  /** Starts the process and waits until it is ready. */
  async start() {
    const [program, words] = readCommand();
    const { PATH, HOME, LANG } = process.env;
    this.#child = spawn(program, words, {
      cwd: ROOT,
      env: { PATH, HOME, LANG, MARJORAMSHED_SETTINGS: this.settings },
      stdio: ["ignore", "pipe", "pipe"],
    });
    this.#child.stdout.on("data", (part) => this.#log.push(part));
    this.#child.stderr.on("data", (part) => this.#log.push(part));
    this.#exit = new Promise((resolve) => this.#child.once("exit", resolve));
    const until = performance.now() + READY_MS;
    while (!await this.isReady()) {
      if (this.#child.exitCode !== null || performance.now() > until) {
        throw new Error(`${this.name} isn't ready: ${this.#log.join("")}`);
      }
      await sleep(50);
    }
  }

  /** Whether the platform's question is answered with 200. */
  async isReady() {
    try {
      return (await fetch(this.readyUrl)).status === 200;
    } catch {
      return false;
    }
  }

  signal(signal) {
    this.#child.kill(signal);
  }

  get exited() {
    return this.#exit;
  }

  /** Ends the process. */
  async kill() {
    if (!this.#child) return;
    this.#child.kill("SIGKILL");
    await this.#exit;
  }
}

/** Creates a machine in each zone, on a loopback address of its own. */
export async function createProxies({ zones, platformPort, folder }) {
  // Process ids are unlike, so that cases that run side by side take other addresses.
  const net = 1 + process.pid % 200;
  return await Promise.all(zones.map(async (zone, index) => {
    const name = `client-${zone}-${index + 1}`;
    const ip = `127.${net}.${index + 1}.1`;
    const first = await findPorts(ip, 4);
    const settings = join(folder, `${name}.yaml`);
    const platform = `127.0.0.1:${platformPort}`;
    const content = {
      nodeName: name,
      role: "proxy",
      machineClass: "client",
      serves: ["client"],
      ip,
      zone,
      region: zone.split("-")[0],
      zones: Object.fromEntries(zones.map((one) => [one, one.split("-")[0]])),
      listenAddrs: {
        frontend: `${ip}:${first}`,
        ready: `${ip}:${first + 1}`,
      },
      internalPortRange: [first + 2, first + 3],
      seeds: [],
      bootstrap: true,
      limits: { cpuShare: 0.675, cores: 1, memoryMb: 350, maxFds: 4_300 },
      dataDir: null,
      heartbeatMs: 1_200,
      bounds: { drainMs: 7_000, graceS: GRACE_S, lossSlackMs: 200 },
      platform: { address: platform, form: "table" },
      cloudApi: { address: platform, duties: ["promote"] },
    };
    // JSON is YAML.
    writeFileSync(settings, JSON.stringify(content));
    return new Proxy(name, ip, first, settings);
  }));
}
