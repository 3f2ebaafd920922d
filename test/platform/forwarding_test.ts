/**
 * Real processes that use each other's connections to the instances, and holders
 * that fail under load.
 *
 * @module
 */
import { afterEach, describe, it } from "node:test";
import { setTimeout as sleep } from "node:timers/promises";
import { expect } from "earl";
import { eventually } from "../support/eventually.ts";
import { Deployment, type Host } from "./fixtures/deployment.ts";
import {
  agreedHolders,
  expectToldTruth,
  FEW_CONNECTIONS,
  findMember,
  Load,
  longestGap,
} from "./fixtures/forwarding_load.ts";

let deployment: Deployment;

describe("hosts that share few connections", () => {
  afterEach(() => deployment.stop());

  it("run the statements of all hosts on the holder's connections", async () => {
    deployment = await Deployment.start(FEW_CONNECTIONS);
    const [holder] = await agreedHolders(deployment);
    for (const index of deployment.hosts.keys()) {
      const caller = await deployment.open(index, "booking");
      for (let turn = 0; turn < 5; turn += 1) {
        const id = `w${index}x${turn}`;
        const answer = await caller.run(`WRITE ${id} data of ${id}`, id);
        expect(answer.error).toEqual(undefined);
        const read = await caller.run(`READ ${id}`);
        expect(read.rows).toEqual([`data of ${id}`]);
      }
      caller.close();
    }
    const { ran, mostOpen } = await findMember(deployment);
    expect(ran.filter(({ word }) => word === "WRITE").length).toEqual(25);
    const users = new Set(ran.map(({ account }) => account));
    expect([...users]).toEqual([holder!.name]);
    expect(mostOpen <= 2).toEqual(true);
  });

  it("pass a statement of the longest message, and texts of any bytes", async () => {
    deployment = await Deployment.start(FEW_CONNECTIONS);
    const [holder] = await agreedHolders(deployment);
    const other = deployment.hosts.findIndex((host) => host !== holder);
    const caller = await deployment.open(other, "booking");
    const head = "QUERY l1 WRITE long ";
    const fill = Array.from(
      { length: 256 },
      (_, code) => code === 10 || code === 13 ? " " : String.fromCharCode(code),
    ).join("");
    const data = fill.repeat(4096).slice(0, 1024 * 1024 - head.length);
    await caller.run("SET note \u0000\u00ff\u0001");
    const written = await caller.run(`WRITE long ${data}`, "l1");
    expect(written.error).toEqual(undefined);
    const { log } = await findMember(deployment);
    expect(log.some(({ writes }) => writes.some(({ id }) => id === "l1")))
      .toEqual(true);
    const read = await caller.run("READ short");
    expect(read.rows).toEqual(["- note=\u0000\u00ff\u0001"]);
    caller.close();
  });

  it("run transactions on one connection, and roll back those of a host that dies", async () => {
    deployment = await Deployment.start(FEW_CONNECTIONS);
    const [holder] = await agreedHolders(deployment);
    const other = deployment.hosts.findIndex((host) => host !== holder);
    const caller = await deployment.open(other, "booking");
    for (const statement of ["BEGIN", "WRITE t1 a", "WRITE t2 b", "COMMIT"]) {
      expect((await caller.run(statement)).error).toEqual(undefined);
    }
    for (const statement of ["BEGIN", "WRITE t3 c"]) {
      expect((await caller.run(statement)).error).toEqual(undefined);
    }
    await deployment.hosts[other]!.kill();
    const reader = await deployment.open(
      deployment.hosts.indexOf(holder!),
      "booking",
    );
    const items = ["t1", "t2", "t3"];
    const rows: (string | undefined)[] = [];
    for (const item of items) {
      rows.push((await reader.run(`READ ${item}`)).rows[0]);
    }
    expect(rows).toEqual(["a", "b", "-"]);
    await eventually(async () => {
      const lines = (await holder!.metrics()).split("\n");
      return lines.includes("marjoramshed_held_transactions 0");
    });
    reader.close();
  });

  // Guards against transactions that a release of the hosts, one after the other, breaks off.
  it("let transactions end whose holder stops, or whose sender", async () => {
    deployment = await Deployment.start({
      ...FEW_CONNECTIONS,
      // Enough for two transactions at a time.
      connections: 20,
      accounts: ["acme"],
    });
    const [holder] = await agreedHolders(deployment);
    const senders = deployment.hosts.filter((host) => host !== holder);
    const callers = await Promise.all(
      senders.slice(0, 2).map((host) =>
        deployment.open(deployment.hosts.indexOf(host), "booking", "key-acme")
      ),
    );
    const runAll = async (statement: string) => {
      const answers = await Promise.all(
        callers.map((caller) => caller.run(statement)),
      );
      expect(answers.map(({ error }) => error)).toEqual([undefined, undefined]);
    };
    await runAll("BEGIN");
    await runAll("WRITE before x");
    holder!.signal("SIGTERM");
    senders[0]!.signal("SIGTERM");
    for (let turn = 0; turn < 3; turn += 1) {
      await sleep(300);
      await runAll(`WRITE during${turn} x`);
    }
    await runAll("COMMIT");
    const { log } = await findMember(deployment);
    expect(log.map(({ writes }) => writes.length)).toEqual([4, 4]);
    for (const caller of callers) caller.close();
    expect(await holder!.ended()).toEqual(0);
    expect(await senders[0]!.ended()).toEqual(0);
  });
});

