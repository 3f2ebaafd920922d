/**
 * Membership between control daemons, each a process at its own address.
 *
 * @module
 */
import { afterEach, beforeEach, describe, it } from "node:test";
import { setTimeout as sleep } from "node:timers/promises";
import { expect } from "earl";
import type { DaemonProcess } from "../standins/stack/daemon_process.ts";
import { ControlStack } from "./fixtures/control_stack.ts";
import { eventually } from "./support/eventually.ts";

const COUNT = 4;
const ZONES = ["zagreb-a", "split-a"];
const NAMES = ["proxy-1", "proxy-2", "proxy-3", "proxy-4"];
const FREEZE_MS = 2_500;
const WATCH_MS = 4_000;
const WATCH_INTERVAL_MS = 100;

describe("membership", () => {
  let stack: ControlStack;
  let proxies: DaemonProcess[];

  beforeEach(async () => {
    stack = await ControlStack.start({ network: true });
    proxies = await stack.startProxies(COUNT, "127.41.1", ZONES);
    await everyoneSees(proxies, NAMES);
  });
  afterEach(() => stack.stop());

  async function everyoneSees(
    watchers: readonly DaemonProcess[],
    names: readonly string[],
  ): Promise<void> {
    await eventually(async () => {
      const views = await Promise.all(watchers.map((one) => stack.alive(one)));
      return views.every((view) => view.join() === names.join());
    }, `the view ${names.join()}`);
  }

  describe("a killed proxy", () => {
    it("is gone from every view, and back in each when it starts anew", async () => {
      const [first, ...others] = proxies;
      await first!.kill();
      await everyoneSees(others, NAMES.slice(1));
      await stack.startProxy({ name: "proxy-1", address: "127.41.1.1" });
      await everyoneSees(others, NAMES);
    });
  });

  describe("a proxy that leaves", () => {
    it("is gone from every view by its own word", async () => {
      const [first, ...others] = proxies;
      await Promise.all([first!.stop(), everyoneSees(others, NAMES.slice(1))]);
    });
  });

  describe("a frozen proxy", () => {
    it("takes nobody for dead when it resumes, and is alive again to all", async () => {
      const [first] = proxies;
      first!.freeze();
      await everyoneSees(proxies.slice(1), NAMES.slice(1));
      first!.resume();
      const deadline = performance.now() + WATCH_MS;
      while (performance.now() < deadline) {
        const report = await stack.report(first!);
        const gone = report?.members
          .filter((member) => member.liveness === "gone") ?? [];
        expect(gone).toEqual([]);
        await sleep(WATCH_INTERVAL_MS);
      }
      await everyoneSees(proxies, NAMES);
    });
  });

  describe("all proxies but one frozen at once", () => {
    it("are all alive again to each other afterwards", async () => {
      for (const proxy of proxies.slice(1)) proxy.freeze();
      await sleep(FREEZE_MS);
      for (const proxy of proxies.slice(1)) proxy.resume();
      await everyoneSees(proxies, NAMES);
    });
  });

  describe("a cut one way between two proxies", () => {
    it("makes no false death, since others reach both", async () => {
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
        for (const view of views) expect(view).toEqual(NAMES);
        await sleep(WATCH_INTERVAL_MS);
      }
    });
  });

  describe("zones cut from each other", () => {
    it("each see their own proxies, and all again after the cut", async () => {
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
      await everyoneSees([first, third], ["proxy-1", "proxy-3"]);
      await everyoneSees([second, fourth], ["proxy-2", "proxy-4"]);
      await stack.setNetworkFaults([]);
      await everyoneSees(proxies, NAMES);
    });
  });

  describe("a proxy with another key", () => {
    it("is refused and stays alone", async () => {
      const stranger = await stack.startProxy({
        name: "stranger",
        address: "127.41.1.9",
        peerKey: "a key that nobody else has",
      });
      await sleep(FREEZE_MS);
      await everyoneSees(proxies, NAMES);
      expect(await stack.report(stranger)).toEqual(undefined);
    });
  });
});
