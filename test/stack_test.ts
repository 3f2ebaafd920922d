/**
 * Tests the stack launcher as a process: its description in JSON, caller
 * connections and shutdown.
 *
 * @module
 */
import { type ChildProcess, spawn } from "node:child_process";
import { once } from "node:events";
import { readFileSync } from "node:fs";
import { after, before, describe, it } from "node:test";
import { expect } from "earl";
import pg from "pg";
import postgres from "postgres";
import { createAddressSpace } from "../standins/stack/address_space.ts";
import { compiledPath } from "../standins/stack/daemon_process.ts";
import type { StackDescription } from "../standins/stack/options.ts";
import { eventually } from "./support/eventually.ts";

function launchStack(args: readonly string[]): ChildProcess {
  const launcher = compiledPath("standins/stack/main.js");
  return spawn(process.execPath, [launcher, "--json", ...args], {
    stdio: ["ignore", "pipe", "inherit"],
  });
}

function isRunning(pid: number): boolean {
  try {
    process.kill(pid, 0);
    return true;
  } catch {
    return false;
  }
}

/** Process ids of the children of a process, separated by spaces. */
function listChildren(pid: number): string {
  return readFileSync(`/proc/${pid}/task/${pid}/children`, "utf8");
}

function listPids(stack: StackDescription): readonly number[] {
  const { tableService, objectStore, hostList } = stack;
  const platform = [tableService, objectStore, hostList];
  const instances = stack.databases.flatMap((one) => one.instances);
  return [...stack.proxies, ...instances, ...platform].map((one) => one.pid);
}

describe("stack", () => {
  let child: ChildProcess;
  let stack: StackDescription;
  let output = "";

  before(async () => {
    child = launchStack([
      ...["--databases", "stock"],
      ...["--proxies", "2"],
      ...["--log-level", "warn"],
      "--network",
      "--latency",
    ]);
    child.stdout!.on("data", (data) => output += data);
    await eventually(
      () => {
        if (child.exitCode !== null) throw new Error("the stack exited");
        return output.includes("\n");
      },
      "the stack's description is printed",
      120_000,
    );
    stack = JSON.parse(output);
  });
  after(async () => {
    if (child.exitCode !== null) return;
    child.kill("SIGTERM");
    await once(child, "exit");
  });

  it("describes all processes in one line of JSON", () => {
    expect(stack.proxies.length).toEqual(2);
    expect(stack.databases.map((one) => one.name)).toEqual(["stock"]);
    const roles = stack.databases[0]!.instances.map((one) => one.role);
    expect(roles.toSorted()).toEqual(["primary", "replica", "replica"]);
    expect(listPids(stack).every(isRunning)).toEqual(true);
  });

  it("serves pg and postgres callers through different proxies", async () => {
    const { user, password, proxies } = stack;
    const [first, second] = proxies;
    const account = { user, password, database: "stock" };
    const { host, port } = first!;
    const writer = new pg.Client({ ...account, host, port });
    const reader = postgres({
      ...account,
      host: second!.host,
      port: second!.port,
      max: 1,
      connection: { application_name: "shop" },
    });
    try {
      await writer.connect();
      const update = "UPDATE stock SET quantity = $1 " +
        "WHERE shop = 'shop-1' AND wheel = 'wheel-1'";
      await writer.query(update, [7]);
      // Another session may read stale data, within the staleness that the document allows.
      await eventually(async () => {
        const rows = await reader`
          SELECT quantity FROM stock
          WHERE shop = 'shop-1' AND wheel = 'wheel-1'`;
        return rows[0]!["quantity"] === 7;
      });
    } finally {
      await writer.end();
      await reader.end();
    }
  });

  it("stops all processes on SIGTERM and exits with code 0", async () => {
    const pids = listPids(stack);
    child.kill("SIGTERM");
    const [code] = await once(child, "exit");
    expect(code).toEqual(0);
    expect(pids.filter(isRunning)).toEqual([]);
    expect(output.trim().split("\n").length).toEqual(1);
  });

  it("reserves a network that no other stack uses", async () => {
    const first = await createAddressSpace();
    const second = await createAddressSpace();
    expect(first.allocateAddress(1)).not.toEqual(second.allocateAddress(1));
    first.release();
    second.release();
  });

  it("stops the started processes on SIGTERM during the start", async () => {
    const starting = launchStack([
      "--databases",
      "stock",
      "--log-level",
      "error",
    ]);
    let earlyOutput = "";
    starting.stdout!.on("data", (data) => earlyOutput += data);
    await eventually(
      () => listChildren(starting.pid!) !== "",
      "a daemon is started",
    );
    starting.kill("SIGTERM");
    const [code] = await once(starting, "exit");
    expect({ code, early: earlyOutput }).toEqual({ code: 0, early: "" });
  });

  it("exits with code 1 when the start fails", async () => {
    const failing = launchStack(["--databases", "no-such-database"]);
    const [code] = await once(failing, "exit");
    expect(code).toEqual(1);
  });
});
