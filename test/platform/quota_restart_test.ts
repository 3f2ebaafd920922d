import { afterEach, describe, it } from "node:test";
import { expect } from "earl";
import { eventually } from "../support/eventually.ts";
import { Deployment } from "./fixtures/deployment.ts";

/** Time within which a deployment serves again after all hosts were killed, in ms. */
const RECOVERY_MS = 10_000;

let deployment: Deployment;

// Guards against parts of a limit that nobody may use, since each host waits for the others to count it.
describe("an account with a quota", () => {
  afterEach(() => deployment.stop());

  it("is served again after all hosts were killed at once", async () => {
    deployment = await Deployment.start({
      hosts: 4,
      channels: true,
      accounts: ["north"],
      quota: { rate: 50, burst: 50 },
    });
    const isServed = async (host: number) => {
      const caller = await deployment.open(host, "booking", "key-north");
      const answer = await caller.run("READ wheel");
      caller.close();
      return answer.error === undefined;
    };
    await eventually(() => isServed(0));
    await Promise.all(deployment.hosts.map((host) => host.kill()));
    await Promise.all(deployment.hosts.map((host) => host.start()));
    for (const index of deployment.hosts.keys()) {
      await eventually(
        () => isServed(index),
        `service at host ${index}`,
        RECOVERY_MS,
      );
    }
    expect(await isServed(0)).toEqual(true);
  });
});
