import { readFileSync } from "node:fs";
import { after, afterEach, before, beforeEach, describe, it } from "node:test";
import { setTimeout as sleep } from "node:timers/promises";
import { expect } from "earl";
import { Events } from "../src/kernel/events.ts";
import { containsPosition } from "../src/plugins/upstream/position.ts";
import { FailoverCluster } from "./fixtures/failover_cluster.ts";
import type { FailoverProxy, ToldView } from "./fixtures/failover_proxy.ts";
import { eventually } from "./support/eventually.ts";

/** Observation time within which an unwanted promotion would occur. */
const OBSERVATION_MS = 2_500;

describe("failover", { timeout: 200_000 }, () => {
  const cluster = new FailoverCluster();
  let primary: string;

  before(() => cluster.start());
  after(() => cluster.stop());
  beforeEach(async () => {
    primary = await cluster.restore();
  });
  afterEach(() => cluster.stopProxies());

  const startProxies = (names: readonly string[]) =>
    Promise.all(names.map((name) => cluster.startProxy(name)));
  const others = () =>
    cluster.instances.map((item) => item.name)
      .filter((name) => name !== primary);
  const term = async (name = primary) => (await cluster.status(name))!.seenTerm;
  const promotions = async (proxies: readonly FailoverProxy[]) =>
    (await Promise.all(proxies.map((proxy) => proxy.events(Events.PROMOTED))))
      .flat();

  const expectNoPromotion = async (
    proxies: readonly FailoverProxy[],
    before: number,
  ) => {
    await sleep(OBSERVATION_MS);
    expect(await promotions(proxies)).toEqual([]);
    expect(await term()).toEqual(before);
  };

  const expectNewPrimary = async (proxy: FailoverProxy, former: string) => {
    await eventually(async () => {
      const view = await proxy.ask<ToldView>("view");
      return view.primary !== undefined && view.primary !== former;
    }, "another instance is primary");
    const name = await proxy.primary();
    expect(await proxy.confirm(await cluster.write(name))).toEqual("confirmed");
    return name;
  };

  it("replaces a killed primary and keeps confirmed writes", async () => {
    const [p1, p2] = await startProxies(["p1", "p2"]);
    expect(await p1!.primary()).toEqual(primary);
    const position = await cluster.write(primary, "confirmed");
    expect(await p2!.confirm(position)).toEqual("confirmed");
    await cluster.process(primary).kill();
    const name = await expectNewPrimary(p2!, primary);
    const status = (await cluster.status(name))!;
    expect(containsPosition(status, status.received, position)).toEqual(true);
    expect(await cluster.notes(name)).toInclude("confirmed");
  });

  it("fails over without the table service and without other proxies", async () => {
    const proxy = await cluster.startProxy("p1", {
      members: ["p1"],
      tableServiceDown: true,
    });
    await proxy.primary();
    await cluster.process(primary).kill();
    await expectNewPrimary(proxy, primary);
  });

  it("promotes at most one primary per term when proposers compete", async () => {
    const names = ["p1", "p2", "p3", "p4"];
    const proxies = await Promise.all(
      names.map((name) => cluster.startProxy(name, { members: [name] })),
    );
    for (const proxy of proxies) await proxy.primary();
    await cluster.process(primary).kill();
    await expectNewPrimary(proxies[0]!, primary);
    const terms = (await promotions(proxies)).map((item) => item["term"]);
    expect(new Set(terms).size).toEqual(terms.length);
  });

  it("fences a frozen primary, whose later writes are not confirmed at the old term", async () => {
    const [p1, p2] = await startProxies(["p1", "p2"]);
    await p1!.primary();
    const former = await term();
    cluster.process(primary).suspend();
    await expectNewPrimary(p2!, primary);
    cluster.process(primary).resume();
    const late = await cluster.write(primary).catch(() => undefined);
    if (late?.term === former) {
      expect(await p2!.confirm(late)).not.toEqual("confirmed");
    }
    expect(await cluster.settle()).not.toEqual(primary);
  });

  it("discards the unconfirmed end of an isolated primary's log", async () => {
    const [p1, p2] = await startProxies(["p1", "p2"]);
    await p1!.primary();
    const isolation = [{
      kind: "cut",
      from: { host: primary },
      to: {},
    }] as const;
    await cluster.setFaults(isolation);
    const tail = await cluster.write(primary, "tail");
    const name = await expectNewPrimary(p2!, primary);
    expect(await p2!.confirm(tail)).toEqual("outcome-unknown");
    await sleep(OBSERVATION_MS);
    await cluster.setFaults([]);
    expect(await cluster.settle()).toEqual(name);
    const status = (await cluster.status(primary))!;
    expect(containsPosition(status, status.received, tail)).toEqual(false);
    await eventually(
      // The instance rejects reads while it rebuilds its data.
      async () => {
        const notes = await cluster.notes(primary).catch(() => undefined);
        return notes !== undefined && !notes.includes("tail");
      },
      "the unconfirmed write is discarded",
    );
    const returned = await Promise.all(
      [p1!, p2!].map((proxy) => proxy.events(Events.FORMER_PRIMARY_RETURNED)),
    );
    expect(returned.flat().length).toBeGreaterThan(0);
  });

  /** Kills the primary and has one proxy propose, which freezes itself between fencing and promoting, beside a second one. */
  const freezeProposer = async () => {
    const frozen = await cluster.startProxy("p1", {
      freezeBeforePromote: true,
    });
    const second = await cluster.startProxy("p2");
    await frozen.primary();
    await second.primary();
    // Either may propose first, and only a proposer freezes.
    second.process.suspend();
    await cluster.process(primary).kill();
    await eventually(() => isStopped(frozen), "the proposer froze itself");
    second.process.resume();
    return { frozen, second };
  };

  it("rejects the promotion of a proposer that was frozen after fencing", async () => {
    const { frozen, second } = await freezeProposer();
    const name = await expectNewPrimary(second, primary);
    const before = await term(name);
    frozen.process.resume();
    await eventually(
      async () => (await frozen.events(Events.FAILOVER_ABANDONED)).length > 0,
      "the resumed proposer abandons its failover",
    );
    expect(await promotions([frozen])).toEqual([]);
    expect((await cluster.status(name))?.role).toEqual("primary");
    expect(await term(name)).toEqual(before);
  });

  it("completes the failover of a proposer that died after fencing", async () => {
    const { frozen, second } = await freezeProposer();
    await frozen.process.kill();
    await expectNewPrimary(second, primary);
  });

  it("promotes no instance when only the proxies were paused", async () => {
    const proxies = await startProxies(["p1", "p2"]);
    for (const proxy of proxies) await proxy.primary();
    const before = await term();
    for (const proxy of proxies) proxy.process.suspend();
    await sleep(OBSERVATION_MS);
    for (const proxy of proxies) proxy.process.resume();
    await expectNoPromotion(proxies, before);
    const paused = await proxies[0]!.events(Events.PAUSE_OBSERVED);
    expect(paused.length).toBeGreaterThan(0);
  });

  it("promotes no instance when only the proxy is cut off from the primary", async () => {
    const [p1] = await startProxies(["p1"]);
    await p1!.primary();
    const before = await term();
    await cluster.setFaults([
      { kind: "cut", from: { host: "p1" }, to: { host: primary } },
    ]);
    await expectNoPromotion([p1!], before);
    const withheld = await p1!.events(Events.FAILOVER_WITHHELD);
    expect(withheld[0]?.["reason"]).toEqual("replicas hear it");
  });

  it("promotes no instance while only a minority is reachable", async () => {
    const [p1] = await startProxies(["p1"]);
    await p1!.primary();
    const [first, second] = others();
    const before = await term(second!);
    await cluster.setFaults([
      { kind: "cut", from: { host: "p1" }, to: { host: first! } },
    ]);
    await cluster.process(primary).kill();
    await sleep(OBSERVATION_MS);
    expect(await promotions([p1!])).toEqual([]);
    expect(await term(second!)).toEqual(before);
    const withheld = await p1!.events(Events.FAILOVER_WITHHELD);
    expect(withheld.map((item) => item["reason"])).toInclude(
      "no majority reachable",
    );
  });

  it("switches over to the preferred instance and keeps confirmed writes", async () => {
    const [p1] = await startProxies(["p1"]);
    await p1!.primary();
    const position = await cluster.write(primary);
    const wanted = others()[1]!;
    await p1!.ask(`prefer/${wanted}`);
    expect(await expectNewPrimary(p1!, primary)).toEqual(wanted);
    expect(await p1!.confirm(position)).toEqual("confirmed");
    expect(await cluster.settle()).toEqual(wanted);
    const ended = await p1!.events(Events.SWITCHOVER_ENDED);
    expect(ended.length).toEqual(1);
  });

  it("switches over from a primary that is leaving", async () => {
    const [p1] = await startProxies(["p1"]);
    await p1!.primary();
    await p1!.ask(`leaving/${primary}`);
    await expectNewPrimary(p1!, primary);
  });
});

/** Whether a proxy's process is stopped by a signal, according to `/proc`. */
function isStopped(proxy: FailoverProxy): boolean {
  const stat = readFileSync(`/proc/${proxy.process.ready.pid}/stat`, "utf8");
  return stat.slice(stat.lastIndexOf(")") + 2).startsWith("T");
}
