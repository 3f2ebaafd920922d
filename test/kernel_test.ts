import { expect } from "earl";
import { Writable } from "node:stream";
import { describe, it } from "node:test";
import pino from "pino";
import { EventLog, Events } from "../src/kernel/events.ts";
import { Kernel, registerPlugin } from "../src/kernel/kernel.ts";

interface Step {
  start?(): void;
  drain?(): Promise<void>;
  stop?(): void;
  readonly steps: string[];
}

declare module "../src/kernel/kernel.ts" {
  interface Services {
    testSteps: string[];
    testStore: Step;
    testCallers: Step;
    testBroken: Step;
    testLoop: Step;
    testSettings: Step;
  }
}

function createStep(name: string, steps: string[]): Step {
  return {
    steps,
    start: () => void steps.push(`start ${name}`),
    drain: () => {
      steps.push(`drain ${name}`);
      return Promise.resolve();
    },
    stop: () => void steps.push(`stop ${name}`),
  };
}

registerPlugin({
  name: "testStore",
  needs: ["testSteps"],
  create: ({ use }) => createStep("store", use("testSteps")),
});
registerPlugin({
  name: "testCallers",
  needs: ["testSteps", "testStore"],
  create: ({ use }) => createStep("callers", use("testStore").steps),
});
registerPlugin({
  name: "testBroken",
  needs: ["testSteps"],
  create: ({ use }) => ({
    steps: use("testSteps"),
    stop: () => {
      throw new Error("the port is gone");
    },
  }),
});
registerPlugin({
  name: "testLoop",
  needs: ["testLoop"],
  create: () => ({ steps: [] }),
});
registerPlugin({
  name: "testSettings",
  needs: [],
  create: ({ settings }) => ({ steps: [settings.name] }),
});

function createKernel() {
  const lines: Record<string, unknown>[] = [];
  const sink = new Writable({
    write: (chunk, _, done) => {
      lines.push(JSON.parse(String(chunk)));
      done();
    },
  });
  const kernel = new Kernel(undefined, new EventLog(pino(sink)));
  const steps: string[] = [];
  kernel.provide("testSteps", steps);
  return { kernel, steps, lines };
}

describe("Kernel", () => {
  describe("start", () => {
    it("starts what a plug-in needs before it", async () => {
      const { kernel, steps } = createKernel();
      await kernel.start(["testCallers"]);
      expect(steps).toEqual(["start store", "start callers"]);
    });

    it("gives a service of the process to plug-ins", async () => {
      const { kernel, steps } = createKernel();
      await kernel.start(["testStore"]);
      expect(kernel.use("testStore").steps === steps).toEqual(true);
    });

    it("refuses plug-ins that need each other", async () => {
      const { kernel } = createKernel();
      await expect(kernel.start(["testLoop"]))
        .toBeRejectedWith("plug-ins need each other: testLoop > testLoop");
    });

    it("tells which plug-in asked for settings that the process lacks", async () => {
      const { kernel } = createKernel();
      await expect(kernel.start(["testSettings"]))
        .toBeRejectedWith("plug-in testSettings found no settings");
    });
  });

  describe("stop", () => {
    it("drains all before it stops the first, in reverse", async () => {
      const { kernel, steps } = createKernel();
      await kernel.start(["testCallers"]);
      steps.length = 0;
      await kernel.stop(performance.now());
      expect(steps).toEqual([
        "drain callers",
        "drain store",
        "stop callers",
        "stop store",
      ]);
    });

    it("goes on and logs when a plug-in throws at once", async () => {
      const { kernel, steps, lines } = createKernel();
      await kernel.start(["testStore", "testBroken"]);
      await kernel.stop(performance.now());
      expect(steps.at(-1)).toEqual("stop store");
      expect(lines[0]?.["event"]).toEqual(Events.PLUGIN_FAILED.number);
      expect(lines[0]?.["plugin"]).toEqual("testBroken");
    });
  });
});
