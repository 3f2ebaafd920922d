/**
 * `npm run bench -- NAME`: the load tool. Prints a table for people and ends
 * with one line of JSON; progress goes to standard error.
 *
 * @module
 */
import { Cli, Command, Option, UsageError } from "clipanion";
import type { Benchmark } from "./benchmark.ts";
import { benchConfiguration } from "./configuration.ts";
import { benchConnections } from "./connections.ts";
import { benchFailover } from "./failover.ts";
import { benchGroups } from "./groups.ts";
import { benchOverhead } from "./overhead.ts";
import { benchOverload } from "./overload.ts";
import { benchReads } from "./reads.ts";

const BENCHMARKS: Readonly<Record<string, Benchmark>> = {
  reads: benchReads,
  failover: benchFailover,
  connections: benchConnections,
  overload: benchOverload,
  overhead: benchOverhead,
  configuration: benchConfiguration,
  groups: benchGroups,
};
const NAMES = Object.keys(BENCHMARKS).join("|");

class BenchCommand extends Command {
  static override paths = [Command.Default];
  static override usage = Command.Usage({
    description: "Measures a whole deployment of processes on this machine.",
    examples: [["Share of reads from replicas", "npm run bench -- reads"]],
  });

  name = Option.String({ name: NAMES });
  seconds = Option.String("--seconds", "10", {
    description: "Length of each measured phase, in s",
  });
  rounds = Option.String("--rounds", "20", {
    description:
      "Number of faults of each kind in `failover`, of revisions in `configuration`",
  });
  callers = Option.String("--callers", {
    description: "Number of callers, for each proxy in `connections`",
  });

  async execute(): Promise<number> {
    const benchmark = BENCHMARKS[this.name];
    if (!benchmark) {
      throw new UsageError(`expected ${NAMES}, found ${this.name}`);
    }
    const { rows, summary } = await benchmark({
      seconds: this.#count("--seconds", this.seconds),
      rounds: this.#count("--rounds", this.rounds),
      callers: this.callers === undefined
        ? undefined
        : this.#count("--callers", this.callers),
      report: (text) => this.context.stderr.write(text + "\n"),
    });
    console.table(rows);
    this.context.stdout.write(JSON.stringify(summary) + "\n");
    return 0;
  }

  #count(flag: string, text: string): number {
    if (/^[1-9]\d{0,5}$/.test(text)) return Number(text);
    throw new UsageError(`${flag}: expected a whole number, found ${text}`);
  }
}

// The end of this process takes its daemons with it.
process.once("SIGTERM", () => process.exit(1));
process.once("SIGINT", () => process.exit(1));
const cli = new Cli({ binaryName: "npm run bench --" });
cli.register(BenchCommand);
process.exitCode = await cli.run(process.argv.slice(2), {
  stdout: process.stdout,
  stderr: process.stderr,
});
