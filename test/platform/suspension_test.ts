/**
 * A real process of a host that is suspended again and again: nothing in it tells
 * of that but the clock that counts suspensions.
 *
 * @module
 */
import { after, before, describe, it } from "node:test";
import { setTimeout as sleep } from "node:timers/promises";
import { expect } from "earl";
import { Deployment } from "./fixtures/deployment.ts";

const WRITE_INTERVAL_MS = 20;
const AWAKE_MS = 25;
/** Reads after which the host sends them to the replica of its zone. */
const WARM_UP_READS = 80;

/** Largest age that the deployment's route allows, in ms. */
const MAX_AGE_MS = 1_500;

interface Written {
  readonly number: number;
  readonly acknowledgedAt: number;
}

describe("a host that is suspended beside replicas that receive nothing", () => {
  let deployment: Deployment;
  const written: Written[] = [];
  let writing = true;
  let load: Promise<void>;

  before(async () => {
    deployment = await Deployment.start({ standingClock: true });
    const writer = await deployment.open(0, "booking");
    load = (async () => {
      for (let number = 1; writing; number += 1) {
        const { error } = await writer.run(`WRITE counter ${number}`);
        if (!error) written.push({ number, acknowledgedAt: performance.now() });
        await sleep(WRITE_INTERVAL_MS);
      }
      writer.close();
    })();
  });
  after(async () => {
    writing = false;
    await load;
    await deployment.stop();
  });

  /** Lets the replicas catch up, and then receive nothing. */
  async function deafenReplicas(): Promise<void> {
    const ids = (await deployment.members())
      .filter(({ role }) => role === "replica")
      .map(({ id }) => id);
    for (const id of ids) await deployment.order("undeafen", id);
    for (let reads = 0; reads < WARM_UP_READS; reads += 1) {
      await readBehind();
      await sleep(AWAKE_MS);
    }
    for (const id of ids) await deployment.order("deafen", id);
  }

  /** Reads at the host in a replica's zone; returns by how many writes the answer is older than the route allows. */
  async function readBehind(): Promise<number> {
    const reader = await deployment.open(1, "stock");
    const sentAt = performance.now();
    const { rows, error } = await reader.run("READ counter");
    reader.close();
    if (error) return 0;
    const owed = written.findLast(({ acknowledgedAt }) =>
      acknowledgedAt < sentAt - MAX_AGE_MS
    );
    return Math.max(0, (owed?.number ?? 0) - Number(rows[0]));
  }

  // Guards against reads that are too old after suspensions that no other clock shows.
  for (const [count, length] of [[1, 3_000], [60, 80]] as const) {
    it(`reads nothing too old after ${count} suspensions of ${length} ms`, async () => {
      await deafenReplicas();
      const behind: number[] = [];
      for (let done = 0; done < count; done += 1) {
        await deployment.hosts[1]!.suspend(length);
        behind.push(await readBehind());
        await sleep(AWAKE_MS);
      }
      expect(behind.filter((writes) => writes > 0)).toEqual([]);
    });
  }
});
