/**
 * The launcher as a process: its line of JSON, its callers and its end.
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

function launch(args: readonly string[]): ChildProcess {
  const launcher = compiledPath("standins/stack/main.js");
  return spawn(process.execPath, [launcher, "--json", ...args], {
    stdio: ["ignore", "pipe", "inherit"],
  });
}

function runs(pid: number): boolean {
  try {
    process.kill(pid, 0);
    return true;
  } catch {
    return false;
  }
}

/** Ids of the processes that a process has started. */
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
    child = launch([
      ...["--databases", "stock"],
      ...["--proxies", "2"],
      ...["--log-level", "warn"],
      "--network",
      "--latency",
    ]);
    child.stdout!.on("data", (data) => output += data);
    await eventually(
      () => {
        if (child.exitCode !== null) throw new Error("the stack has ended");
        return output.includes("\n");
      },
      "the stack's line of JSON",
      120_000,
    );
    stack = JSON.parse(output);
  });
  after(async () => {
    if (child.exitCode !== null) return;
    child.kill("SIGTERM");
    await once(child, "exit");
  });

  it("describes all its processes in one line", () => {
    expect(stack.proxies.length).toEqual(2);
    expect(stack.databases.map((one) => one.name)).toEqual(["stock"]);
    const roles = stack.databases[0]!.instances.map((one) => one.role);
    expect(roles.toSorted()).toEqual(["primary", "replica", "replica"]);
    expect(listPids(stack).every(runs)).toEqual(true);
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
      // Another session: it may see data as old as the document states.
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

  it("stops everything on SIGTERM, with code 0", async () => {
    const pids = listPids(stack);
    child.kill("SIGTERM");
    const [code] = await once(child, "exit");
    expect(code).toEqual(0);
    expect(pids.filter(runs)).toEqual([]);
    expect(output.trim().split("\n").length).toEqual(1);
  });

  it("takes a network that no other stack has", async () => {
    const first = await createAddressSpace();
    const second = await createAddressSpace();
    expect(first.allocateAddress(1)).not.toEqual(second.allocateAddress(1));
    first.release();
    second.release();
  });

  it("stops what it has started when it is stopped during the start", async () => {
    const starting = launch(["--databases", "stock", "--log-level", "error"]);
    let early = "";
    starting.stdout!.on("data", (data) => early += data);
    await eventually(() => listChildren(starting.pid!) !== "", "a daemon");
    starting.kill("SIGTERM");
    const [code] = await once(starting, "exit");
    expect({ code, early }).toEqual({ code: 0, early: "" });
  });

  it("ends with code 1 when it can't start", async () => {
    const failing = launch(["--databases", "no-such-database"]);
    const [code] = await once(failing, "exit");
    expect(code).toEqual(1);
  });
});
