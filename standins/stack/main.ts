/**
 * `npm run stack -- --json`: starts a deployment, prints one line of JSON that
 * describes the deployment, and stops all processes on SIGTERM or SIGINT.
 *
 * @module
 */
import { parseArgs } from "node:util";
import { z } from "zod";
import { exampleNames, type StackOptions } from "./options.ts";
import { createStack, type Stack } from "./stack.ts";

const milliseconds = z.coerce.number().int().min(0).max(600_000).optional();

const flagsSchema = z.strictObject({
  json: z.boolean().default(false),
  example: z.enum(exampleNames).default("kotacic"),
  proxies: z.coerce.number().int().min(1).max(64).default(4),
  databases: z.string().optional(),
  network: z.boolean().default(false),
  latency: z.boolean().default(false),
  policy: z.enum(["session", "primary", "sticky"]).default("session"),
  acknowledge: z.enum(["majority", "primary"]).optional(),
  "receive-lag": milliseconds,
  "apply-lag": milliseconds,
  "open-delay": milliseconds,
  "host-list-lag": milliseconds,
  "log-level": z.enum(["trace", "debug", "info", "warn", "error", "fatal"])
    .default("info"),
}).refine((flags) => flags.network || !flags.latency, {
  path: ["latency"],
  message: "needs --network",
});

const BOOLEAN_FLAGS = ["json", "network", "latency"];

function readOptions(args: readonly string[]): StackOptions {
  const names = Object.keys(flagsSchema.shape);
  const options = Object.fromEntries(names.map((name) => {
    const type = BOOLEAN_FLAGS.includes(name) ? "boolean" : "string";
    return [name, { type } as const];
  }));
  const { values } = parseArgs({ args: [...args], options, strict: true });
  const flags = flagsSchema.parse({ ...values });
  return {
    ...flags,
    databases: flags.databases?.split(","),
    receiveLagMs: flags["receive-lag"],
    applyLagMs: flags["apply-lag"],
    openDelayMs: flags["open-delay"],
    hostListLagMs: flags["host-list-lag"],
    logLevel: flags["log-level"],
  };
}

function resolveOptions(): StackOptions {
  try {
    return readOptions(process.argv.slice(2));
  } catch (error) {
    const issue = error instanceof z.ZodError ? error.issues[0] : undefined;
    const text = issue
      ? `--${issue.path.join(".")}: ${issue.message}`
      : String(error);
    console.error(text);
    process.exit(2);
  }
}

let stopping = false;
let stack: Stack | undefined;

/** Stops the stack. During the start, the stop is deferred until the start has finished. */
async function stop(): Promise<void> {
  if (stopping) return;
  stopping = true;
  if (!stack) return;
  await stack.stop();
  process.exit(0);
}

const options = resolveOptions();
process.on("SIGTERM", stop);
process.on("SIGINT", stop);
try {
  stack = await createStack(options);
} catch (error) {
  console.error(`failed to start the stack: ${error}`);
  process.exit(1);
}
if (stopping) {
  await stack.stop();
  process.exit(0);
}
process.stdout.write(JSON.stringify(stack.describe()) + "\n");