describe("an instance that answers late", () => {
  afterEach(() => deployment.stop());

  /** A caller at a host that is not the holder, and the holder. */
  async function openElsewhere() {
    deployment = await Deployment.start(FEW_CONNECTIONS);
    const [holder] = await agreedHolders(deployment);
    const other = deployment.hosts.findIndex((host) => host !== holder);
    const caller = await deployment.open(other, "booking");
    await caller.run("WRITE first x");
    return { caller, holder: holder! };
  }

  // Guards against sessions that are of no use for seconds after a slow statement.
  it("lets the session go on as soon as the answer shows that nothing runs any more", async () => {
    const { caller } = await openElsewhere();
    await deployment.order("delay", "i-ledger-0/3500");
    const late = await caller.run("WRITE late x", "late1");
    expect(late.error).toEqual("UNKNOWN");
    await deployment.order("delay", "i-ledger-0/0");
    const startedAt = performance.now();
    expect((await caller.run("SET k v")).error).toEqual(undefined);
    expect(performance.now() - startedAt < 2_500).toEqual(true);
    const { ran } = await findMember(deployment);
    expect(ran.filter(({ id }) => id === "late1").length).toEqual(1);
    caller.close();
  });

  it("through a holder that dies before it answers runs the write once, and its outcome is unknown", async () => {
    const { caller, holder } = await openElsewhere();
    await deployment.order("delay", "i-ledger-0/600");
    const writing = caller.run("WRITE lost x", "lost1");
    await sleep(300);
    await holder.kill();
    expect((await writing).error).toEqual("UNKNOWN");
    await deployment.order("delay", "i-ledger-0/0");
    expect((await caller.run("READ lost")).rows).toEqual(["x"]);
    const { ran } = await findMember(deployment);
    expect(ran.filter(({ id }) => id === "lost1").length).toEqual(1);
    caller.close();
  });
});

describe("a holder that fails under load", () => {
  afterEach(() => deployment.stop());

  /** Lets the holder fail while all other hosts write; returns the writes and the time of the fault. */
  async function failHolder(fault: (holder: Host) => Promise<unknown>) {
    const [holder] = await agreedHolders(deployment);
    const others = deployment.hosts.filter((host) => host !== holder);
    const load = new Load(deployment, others);
    await sleep(1_000);
    const at = performance.now();
    await fault(holder!);
    await sleep(1_500);
    const writes = await load.end();
    await expectToldTruth(deployment, writes);
    const before = writes.filter(({ endedAt }) => endedAt < at);
    expect(before.every(({ error }) => error === undefined)).toEqual(true);
    return { writes, at, holder: holder!, others };
  }

  // A caller gives up after the time of one statement (3 s); the fault is found within 0.6 s.
  const BYPASS_BOUND_MS = 2_000;

  it("by a kill is bypassed, and no write runs twice", async () => {
    deployment = await Deployment.start(FEW_CONNECTIONS);
    const { writes, at } = await failHolder(async (holder) => {
      await holder.kill();
      await sleep(2_000);
    });
    expect(longestGap(writes, at) < BYPASS_BOUND_MS).toEqual(true);
  });

  // Guards against statements that a suspended holder begins after their senders have given them up.
  it("by a suspension is bypassed, and begins nothing late", async () => {
    deployment = await Deployment.start({
      ...FEW_CONNECTIONS,
      standingClock: true,
    });
    const { writes, at } = await failHolder(async (holder) => {
      await holder.suspend(5_000);
      await sleep(2_000);
    });
    expect(longestGap(writes, at) < BYPASS_BOUND_MS).toEqual(true);
  });

  it("by a planned stop loses no statement", async () => {
    deployment = await Deployment.start(FEW_CONNECTIONS);
    const { writes, holder, others } = await failHolder(async (holder) => {
      holder.signal("SIGTERM");
      await holder.ended();
    });
    expect(writes.filter(({ error }) => error === "UNKNOWN")).toEqual([]);
    const [successor] = await agreedHolders(deployment, others);
    expect(successor !== holder).toEqual(true);
  });
});
