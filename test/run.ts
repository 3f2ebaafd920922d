/**
 * Runs the compiled test files. A failure that is listed in KNOWN-RED.txt is
 * printed but not counted; each entry of that file starts with the line
 * `test: <file without folder and ending> / <name of the test>`.
 *
 * @module
 */
import { readdirSync, readFileSync } from "node:fs";
import { basename } from "node:path";
import { run } from "node:test";
import { spec } from "node:test/reporters";

const TEST_TIMEOUT_MS = 300_000;
const PARALLEL_FILES = 3;

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
  .sort()
  .map((name) => folder + name);

function isKnownRed(file: string | undefined, name: string): boolean {
  const stem = basename(file ?? "").replace(/\.[jt]s$/, "");
  return redTests.includes(`${stem} / ${name}`);
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
  if (event.details.type !== "suite") passed += 1;
});
stream.on("test:fail", (event) => {
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
  console.log(`${passed} passed, ${failed} failed`);
  process.exitCode = failed === 0 && passed > 0 ? 0 : 1;
});
