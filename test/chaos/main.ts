/**
 * `npm run chaos -- --seed N --seconds S`: mixed traffic under a random
 * schedule of faults; at the end what callers were told is checked against
 * what the database holds. Exit code 1 when a promise was broken.
 *
 * @module
 */
import { setTimeout as sleep } from "node:timers/promises";
import { parseArgs } from "node:util";
import { uniformInt } from "pure-rand/distribution/uniformInt";
import { xoroshiro128plus } from "pure-rand/generator/xoroshiro128plus";
import { createStack, type Stack } from "../../standins/stack/stack.ts";
import { eventually } from "../support/eventually.ts";
import { ChaosCaller } from "./caller.ts";
import { History, isBroken } from "./history.ts";
import { Injector } from "./injector.ts";
import { RevisionsWatch } from "./revisions_watch.ts";
import { createSchedule } from "./schedule.ts";

const CALLERS = 8;
const MS_PER_SECOND = 1_000;
const WATCH_INTERVAL_MS = 2_000;
const RECOVERY_TIMEOUT_MS = 60_000;
const DATABASE = "booking";

const { values: flags } = parseArgs({
  options: {
    seed: { type: "string", default: "1" },
    seconds: { type: "string", default: "30" },
    "log-level": { type: "string", default: "error" },
  },
});
const seed = Number(flags.seed);
const length = Number(flags.seconds) * MS_PER_SECOND;

function report(text: string): void {
  process.stderr.write(`seed ${seed}: ${text}\n`);
}

function createRandom(stream: number): () => number {
  const random = xoroshiro128plus(seed * 1_000 + stream);
  return () => uniformInt(random, 0, 999_999) / 1_000_000;
}

async function runSchedule(stack: Stack, injector: Injector): Promise<void> {
  const begun = performance.now();
  for (const fault of createSchedule(seed, length)) {
    await sleep(Math.max(0, begun + fault.at - performance.now()));
    injector.inject(fault);
  }
  await sleep(Math.max(0, begun + length - performance.now()));
  await injector.healed();
  await stack.setNetworkFaults([]);
}

async function watchRevisions(
  watch: RevisionsWatch,
  ended: () => boolean,
): Promise<void> {
  while (!ended()) {
    await watch.look().catch(() => {});
    await sleep(WATCH_INTERVAL_MS);
  }
}

async function readRows(stack: Stack): Promise<ReadonlyMap<string, number>> {
  const primary = await stack.findPrimary(DATABASE);
  const rows = await stack.query(
    primary!.instance.name,
    "SELECT booking, count(*)::int AS n FROM bookings GROUP BY booking",
  );
  return new Map(rows.map((row) => [String(row["booking"]), Number(row["n"])]));
}

async function run(stack: Stack): Promise<boolean> {
  const history = new History();
  const injector = new Injector(stack, report);
  const watch = new RevisionsWatch(stack);
  const callers = Array.from(
    { length: CALLERS },
    (_, index) =>
      new ChaosCaller(
        index,
        () => stack.describe(),
        history,
        createRandom(index),
      ),
  );
  const traffic = Promise.all(callers.map((caller) => caller.run()));
  let ended = false;
  const watching = watchRevisions(watch, () => ended);
  await runSchedule(stack, injector);
  report("all faults are healed");
  for (const caller of callers) caller.stop();
  await traffic;
  ended = true;
  await watching;
  // The last promoted document has to be in force everywhere in the end.
  await eventually(
    async () => (await watch.look()).heard === stack.plan.proxies.length,
    "every proxy heard",
    RECOVERY_TIMEOUT_MS,
  );
  const verdict = history.check(await readRows(stack));
  const { lowest } = await watch.look();
  const broken = isBroken(verdict) || watch.reverted.length > 0;
  process.stdout.write(
    JSON.stringify({
      seed,
      ...verdict,
      reverted: watch.reverted,
      revision: lowest,
      broken,
    }) + "\n",
  );
  return broken;
}

const stack = await createStack({
  databases: [DATABASE],
  network: true,
  latency: true,
  logLevel: flags["log-level"] as "error",
});
try {
  process.exitCode = await run(stack) ? 1 : 0;
} finally {
  await stack.stop();
}
