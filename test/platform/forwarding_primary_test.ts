/**
 * Changes of primary among real processes that use each other's connections.
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
  Load,
  longestGap,
  PRIMARY,
} from "./fixtures/forwarding_load.ts";

/** The letter's bound on a change of primary, in ms. */
const CHANGE_BOUND_MS = 5_000;

/**
 * Time in ms by which a change may be later: for hosts that died with a lease, or
 * after a first one that was given up, since a busy process that read an answer
 * late took the primary for alive (seen at a load of 38 on 7 cores).
 */
const DELAY_MS = 3_600;

/** Six hosts in three zones, one instance in each, for four connections. */
const THREE_ZONES = { hosts: 6, channels: true, connections: 4 };

describe("a primary whose connections few hosts hold", () => {
  let deployment: Deployment;
  afterEach(() => deployment.stop());

  /** Writes through all hosts but some while a fault strikes; returns the longest gap in ms. */
  async function strike(
    without: readonly number[],
    fault: () => Promise<unknown>,
  ): Promise<number> {
    const hosts = deployment.hosts.filter((_, index) =>
      !without.includes(index)
    );
    const load = new Load(deployment, hosts);
    await sleep(1_000);
    const at = performance.now();
    await fault();
    await sleep(CHANGE_BOUND_MS + DELAY_MS);
    const writes = await load.end();
    await expectToldTruth(deployment, writes);
    return longestGap(writes, at);
  }

  for (const fault of ["kill", "darken"]) {
    // Guards against a primary that nobody finds dead, since most hosts have no connection to it.
    it(`is replaced when it is gone (${fault})`, async () => {
      deployment = await Deployment.start(THREE_ZONES);
      await agreedHolders(deployment);
      const gap = await strike([], () => deployment.order(fault, PRIMARY));
      expect(gap < CHANGE_BOUND_MS + DELAY_MS).toEqual(true);
    });
  }

  // Guards against a change that waits for holders that are gone with the zone.
  it("is replaced when it is gone with all hosts of its zone", async () => {
    deployment = await Deployment.start(THREE_ZONES);
    await agreedHolders(deployment);
    const zone = [0, 3];
    const gap = await strike(zone, () =>
      Promise.all([
        deployment.order("kill", PRIMARY),
        ...zone.map((index) => deployment.hosts[index]!.kill()),
      ]));
    expect(gap < CHANGE_BOUND_MS + DELAY_MS).toEqual(true);
  });
});
