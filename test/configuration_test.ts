/**
 * Tests how control daemons replicate the configuration. Each daemon is a process
 * with its own address.
 *
 * @module
 */
import { randomUUID } from "node:crypto";
import { afterEach, beforeEach, describe, it } from "node:test";
import { setTimeout as sleep } from "node:timers/promises";
import { expect } from "earl";
import { pollInterval } from "../src/plugins/configuration/head_poller.ts";
import type { DaemonProcess } from "../standins/stack/daemon_process.ts";
import { ControlStack } from "./fixtures/control_stack.ts";
import { sampleDocument } from "./fixtures/sample_document.ts";
import { eventually } from "./support/eventually.ts";

const PROXY_COUNT = 3;
const OBSERVATION_MS = 2_000;

describe("configuration", () => {
  let stack: ControlStack;
  let proxies: DaemonProcess[];

  beforeEach(async () => {
    stack = await ControlStack.start();
  });
  afterEach(() => stack.stop());

  async function promote(service: string): Promise<number> {
    const operation = () => ({ id: randomUUID(), operator: "test" });
    const revisions = stack.revisions();
    const head = await revisions
      .put("trial", sampleDocument(service), operation())
      .andThen(() => revisions.promote("trial", "production", operation()));
    return head._unsafeUnwrap().number;
  }

  async function revisionOf(proxy: DaemonProcess): Promise<number | undefined> {
    return (await stack.report(proxy))?.revision;
  }

  async function waitForRevision(
    revision: number,
    watched: readonly DaemonProcess[] = proxies,
  ): Promise<void> {
    await eventually(async () => {
      const numbers = await Promise.all(watched.map(revisionOf));
      return numbers.every((number) => number === revision);
    }, `revision ${revision} everywhere`);
  }

  describe("an accepted document", () => {
    it("becomes active on every proxy, revision after revision", async () => {
      proxies = await stack.startProxies(PROXY_COUNT, "127.41.3");
      for (const service of ["one", "two", "three"]) {
        await waitForRevision(await promote(service));
      }
    });

    // Guards against a document of trial that is served in production before it is promoted.
    it("is active only in its own environment, whose proxies share the key and the list with the others'", async () => {
      const [live, tried] = [
        await stack.startProxy({ name: "live", address: "127.41.3.1" }),
        await stack.startProxy({
          name: "tried",
          address: "127.41.3.2",
          environment: "trial",
        }),
      ];
      const number = await promote("one");
      await waitForRevision(number, [live]);
      for (const service of ["two", "three"]) {
        const text = sampleDocument(service);
        const operation = { id: randomUUID(), operator: "test" };
        await stack.revisions().put("trial", text, operation);
      }
      await waitForRevision(3, [tried]);
      await sleep(OBSERVATION_MS);
      expect(await revisionOf(live)).toEqual(number);
      expect(await stack.alive(live)).toEqual(["live"]);
      expect(await stack.alive(tried)).toEqual(["tried"]);
    });

    it("that violates the schema leaves the previous revision active", async () => {
      proxies = await stack.startProxies(1, "127.41.3");
      await waitForRevision(await promote("one"));
      const text = "service: two\n";
      await stack.forceHead("production", 2, text);
      await sleep(OBSERVATION_MS);
      await waitForRevision(1);
      await stack.forceHead("production", 3, sampleDocument("three"));
      await waitForRevision(3);
    });
  });

  describe("a proxy that starts while the store is down", () => {
    it("takes the highest revision from a peer", async () => {
      proxies = await stack.startProxies(2, "127.41.4");
      const revision = await promote("one");
      await waitForRevision(revision);
      await stack.setFaults(stack.table, { down: true });
      await stack.setFaults(stack.objects, { down: true });
      const lateProxy = await stack.startProxy({
        name: "proxy-late",
        address: "127.41.4.9",
      });
      await waitForRevision(revision, [lateProxy]);
    });

    it("has no revision without a peer and loads one when the store recovers", async () => {
      const revision = await promote("one");
      await stack.setFaults(stack.table, { down: true });
      proxies = await stack.startProxies(1, "127.41.4");
      await sleep(OBSERVATION_MS);
      await waitForRevision(0);
      await stack.setFaults(stack.table, { down: false });
      await waitForRevision(revision);
    });
  });

  describe("a frozen proxy that resumes", () => {
    it("catches up with the revision that was accepted while it was frozen", async () => {
      proxies = await stack.startProxies(PROXY_COUNT, "127.41.5");
      await waitForRevision(await promote("one"));
      const [first, ...others] = proxies;
      first!.suspend();
      const next = await promote("two");
      await waitForRevision(next, others);
      first!.resume();
      await waitForRevision(next);
    });
  });

  describe("a partitioned zone", () => {
    it("keeps its revision, catches up when the partition heals, and takes new revisions from peers while only the store is unreachable", async () => {
      await stack.stop();
      stack = await ControlStack.start({ network: true });
      proxies = await stack.startProxies(4, "127.41.7", [
        "zagreb-a",
        "split-a",
      ]);
      const [first, second, third, fourth] = proxies as [
        DaemonProcess,
        DaemonProcess,
        DaemonProcess,
        DaemonProcess,
      ];
      await waitForRevision(await promote("one"));
      const splitZone = { zone: "split-a" };
      await stack.setNetworkFaults([
        { kind: "cut", from: splitZone, to: { outside: "split-a" } },
      ]);
      await waitForRevision(await promote("two"), [first, third]);
      await waitForRevision(1, [second, fourth]);
      await stack.setNetworkFaults([
        { kind: "cut", from: splitZone, to: { zone: "platform" } },
      ]);
      await waitForRevision(2);
      await waitForRevision(await promote("three"));
    });
  });

  describe("a proxy that restarts during an outage", () => {
    it("does not lower the active revision of its peer", async () => {
      proxies = await stack.startProxies(2, "127.41.6");
      await promote("one");
      const revision = await promote("two");
      await waitForRevision(revision);
      await stack.setFaults(stack.table, { down: true });
      await proxies[0]!.kill();
      const restarted = await stack.startProxy({
        name: "proxy-1",
        address: "127.41.6.1",
      });
      const seen = new Set<number | undefined>();
      await eventually(async () => {
        seen.add(await revisionOf(proxies[1]!));
        return await revisionOf(restarted) === revision;
      }, "the revision at the restarted proxy");
      expect([...seen]).toEqual([revision]);
    });
  });

  describe("the poll interval", () => {
    it("limits the reads of all proxies together to about eight per second", () => {
      expect(pollInterval(1, 0)).toEqual(500);
      expect(pollInterval(4, 0)).toEqual(500);
      for (const proxies of [16, 400, 5_200]) {
        const reads = proxies * 1_000 / pollInterval(proxies, 0);
        expect(reads).toEqual(8);
      }
    });
  });
});
