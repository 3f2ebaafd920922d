/**
 * Watches which revision each proxy says is in force; a process must never go back.
 *
 * @module
 */
import { execFile } from "node:child_process";
import { promisify } from "node:util";
import { compiledPath } from "../../standins/stack/daemon_process.ts";
import { formatEndpoint } from "../../standins/stack/routes.ts";
import type { Stack } from "../../standins/stack/stack.ts";

const STATUS_TIMEOUT_MS = 10_000;

interface ProxyLine {
  readonly name: string;
  readonly heard: boolean;
  readonly revision?: number;
}

/** Asks by the operators' command. */
export class RevisionsWatch {
  /** Proxies that went back to a lower revision. */
  readonly reverted: string[] = [];
  readonly #stack: Stack;
  readonly #highest = new Map<string, number>();

  constructor(stack: Stack) {
    this.#stack = stack;
  }

  /** Asks all proxies once; gives the lowest revision heard and the number of proxies heard. */
  async look(): Promise<{ readonly lowest: number; readonly heard: number }> {
    const { plan, peerKey } = this.#stack;
    const { hostList } = plan;
    const endpoint = formatEndpoint({
      host: hostList.address,
      port: hostList.port,
    });
    const { stdout } = await promisify(execFile)(process.execPath, [
      compiledPath("src/main.js"),
      ...["status", "--json"],
      ...["--host-list", `http://${endpoint}`],
      ...["--peer-key", peerKey],
    ], { timeout: STATUS_TIMEOUT_MS });
    const lines = (JSON.parse(stdout).proxies as ProxyLine[])
      .filter((line) => line.heard);
    for (const line of lines) this.#note(line);
    const revisions = lines.map((line) => line.revision ?? 0);
    return { lowest: Math.min(...revisions), heard: lines.length };
  }

  #note({ name, revision }: ProxyLine): void {
    const pid = this.#stack.process(name).ready.pid;
    const key = `${name} (${pid})`;
    const before = this.#highest.get(key) ?? 0;
    if (revision === undefined || revision >= before) {
      this.#highest.set(key, revision ?? before);
      return;
    }
    this.reverted.push(`${key}: ${before} to ${revision}`);
  }
}
