/**
 * Runs the compiled test files. A failure that is listed in KNOWN-RED.txt is
 * printed but not counted; each entry of that file starts with the line
 * `test: <file without folder and ending> / <name of the test>`.
 *
 * @module
 */
import { readdirSync, readFileSync } from "node:fs";
import { availableParallelism } from "node:os";
import { basename } from "node:path";
import { run } from "node:test";
import { spec } from "node:test/reporters";

const TEST_TIMEOUT_MS = 300_000;
/**
 * Files that run at a time: one for two cores, since a file starts up to twenty
 * processes that mostly wait. Four take about 8 GB.
 */
const PARALLEL_FILES = Math.max(1, Math.floor(availableParallelism() / 2));
/** Number of files whose durations are printed. */
const LISTED_DURATIONS = 12;
/** The files that take more than 15 s; they start first, so that none runs alone at the end. */
const LONG_FILES: readonly string[] = [
  "scheduling/pace_load_test.js",
  "not_run_test.js",
  "failover_test.js",
  "platform/soak_test.js",
  "platform/forwarding_primary_test.js",
  "platform/forwarding_test.js",
  "planned_stop_test.js",
  "membership_test.js",
  "configuration_test.js",
  "platform/faults_test.js",
  "whole_answer_test.js",
  "replaced_primary_test.js",
  "platform/prepared_statements_test.js",
  "instance_test.js",
  "platform/restart_test.js",
  "platform/relay_test.js",
  "read_your_writes_test.js",
  "isolation_test.js",
  "stack_test.js",
  "connections_test.js",
  "platform/suspension_test.js",
];

const folder = new URL(".", import.meta.url).pathname;
const knownRed = readFileSync("KNOWN-RED.txt", "utf8").trim();
const redTests = knownRed.split("\n")
  .filter((line) => line.startsWith("test: "))
  .map((line) => line.slice("test: ".length).trim());

const wanted = process.argv.slice(2);
const files = readdirSync(folder, { recursive: true, encoding: "utf8" })
  .filter((name) => name.endsWith("_test.js"))
  .filter((name) =>
    wanted.length === 0 || wanted.some((part) => name.includes(part))
  )
  .sort((left, right) =>
    rankOf(left) - rankOf(right) || (left < right ? -1 : 1)
  )
  .map((name) => folder + name);

function rankOf(name: string): number {
  const rank = LONG_FILES.indexOf(name);
  return rank < 0 ? LONG_FILES.length : rank;
}

function isKnownRed(file: string | undefined, name: string): boolean {
  const stem = basename(file ?? "").replace(/\.[jt]s$/, "");
  return redTests.includes(`${stem} / ${name}`);
}

/** Durations in ms of the outermost suites by file. */
const durations = new Map<string, number>();

function addDuration(event: {
  readonly file?: string | undefined;
  readonly nesting: number;
  readonly details: { readonly duration_ms: number };
}): void {
  if (event.nesting > 0) return;
  const name = basename(event.file ?? "", ".js");
  const former = durations.get(name) ?? 0;
  durations.set(name, former + event.details.duration_ms);
}

let passed = 0;
let failed = 0;
let red = 0;
const stream = run({
  files,
  concurrency: PARALLEL_FILES,
  timeout: TEST_TIMEOUT_MS,
});
stream.on("test:pass", (event) => {
  addDuration(event);
  if (event.details.type !== "suite") passed += 1;
});
stream.on("test:fail", (event) => {
  addDuration(event);
  if (event.details.type === "suite") return;
  if (isKnownRed(event.file, event.name)) {
    red += 1;
    return;
  }
  failed += 1;
});
stream.compose(new spec()).pipe(process.stdout);
stream.on("end", () => {
  if (knownRed !== "") {
    console.log(`known red, ${red} seen failing:\n${knownRed}\n`);
  }
  const longest = [...durations].sort(([, left], [, right]) => right - left)
    .slice(0, LISTED_DURATIONS)
    .map(([name, ms]) => `${name} ${Math.round(ms / 1_000)} s`);
  console.log(`longest files: ${longest.join(", ")}`);
  console.log(`${passed} passed, ${failed} failed`);
  process.exitCode = failed === 0 && passed > 0 ? 0 : 1;
});
