/**
 * Runs callers in several processes, so that the load tool is not what limits.
 *
 * @module
 */
import { type ChildProcess, fork } from "node:child_process";
import { once } from "node:events";
import type {
  CallerAccount,
  CallerOrder,
  CallerReport,
  Load,
  Target,
} from "./orders.ts";
import { Tally } from "./tally.ts";

const MODULE = new URL("./caller_process.js", import.meta.url).pathname;
const DEFAULT_PROCESSES = 2;
const START_DELAY_MS = 200;

/** What a fleet is made of. */
export interface FleetOptions {
  readonly account: CallerAccount;
  readonly targets: readonly Target[];
  /** Callers of all processes together. */
  readonly callers: number;
  readonly load: Load;
  readonly durationMs: number;
  /** Default 2. */
  readonly processes?: number;
}

/** Callers that are connected and wait for the start. */
export class Fleet {
  readonly #options: FleetOptions;
  readonly #children: ChildProcess[] = [];

  private constructor(options: FleetOptions) {
    this.#options = options;
  }

  /** Starts the processes; resolves when all callers are connected. */
  static async connect(options: FleetOptions): Promise<Fleet> {
    const fleet = new Fleet(options);
    const { processes = DEFAULT_PROCESSES } = options;
    for (let index = 0; index < processes; index += 1) {
      fleet.#children.push(fork(MODULE));
    }
    await Promise.all(fleet.#children.map(async (child, index) => {
      child.send(fleet.#order(index, 0));
      await answerOf(child);
    }));
    return fleet;
  }

  /** Runs the load; resolves with what happened. */
  async run(): Promise<Tally> {
    const startAt = Date.now() + START_DELAY_MS;
    const tally = new Tally(startAt);
    const reports = await Promise.all(
      this.#children.map(async (child, index) => {
        child.send(this.#order(index, startAt));
        return await answerOf(child) as CallerReport;
      }),
    );
    for (const report of reports) tally.add(report);
    return tally;
  }

  /** Ends the processes. */
  stop(): void {
    for (const child of this.#children) child.kill("SIGKILL");
  }

  #order(index: number, startAt: number): CallerOrder {
    const { load, callers } = this.#options;
    const count = this.#children.length;
    const first = Math.floor(callers * index / count);
    const next = Math.floor(callers * (index + 1) / count);
    return {
      ...this.#options,
      callers: next - first,
      firstIndex: first,
      load: load.workload === "statements" && load.ratePerSecond
        ? { ...load, ratePerSecond: load.ratePerSecond / count }
        : load,
      startAt,
    };
  }
}

/** Connects callers, runs their load and ends them. */
export async function runLoad(options: FleetOptions): Promise<Tally> {
  const fleet = await Fleet.connect(options);
  try {
    return await fleet.run();
  } finally {
    fleet.stop();
  }
}

async function answerOf(child: ChildProcess): Promise<unknown> {
  const ended = once(child, "exit").then(() => {
    throw new Error("a process of callers ended early");
  });
  const [message] = await Promise.race([once(child, "message"), ended]);
  return message;
}
