/**
 * Planned operations under load lose no write and fail no request: stopping
 * proxies, instances that are listed as leaving, planned changes of primary.
 *
 * @module
 */
import { after, afterEach, before, beforeEach, describe, it } from "node:test";
import { setTimeout as delay } from "node:timers/promises";
import { expect } from "earl";
import { createStack, type Stack } from "../standins/stack/stack.ts";
import { connectCaller } from "./support/callers.ts";
import { preferPrimary } from "./support/documents.ts";
import { eventually } from "./support/eventually.ts";
import { Load } from "./support/load.ts";

const CALLERS = 6;
const STOP_DEADLINE_MS = 20_000;
const SETTLE_MS = 1_500;
const LEAVE_DEADLINE_MS = 3_000;
const HOST_LIST_LAG_MS = 1_000;

describe("planned stops", { timeout: 240_000 }, () => {
  let stack: Stack;
  let load: Load;

  before(async () => {
    stack = await createStack({
      databases: ["booking"],
      logLevel: "error",
      hostListLagMs: HOST_LIST_LAG_MS,
    });
  });
  after(() => stack?.stop());
  beforeEach(async () => {
    await eventually(
      async () => (await listUnfencedStatuses()).length === 3,
      "three unfenced instances",
    );
    load = new Load(stack, CALLERS);
    await delay(SETTLE_MS);
  });

  afterEach(() => load.stop());

  async function listUnfencedStatuses(): Promise<
    readonly Readonly<Record<string, unknown>>[]
  > {
    const all = await Promise.all(
      stack.plan.instances.map((instance) =>
        stack.query(instance.name, "SELECT * FROM marjoramshed_status()").catch(
          () => [],
        )
      ),
    );
    return all.flat().filter((row) => row["role"] !== "fenced");
  }

  async function expectNothingFailed(): Promise<void> {
    await delay(SETTLE_MS);
    const verdict = await load.stop();
    const unknown = load.history.requests.filter((item) =>
      item.told === "unknown"
    );
    expect(unknown).toEqual([]);
    const { acknowledged: _, reads: __, ...broken } = verdict;
    expect(broken).toEqual({
      lost: [],
      doubled: [],
      torn: [],
      falseNotRun: [],
      readYourWrites: [],
    });
  }

  async function stopInTime(name: string): Promise<void> {
    const begun = performance.now();
    await stack.stopProxy(name);
    expect(performance.now() - begun < STOP_DEADLINE_MS).toEqual(true);
    expect(stack.process(name).exitStatus).toEqual(0);
  }

  describe("a proxy that receives SIGTERM", () => {
    it("exits with code 0 before the deadline, and no request fails", async () => {
      await stopInTime("entry-split-1");
      await stack.startProxy("entry-split-1");
      await expectNothingFailed();
    });

    it("completes an open transaction and disconnects idle callers with 57P01", async () => {
      const described = stack.describe();
      const working = await connectCaller({
        stack: described,
        database: "booking",
        proxy: 0,
      });
      const idle = await connectCaller({
        stack: described,
        database: "booking",
        proxy: 0,
      });
      const ended = new Promise((resolve) => idle.once("error", resolve));
      await working.query("BEGIN");
      await working.query(
        "INSERT INTO bookings VALUES ('open', 'p', 's', 'w')",
      );
      const stopped = stopInTime(described.proxies[0]!.name);
      expect((await ended as { code: string }).code).toEqual("57P01");
      await working.query("COMMIT");
      await stopped;
      await stack.startProxy(described.proxies[0]!.name);
      await working.end();
      await expectNothingFailed();
    });

    it("can be followed by the others, in a rolling restart of all four proxies", async () => {
      for (const { name } of stack.plan.proxies) {
        await stopInTime(name);
        await stack.startProxy(name);
      }
      await expectNothingFailed();
    });
  });

  describe("a planned change of primary", () => {
    it("fails no write when the document prefers another instance", async () => {
      const before = (await stack.findPrimary("booking"))!.instance.name;
      const wanted = stack.plan.instances.find((item) =>
        item.name !== before
      )!.name;
      await stack.promote(preferPrimary(stack.document, "booking", wanted));
      await eventually(
        async () =>
          (await stack.findPrimary("booking"))?.instance.name === wanted,
        "the preferred instance is the primary",
        30_000,
      );
      await expectNothingFailed();
    });

    it("fails no write when the primary is listed as leaving", async () => {
      await stack.promote(preferPrimary(stack.document, "booking", undefined));
      const before = (await stack.findPrimary("booking"))!.instance.name;
      await stack.setHostState(before, "leaving");
      await eventually(
        async () =>
          (await stack.findPrimary("booking"))?.instance.name !== before,
        "another instance is the primary",
        30_000,
      );
      await expectNothingFailed();
      await stack.setHostState(before, "live");
    });
  });

  describe("a replica that is listed as leaving", () => {
    it("gets no new work after 3 s and the list's lag", async () => {
      const primary = (await stack.findPrimary("booking"))!.instance.name;
      const leaving =
        stack.plan.instances.find((item) => item.name !== primary)!.name;
      await stack.setHostState(leaving, "leaving");
      await delay(LEAVE_DEADLINE_MS + HOST_LIST_LAG_MS);
      expect(await openConnections(leaving)).toEqual(0);
      await delay(SETTLE_MS);
      expect(await openConnections(leaving)).toEqual(0);
      await stack.setHostState(leaving, "live");
      await expectNothingFailed();
    });

    /** Counts the connections of all proxies to an instance, without control connections. */
    async function openConnections(name: string): Promise<number> {
      const counts = await Promise.all(
        stack.describe().proxies.map(async (proxy) => {
          const url = `http://${proxy.real.host}:${proxy.metricsPort}/metrics`;
          const text = await (await fetch(url)).text();
          const line = text.split("\n").find((item) =>
            item.startsWith("marjoramshed_connections_open{") &&
            item.includes(`"${name}"`)
          );
          return Number(line?.split(" ").at(-1) ?? 0);
        }),
      );
      return counts.reduce((sum, count) => sum + count, 0);
    }
  });

  describe("an unavailable or outdated host list", () => {
    it("is retained while the service is down, and requests go on", async () => {
      await stack.setPlatformFaults("hostList", { down: true });
      await delay(4 * SETTLE_MS);
      const before = load.answered;
      await delay(SETTLE_MS);
      expect(load.answered > before).toEqual(true);
      await stack.setPlatformFaults("hostList", { down: false });
      await expectNothingFailed();
    });

    it("lists a dead replica as live, and reads go on without that replica", async () => {
      const primary = (await stack.findPrimary("booking"))!.instance.name;
      const dead =
        stack.plan.instances.find((item) => item.name !== primary)!.name;
      await stack.killInstance(dead);
      await delay(SETTLE_MS);
      const reads = load.history.reads;
      await delay(SETTLE_MS);
      expect(load.history.reads > reads).toEqual(true);
      await stack.restartInstance(dead);
      await expectNothingFailed();
    });
  });
});
