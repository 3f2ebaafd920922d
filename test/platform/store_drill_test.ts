/**
 * The store comes back from an older copy while the program runs on several hosts.
 *
 * @module
 */
import { afterEach, describe, it } from "node:test";
import { setTimeout as sleep } from "node:timers/promises";
import { expect } from "earl";
import { eventually } from "../support/eventually.ts";
import { Deployment } from "./fixtures/deployment.ts";

const PRIMARY = "i-ledger-0";

/** How long the store is away, in ms. */
const AWAY_MS = 1_000;

/** Versions that the copy lacks, more than the test writes after the drill. */
const LOST_VERSIONS = 400;

describe("after the store came back from an older copy", () => {
  let deployment: Deployment;
  afterEach(() => deployment.stop());

  /** Writes at every host until `stop` is called; gives the ids that were acknowledged. */
  function startWriters(): { stop(): Promise<ReadonlySet<string>> } {
    const acknowledged = new Set<string>();
    let isOver = false;
    const writers = deployment.hosts.map(async (_, host) => {
      let caller = await deployment.open(host, "booking");
      for (let turn = 0; !isOver; turn += 1) {
        const id = `h${host}-${turn}`;
        try {
          if (caller.closed) caller = await deployment.open(host, "booking");
          const answer = await caller.run(`WRITE item${turn} x`, id);
          if (!answer.error) acknowledged.add(id);
        } catch {
          // The connection ended; nothing was promised.
        }
        await sleep(10);
      }
      caller.close();
    });
    return {
      stop: async () => {
        isOver = true;
        await Promise.all(writers);
        return acknowledged;
      },
    };
  }

  /** Writes rows that have nothing to do with the hosts. */
  async function passVersions(): Promise<void> {
    for (let turn = 0; turn < LOST_VERSIONS; turn += 1) {
      await deployment.put("other", `${turn % 10}`, "{}");
    }
  }

  async function promoted(count: number): Promise<void> {
    await eventually(
      async () => (await deployment.promotions()).length >= count,
      `${count} promotions`,
    );
  }

  /** Ids of the writes in the log of the primary of the latest term. */
  async function committed(): Promise<ReadonlySet<string>> {
    const members = await deployment.members();
    const [leader] = members.filter(({ role }) => role === "primary")
      .sort((a, b) => b.term - a.term);
    return new Set(
      leader!.log.flatMap(({ writes }) => writes.map(({ id }) => id)),
    );
  }

  // Guards against a host that goes on at the old primary, since the copy lacks its row and it takes no row of the copy's history (review/6).
  it("a host that was added since the copy leaves a primary that is replaced", async () => {
    // The host that knows least is the first to replace a primary.
    deployment = await Deployment.start({
      hosts: 1,
      spareHosts: 2,
      hostNames: ["c", "b", "a"],
    });
    await sleep(500);
    await deployment.copyStore();
    await deployment.addHost();
    await passVersions();
    // The hosts have read all of their tables since.
    await sleep(2_500);
    await deployment.restoreStore(AWAY_MS);
    await deployment.addHost();
    const writers = startWriters();
    await sleep(300);
    await deployment.order("leave", PRIMARY);
    await promoted(1);
    await sleep(1_500);
    const acknowledged = await writers.stop();
    const kept = await committed();
    const lost = [...acknowledged].filter((id) => !kept.has(id));
    expect(acknowledged.size > 0).toEqual(true);
    expect(lost).toEqual([]);
  });

  // Guards against an order with a token of the versions that are given out again.
  it("promotions have higher tokens than those before", async () => {
    deployment = await Deployment.start({ hosts: 1, spareHosts: 1 });
    await deployment.copyStore();
    await passVersions();
    await deployment.order("leave", PRIMARY);
    await promoted(1);
    await sleep(1_500);
    await deployment.restoreStore(AWAY_MS);
    await deployment.addHost();
    await sleep(1_000);
    const members = await deployment.members();
    const leader = members.find(({ role }) => role === "primary")!;
    await deployment.order("kill", leader.id);
    const caller = await deployment.open(1, "booking");
    await eventually(async () => {
      await caller.run("WRITE a x").catch(() => undefined);
      return (await deployment.promotions()).length >= 2;
    }, "a second promotion");
    caller.close();
    const tokens = (await deployment.promotions()).map(({ token }) => token);
    expect(tokens).toEqual([...tokens].sort((a, b) => a - b));
    expect(new Set(tokens).size).toEqual(tokens.length);
  });

  // Guards against hosts that start from a row of before a change of primary, and never learn who leads.
  it("hosts that are all killed find the primary that was promoted since the copy", async () => {
    deployment = await Deployment.start({ hosts: 2 });
    await deployment.copyStore();
    await deployment.order("kill", PRIMARY);
    const caller = await deployment.open(0, "booking");
    await eventually(async () =>
      (await caller.run("WRITE a x")).error === undefined
    );
    caller.close();
    await deployment.restoreStore(AWAY_MS);
    await sleep(1_500);
    await Promise.all(deployment.hosts.map((host) => host.kill()));
    await Promise.all(deployment.hosts.map((host) => host.start()));
    await eventually(
      async () => {
        const again = await deployment.open(1, "booking").catch(() => null);
        const answer = await again?.run("WRITE b x").catch(() => null);
        again?.close();
        return answer !== undefined && answer !== null && !answer.error;
      },
      "a write is served",
      15_000,
    );
    expect((await committed()).size >= 2).toEqual(true);
  });
});
