/**
 * Starts daemons as child processes, waits until they report readiness and stops
 * them.
 *
 * @module
 */
import { type ChildProcess, spawn } from "node:child_process";
import { once } from "node:events";
import { createInterface } from "node:readline";

const READY_TIMEOUT_MS = 60_000;
const STOP_TIMEOUT_MS = 25_000;

// Disables the AWS SDK's Node.js deprecation notice, which is not an error of the daemons.
const childEnvironment = {
  ...process.env,
  AWS_SDK_JS_NODE_VERSION_SUPPORT_WARNING_DISABLED: "true",
};

const runningChildren = new Set<ChildProcess>();
process.once("exit", () => {
  for (const child of runningChildren) child.kill("SIGKILL");
});

/** The line of JSON that a daemon prints to standard output when it is ready. */
export interface ReadyLine {
  readonly ready: true;
  readonly host: string;
  readonly port: number;
  readonly pid: number;
  readonly [field: string]: unknown;
}

/** A daemon that was started as a child process. */
export class DaemonProcess {
  readonly name: string;
  readonly ready: ReadyLine;
  readonly #child: ChildProcess;

  constructor(name: string, child: ChildProcess, ready: ReadyLine) {
    this.name = name;
    this.#child = child;
    this.ready = ready;
  }

  /** Whether the process is still running. */
  get running(): boolean {
    return this.#child.exitCode === null && this.#child.signalCode === null;
  }

  /** Exit code, or the signal that ended the process; undefined while the process is running. */
  get exitStatus(): number | NodeJS.Signals | undefined {
    return this.#child.exitCode ?? this.#child.signalCode ?? undefined;
  }

  /** Sends SIGTERM and waits for the exit; sends SIGKILL after `timeoutMs`. */
  async stop(timeoutMs = STOP_TIMEOUT_MS): Promise<void> {
    if (!this.running) return;
    this.#child.kill("SIGCONT");
    this.#child.kill("SIGTERM");
    const timer = setTimeout(() => this.#child.kill("SIGKILL"), timeoutMs);
    await this.waitForExit();
    clearTimeout(timer);
  }

  /** Sends SIGKILL and waits for the exit. */
  async kill(): Promise<void> {
    if (!this.running) return;
    this.#child.kill("SIGKILL");
    await this.waitForExit();
  }

  /** Suspends the process with SIGSTOP. */
  suspend(): void {
    this.#child.kill("SIGSTOP");
  }

  /** Resumes a suspended process with SIGCONT. */
  resume(): void {
    this.#child.kill("SIGCONT");
  }

  /** Resolves when the process has exited. */
  async waitForExit(): Promise<void> {
    if (this.running) await once(this.#child, "exit");
  }
}

/** Absolute path of a module that is given relative to the root of the build. */
export function compiledPath(module: string): string {
  return new URL(`../../${module}`, import.meta.url).pathname;
}

/**
 * Starts a compiled module as a child process and waits until it is ready. The
 * child inherits standard error. Throws when the child exits before it is ready
 * or exceeds the timeout.
 */
export async function startDaemon(
  name: string,
  module: string,
  args: readonly string[],
): Promise<DaemonProcess> {
  const child = spawn(
    process.execPath,
    ["--enable-source-maps", compiledPath(module), ...args],
    { stdio: ["ignore", "pipe", "inherit"], env: childEnvironment },
  );
  runningChildren.add(child);
  child.once("exit", () => runningChildren.delete(child));
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
      () => reject(new Error(`${name} was not ready in time`)),
      READY_TIMEOUT_MS,
    );
    child.once("error", reject);
    child.once("exit", (code, signal) => {
      clearTimeout(timer);
      reject(
        new Error(`${name} exited with ${code ?? signal} before it was ready`),
      );
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
