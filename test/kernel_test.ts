import { expect } from "earl";
import { Writable } from "node:stream";
import { describe, it } from "node:test";
import pino from "pino";
import { clock } from "../src/kernel/clock.ts";
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
    it("starts the dependencies of a plug-in before it", async () => {
      const { kernel, steps } = createKernel();
      await kernel.start(["testCallers"]);
      expect(steps).toEqual(["start store", "start callers"]);
    });

    it("passes a service provided by the process to plug-ins", async () => {
      const { kernel, steps } = createKernel();
      await kernel.start(["testStore"]);
      expect(kernel.use("testStore").steps === steps).toEqual(true);
    });

    it("rejects a circular plug-in dependency", async () => {
      const { kernel } = createKernel();
      await expect(kernel.start(["testLoop"]))
        .toBeRejectedWith("circular plug-in dependency: testLoop > testLoop");
    });

    it("names the plug-in that requires settings the process does not provide", async () => {
      const { kernel } = createKernel();
      await expect(kernel.start(["testSettings"]))
        .toBeRejectedWith("plug-in testSettings requires settings");
    });
  });

  describe("stop", () => {
    it("drains all services before stopping any, in reverse start order", async () => {
      const { kernel, steps } = createKernel();
      await kernel.start(["testCallers"]);
      steps.length = 0;
      await kernel.stop(clock.now());
      expect(steps).toEqual([
        "drain callers",
        "drain store",
        "stop callers",
        "stop store",
      ]);
    });

    it("logs a synchronous error of a plug-in and stops the others", async () => {
      const { kernel, steps, lines } = createKernel();
      await kernel.start(["testStore", "testBroken"]);
      await kernel.stop(clock.now());
      expect(steps.at(-1)).toEqual("stop store");
      expect(lines[0]?.["event"]).toEqual(Events.PLUGIN_FAILED.number);
      expect(lines[0]?.["plugin"]).toEqual("testBroken");
    });
  });
});
