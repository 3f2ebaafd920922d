/**
 * Accounts among real processes that use each other's connections.
 *
 * @module
 */
import { afterEach, describe, it } from "node:test";
import { setTimeout as sleep } from "node:timers/promises";
import { expect } from "earl";
import { Deployment } from "./fixtures/deployment.ts";
import {
  agreedHolders,
  expectToldTruth,
  findMember,
  Load,
} from "./fixtures/forwarding_load.ts";

const ACCOUNTS = ["acme", "umbra", "zeta"];

/** Time for which each phase of the load lasts, in ms. */
const PHASE_MS = 2_000;

describe("accounts on connections that few hosts hold", () => {
  let deployment: Deployment;
  afterEach(() => deployment.stop());

  // Guards against one customer's statements that run as another's.
  it("never share a connection, through holders, bypass and restarts", async () => {
    deployment = await Deployment.start({
      hosts: 4,
      hostZones: ["zagreb-a"],
      channels: true,
      connections: 20,
      accounts: ACCOUNTS,
    });
    const [holder, standby] = await agreedHolders(deployment);
    const others = deployment.hosts.filter((host) =>
      host !== holder && host !== standby
    );
    const loads = ACCOUNTS.map((name) =>
      new Load(deployment, others, `key-${name}`)
    );
    const phases = [
      () => Promise.resolve(),
      () => holder!.kill(),
      () => standby!.kill(),
      () => holder!.start(),
    ];
    for (const begin of phases) {
      await begin();
      await sleep(PHASE_MS);
    }
    const writes = (await Promise.all(loads.map((load) => load.end()))).flat();
    await expectToldTruth(deployment, writes);
    const { ran } = await findMember(deployment);
    const foreign = ran.filter(({ id, account }) =>
      !id.startsWith(`key-${account}.`)
    );
    expect(foreign).toEqual([]);
    const served = new Set(ran.map(({ account }) => account));
    expect([...served].sort()).toEqual(ACCOUNTS);
  });
});
