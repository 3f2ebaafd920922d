/**
 * Starts daemons as child processes, waits for their ready line and stops them.
 *
 * @module
 */
import { type ChildProcess, spawn } from "node:child_process";
import { once } from "node:events";
import { createInterface } from "node:readline";

const READY_TIMEOUT_MS = 60_000;
const STOP_TIMEOUT_MS = 25_000;

// The SDK's notice of a later end of support is no error of the daemons.
const environment = {
  ...process.env,
  AWS_SDK_JS_NODE_VERSION_SUPPORT_WARNING_DISABLED: "true",
};

const running = new Set<ChildProcess>();
process.once("exit", () => {
  for (const child of running) child.kill("SIGKILL");
});

/** What a daemon prints when it is ready. */
export interface ReadyLine {
  readonly ready: true;
  readonly host: string;
  readonly port: number;
  readonly pid: number;
  readonly [field: string]: unknown;
}

/** A daemon that runs as a child process. */
export class DaemonProcess {
  readonly name: string;
  readonly ready: ReadyLine;
  readonly #child: ChildProcess;

  constructor(name: string, child: ChildProcess, ready: ReadyLine) {
    this.name = name;
    this.#child = child;
    this.ready = ready;
  }

  /** Whether the process still runs. */
  get running(): boolean {
    return this.#child.exitCode === null && this.#child.signalCode === null;
  }

  /** Exit code, or the signal that ended the process; undefined while it runs. */
  get exitStatus(): number | NodeJS.Signals | undefined {
    return this.#child.exitCode ?? this.#child.signalCode ?? undefined;
  }

  /** Sends SIGTERM and waits for the end; SIGKILL when it takes too long. */
  async stop(timeoutMs = STOP_TIMEOUT_MS): Promise<void> {
    if (!this.running) return;
    this.#child.kill("SIGCONT");
    this.#child.kill("SIGTERM");
    const timer = setTimeout(() => this.#child.kill("SIGKILL"), timeoutMs);
    await this.waitForExit();
    clearTimeout(timer);
  }

  /** Ends the process at once. */
  async kill(): Promise<void> {
    if (!this.running) return;
    this.#child.kill("SIGKILL");
    await this.waitForExit();
  }

  /** Suspends the process. */
  suspend(): void {
    this.#child.kill("SIGSTOP");
  }

  /** Lets a suspended process go on. */
  resume(): void {
    this.#child.kill("SIGCONT");
  }

  /** Resolves when the process has ended. */
  async waitForExit(): Promise<void> {
    if (this.running) await once(this.#child, "exit");
  }
}

/** Path of a compiled module, relative to the root of the build. */
export function compiledPath(module: string): string {
  return new URL(`../../${module}`, import.meta.url).pathname;
}

/** Starts a compiled module as a process; its standard error goes to this process's. */
export async function startDaemon(
  name: string,
  module: string,
  args: readonly string[],
): Promise<DaemonProcess> {
  const child = spawn(
    process.execPath,
    ["--enable-source-maps", compiledPath(module), ...args],
    { stdio: ["ignore", "pipe", "inherit"], env: environment },
  );
  running.add(child);
  child.once("exit", () => running.delete(child));
  try {
    return new DaemonProcess(name, child, await readReadyLine(name, child));
  } catch (error) {
    child.kill("SIGKILL");
    throw error;
  }
}

function readReadyLine(name: string, child: ChildProcess): Promise<ReadyLine> {
  return new Promise((resolve, reject) => {
    const timer = setTimeout(
      () => reject(new Error(`${name} is not ready in time`)),
      READY_TIMEOUT_MS,
    );
    child.once("error", reject);
    child.once("exit", (code, signal) => {
      clearTimeout(timer);
      reject(new Error(`${name} ended with ${code ?? signal} before ready`));
    });
    const lines = createInterface({ input: child.stdout! });
    lines.on("line", (line) => {
      clearTimeout(timer);
      const parsed = parseReadyLine(line);
      if (parsed) resolve(parsed);
    });
  });
}

function parseReadyLine(line: string): ReadyLine | undefined {
  try {
    const parsed = JSON.parse(line);
    return parsed.ready === true ? parsed : undefined;
  } catch {
    return undefined;
  }
}
