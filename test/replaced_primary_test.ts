/**
 * A replaced primary acknowledges no write. Guards against lost acknowledged writes when the
 * former primary is isolated together with a proxy, is isolated while a commit is in flight,
 * or is frozen and resumed under load.
 *
 * @module
 */
import { after, afterEach, before, describe, it } from "node:test";
import { setTimeout as delay } from "node:timers/promises";
import { expect } from "earl";
import { createDeployment, type Deployment } from "./support/deployment.ts";
import { eventually } from "./support/eventually.ts";
import {
  compareRecords,
  insertBooking,
  NO_DISCREPANCIES,
  Writer,
  type WriteRecord,
} from "./support/outcome.ts";

const WRITERS_PER_PROXY = 3;

describe("a replaced primary", () => {
  let deployment: Deployment;

  before(async () => {
    deployment = await createDeployment();
  });
  afterEach(async () => {
    await deployment.heal();
  });
  after(async () => {
    await deployment?.stack.stop();
  });

  function startWriters(): readonly Writer[] {
    return deployment.proxies.flatMap((proxy) =>
      Array.from(
        { length: WRITERS_PER_PROXY },
        (_, n) =>
          new Writer(`${proxy}-${n}-${Date.now()}`, () =>
            deployment.connect(proxy)),
      )
    );
  }

  async function stopWriters(
    writers: readonly Writer[],
  ): Promise<readonly WriteRecord[]> {
    await Promise.all(writers.map((one) => one.stop()));
    return writers.flatMap((one) => one.records);
  }

  async function expectNothingLost(
    records: readonly WriteRecord[],
  ): Promise<void> {
    const rows = await deployment.queryColumn(
      await deployment.primary(),
      "SELECT booking FROM bookings",
    );
    expect(compareRecords(records, rows)).toEqual(NO_DISCREPANCIES);
  }

  async function waitForNewWrites(writers: readonly Writer[]): Promise<void> {
    const before = writers.map((one) => one.count("acknowledged"));
    await eventually(
      () =>
        writers.some((one, n) => one.count("acknowledged") > before[n]! + 5),
      "new writes are acknowledged",
    );
  }

  it("acknowledges no write in its isolated zone after the promotion", async () => {
    const old = await deployment.primary();
    const zone = deployment.zoneOf(old);
    const proxiesInZone = deployment.proxies.filter((one) =>
      deployment.zoneOf(one) === zone
    );
    expect(proxiesInZone.length > 0).toEqual(true);
    const writers = startWriters();
    await eventually(
      () => writers.every((one) => one.count("acknowledged") > 5),
      "every writer has acknowledged writes",
    );
    await deployment.isolateZone(zone);
    const next = await deployment.waitForNewPrimary(old);
    const promotedAt = performance.now();
    const isolated = writers.filter((_, n) =>
      proxiesInZone.includes(
        deployment.proxies[Math.floor(n / WRITERS_PER_PROXY)]!,
      )
    );
    await waitForNewWrites(writers.filter((one) => !isolated.includes(one)));
    await delay(1_000);
    const late = isolated.flatMap((one) => one.records)
      .filter((one) =>
        one.outcome === "acknowledged" && one.answeredAtMs > promotedAt
      );
    expect(late).toEqual([]);
    const atOld = await deployment.queryColumn(
      old,
      "SELECT booking FROM bookings",
    );
    const atNext = await deployment.queryColumn(
      next,
      "SELECT booking FROM bookings",
    );
    const divergent = atOld.filter((text) => !atNext.includes(text));
    const acknowledged = new Set(
      writers.flatMap((one) => one.records)
        .filter((one) => one.outcome === "acknowledged").map((one) =>
          one.booking
        ),
    );
    expect(divergent.filter((text) => acknowledged.has(text))).toEqual([]);
    await deployment.stack.setNetworkFaults([]);
    await waitForNewWrites(isolated);
    const records = await stopWriters(writers);
    await deployment.heal();
    await expectNothingLost(records);
  });

  it("acknowledges no commit that was in flight when its zone was isolated", async () => {
    const old = await deployment.primary();
    const zone = deployment.zoneOf(old);
    const proxy = deployment.proxies.find((one) =>
      deployment.zoneOf(one) === zone
    )!;
    const client = await deployment.connect(proxy);
    await client.query("BEGIN");
    expect((await insertBooking(client, "in-flight")).outcome).toEqual(
      "acknowledged",
    );
    await deployment.isolateZone(zone);
    const answer = client.query("COMMIT").then(
      () => "acknowledged",
      (error) => String(error.code),
    );
    const single = await deployment.connect(proxy)
      .then((other) => insertBooking(other, "single-in-flight"));
    expect(await answer).toEqual("08007");
    expect(single.outcome === "acknowledged").toEqual(false);
    await deployment.waitForNewPrimary(old);
    await deployment.heal();
    await expectNothingLost([single]);
    await client.end();
  });

  it("loses no acknowledged write when it is frozen and resumed under load", async () => {
    const writers = startWriters();
    for (let round = 0; round < 2; round += 1) {
      const old = await deployment.primary();
      await delay(300);
      deployment.stack.process(old).suspend();
      await deployment.waitForNewPrimary(old);
      await waitForNewWrites(writers);
      deployment.stack.process(old).resume();
      await waitForNewWrites(writers);
      await deployment.heal();
    }
    const records = await stopWriters(writers);
    expect(records.filter((one) => one.outcome === "acknowledged").length > 50)
      .toEqual(true);
    await expectNothingLost(records);
  });
});
