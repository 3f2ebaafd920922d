/**
 * Membership of control daemons, each a process with its own address.
 *
 * @module
 */
import { afterEach, beforeEach, describe, it } from "node:test";
import { setTimeout as sleep } from "node:timers/promises";
import { expect } from "earl";
import type { DaemonProcess } from "../standins/stack/daemon_process.ts";
import { ControlStack } from "./fixtures/control_stack.ts";
import { eventually } from "./support/eventually.ts";

const PROXY_COUNT = 4;
const ZONES = ["zagreb-a", "split-a"];
const PROXY_NAMES = ["proxy-1", "proxy-2", "proxy-3", "proxy-4"];
const FREEZE_MS = 2_500;
const WATCH_MS = 4_000;
const WATCH_INTERVAL_MS = 100;

describe("membership", () => {
  let stack: ControlStack;
  let proxies: DaemonProcess[];

  beforeEach(async () => {
    stack = await ControlStack.start({ network: true });
    proxies = await stack.startProxies(PROXY_COUNT, "127.41.1", ZONES);
    await waitForViews(proxies, PROXY_NAMES);
  });
  afterEach(() => stack.stop());

  async function waitForViews(
    observers: readonly DaemonProcess[],
    names: readonly string[],
  ): Promise<void> {
    await eventually(async () => {
      const views = await Promise.all(
        observers.map((observer) => stack.alive(observer)),
      );
      return views.every((view) => view.join() === names.join());
    }, `the view ${names.join()}`);
  }

  describe("a killed proxy", () => {
    it("disappears from every view and reappears in each after a restart", async () => {
      const [first, ...others] = proxies;
      await first!.kill();
      await waitForViews(others, PROXY_NAMES.slice(1));
      await stack.startProxy({ name: "proxy-1", address: "127.41.1.1" });
      await waitForViews(others, PROXY_NAMES);
    });
  });

  describe("a proxy that leaves", () => {
    it("disappears from every view by its own announcement", async () => {
      const [first, ...others] = proxies;
      await Promise.all([
        first!.stop(),
        waitForViews(others, PROXY_NAMES.slice(1)),
      ]);
    });
  });

  describe("a frozen proxy", () => {
    it("declares no other proxy gone when it resumes, and is alive again in every view", async () => {
      const [first] = proxies;
      first!.suspend();
      await waitForViews(proxies.slice(1), PROXY_NAMES.slice(1));
      first!.resume();
      const deadline = performance.now() + WATCH_MS;
      while (performance.now() < deadline) {
        const report = await stack.report(first!);
        const gone = report?.members
          .filter((member) => member.liveness === "gone") ?? [];
        expect(gone).toEqual([]);
        await sleep(WATCH_INTERVAL_MS);
      }
      await waitForViews(proxies, PROXY_NAMES);
    });
  });

  describe("all proxies except one, frozen at the same time", () => {
    it("count as alive in every view again after they resume", async () => {
      for (const proxy of proxies.slice(1)) proxy.suspend();
      await sleep(FREEZE_MS);
      for (const proxy of proxies.slice(1)) proxy.resume();
      await waitForViews(proxies, PROXY_NAMES);
    });
  });

  describe("a one-way network cut between two proxies", () => {
    it("removes no proxy from any view, since other proxies reach both", async () => {
      await stack.setNetworkFaults([{
        kind: "cut",
        from: { host: "proxy-1" },
        to: { host: "proxy-2" },
        ways: "one",
      }]);
      const deadline = performance.now() + WATCH_MS;
      while (performance.now() < deadline) {
        const views = await Promise.all(
          proxies.map((proxy) => stack.alive(proxy)),
        );
        for (const view of views) expect(view).toEqual(PROXY_NAMES);
        await sleep(WATCH_INTERVAL_MS);
      }
    });
  });

  describe("zones separated by a network partition", () => {
    it("see only their own proxies, and all proxies again after the partition heals", async () => {
      await stack.setNetworkFaults([{
        kind: "cut",
        from: { zone: "zagreb-a" },
        to: { zone: "split-a" },
      }]);
      const [first, second, third, fourth] = proxies as [
        DaemonProcess,
        DaemonProcess,
        DaemonProcess,
        DaemonProcess,
      ];
      await waitForViews([first, third], ["proxy-1", "proxy-3"]);
      await waitForViews([second, fourth], ["proxy-2", "proxy-4"]);
      await stack.setNetworkFaults([]);
      await waitForViews(proxies, PROXY_NAMES);
    });
  });

  describe("a proxy with a different peer key", () => {
    it("is refused and appears in no other view", async () => {
      const unauthorized = await stack.startProxy({
        name: "unauthorized",
        address: "127.41.1.9",
        peerKey: "a key that no other proxy has",
      });
      await sleep(FREEZE_MS);
      await waitForViews(proxies, PROXY_NAMES);
      expect(await stack.report(unauthorized)).toEqual(undefined);
    });
  });
});
