/**
 * Guards against a write that is refused as "not run" although it took effect.
 * Each test provokes refusals in one way and then compares the recorded outcomes
 * with the rows of every instance.
 *
 * @module
 */
import { after, afterEach, before, describe, it } from "node:test";
import { setTimeout as delay } from "node:timers/promises";
import { expect } from "earl";
import type pg from "pg";
import { ResultCodes } from "../src/kernel/result_codes.ts";
import { failureOf } from "./support/callers.ts";
import { createDeployment, type Deployment } from "./support/deployment.ts";
import { eventually } from "./support/eventually.ts";
import {
  compareRecords,
  insertBooking,
  NO_DISCREPANCIES,
  Writer,
  type WriteRecord,
} from "./support/outcome.ts";

const PROXY = "entry-zagreb-1";
const OTHER_PROXY = "entry-split-1";
const BOOKINGS = "SELECT booking FROM bookings";
const SHORT_QUEUE = "{ length: 2, deadline: 1s }";

describe('the outcome "not run"', () => {
  let deployment: Deployment;
  let document = "";

  before(async () => {
    deployment = await createDeployment({ proxies: 3 });
    document = deployment.stack.document;
  });
  afterEach(async () => {
    for (const name of deployment.instances) {
      if (deployment.stack.process(name).running) {
        deployment.stack.process(name).resume();
        await deployment.setLag(name, 0, 0);
      }
    }
    await deployment.heal();
  });
  after(async () => {
    await deployment?.stack.stop();
  });

  /** Compares the records with the rows of each instance after the deployment has recovered. */
  async function expectRecordsMatchRows(
    records: readonly WriteRecord[],
  ): Promise<void> {
    await deployment.heal();
    for (const name of deployment.instances) {
      const rows = await deployment.queryColumn(name, BOOKINGS);
      expect(compareRecords(records, rows)).toEqual(NO_DISCREPANCIES);
    }
  }

  function codes(records: readonly WriteRecord[]): readonly number[] {
    const found = records.map((one) => one.code ?? 0).filter((one) => one > 0);
    return [...new Set(found)];
  }

  async function connectMany(
    count: number,
    proxy = PROXY,
  ): Promise<readonly pg.Client[]> {
    return await Promise.all(
      Array.from({ length: count }, () => deployment.connect(proxy)),
    );
  }

  it("is correct when the queue is full and when its deadline passes", async () => {
    const clients = await connectMany(40);
    await deployment.stack.promote(
      document.replace(
        /^( +)(- database: booking)$/gm,
        `$1$2\n$1  queue: ${SHORT_QUEUE}`,
      ),
    );
    const blocker = await deployment.connect(OTHER_PROXY);
    const records: WriteRecord[] = [];
    await eventually(async () => {
      await blocker.query("BEGIN");
      await blocker.query("DELETE FROM bookings WHERE false");
      const round = records.length;
      const pending = clients.map((client, n) =>
        insertBooking(client, `queue-${round}-${n}`)
      );
      await delay(1_500);
      await blocker.query("ROLLBACK");
      records.push(...await Promise.all(pending));
      const seen = codes(records);
      return seen.includes(ResultCodes.QUEUE_FULL.number) &&
        seen.includes(ResultCodes.QUEUE_DEADLINE.number);
    }, "both codes are seen");
    await deployment.stack.promote(document);
    for (const client of [...clients, blocker]) await client.end();
    await expectRecordsMatchRows(records);
  });

  it("is correct while the primary is absent", async () => {
    const clients = await connectMany(4);
    const records = await Promise.all(
      clients.map((client, n) => insertBooking(client, `before-${n}`)),
    );
    const frozen = [...await deployment.replicas(), await deployment.primary()];
    for (const name of frozen) deployment.stack.process(name).suspend();
    records.push(
      ...await Promise.all(
        clients.map((client, n) => insertBooking(client, `at-once-${n}`)),
      ),
    );
    await eventually(async () => {
      const round = records.length;
      records.push(
        ...await Promise.all(
          clients.map((client, n) =>
            insertBooking(client, `absent-${round}-${n}`)
          ),
        ),
      );
      return codes(records).includes(ResultCodes.PRIMARY_ABSENT.number);
    }, "code 501 is seen");
    for (const name of frozen) deployment.stack.process(name).resume();
    for (const client of clients) await client.end();
    await expectRecordsMatchRows(records);
  });

  it("is correct when a majority does not receive the log", async () => {
    const [client] = await connectMany(1);
    const records: WriteRecord[] = [];
    for (const name of await deployment.replicas()) {
      await deployment.setLag(name, 8_000, 0);
    }
    await eventually(async () => {
      records.push(await insertBooking(client!, `lag-${records.length}`));
      return codes(records).includes(ResultCodes.RECEIVE_LAG.number);
    }, "code 505 is seen");
    expect(codes(records).includes(ResultCodes.ACKNOWLEDGE_DEADLINE.number))
      .toEqual(true);
    for (const name of await deployment.replicas()) {
      await deployment.setLag(name, 0, 0);
    }
    await client!.end();
    await expectRecordsMatchRows(records);
  });

  it("is correct for writes in the caller's own read-only transaction", async () => {
    const [client] = await connectMany(1);
    await client!.query("BEGIN");
    await client!.query("SET TRANSACTION READ ONLY");
    const error = await failureOf(
      client!.query(
        "INSERT INTO bookings (booking, parent, shop, wheel) VALUES ('read-only', 'p', 's', 'w')",
      ),
    );
    expect(error.code).toEqual("25006");
    await client!.query("COMMIT");
    await client!.end();
    await expectRecordsMatchRows([{
      booking: "read-only",
      outcome: "not run",
      answeredAtMs: 0,
    }]);
  });

  it("is correct for a transaction that lost its connection", async () => {
    const [client] = await connectMany(1);
    const primary = await deployment.primary();
    await client!.query("BEGIN");
    expect((await insertBooking(client!, "lost-0")).outcome).toEqual(
      "acknowledged",
    );
    await deployment.stack.killInstance(primary);
    const record = await insertBooking(client!, "lost-1");
    expect([record.outcome, record.code])
      .toEqual(["not run", ResultCodes.TRANSACTION_LOST.number]);
    expect((await client!.query("COMMIT")).command).toEqual("ROLLBACK");
    await expectRecordsMatchRows([{ ...record, booking: "lost-0" }, record]);
    expect((await client!.query("SELECT 1 AS one")).rows).toEqual([{ one: 1 }]);
    await client!.end();
  });

  it("is correct while a proxy is stopping", async () => {
    const writers = Array.from(
      { length: 40 },
      (_, n) => new Writer(`stopping-${n}`, () => deployment.connect(PROXY)),
    );
    await eventually(
      () => writers.every((one) => one.count("acknowledged") > 2),
      "each writer has more than 2 acknowledged writes",
    );
    for (let round = 0; round < 3; round += 1) {
      await deployment.stack.stopProxy(PROXY);
      await deployment.stack.startProxy(PROXY);
      await delay(500);
    }
    await Promise.all(writers.map((one) => one.stop()));
    const records = writers.flatMap((one) => one.records);
    expect(codes(records).includes(ResultCodes.SHUTTING_DOWN.number))
      .toEqual(true);
    await expectRecordsMatchRows(records);
  });

  it("is correct while primaries are killed, frozen and partitioned under load", async () => {
    const writers = deployment.proxies.flatMap((proxy) =>
      [0, 1, 2, 3].map((n) =>
        new Writer(`${proxy}-${n}`, () => deployment.connect(proxy))
      )
    );
    const killed = await deployment.primary();
    await delay(300);
    await deployment.stack.killInstance(killed);
    await deployment.waitForNewPrimary(killed);
    await deployment.heal();
    const frozen = await deployment.primary();
    deployment.stack.process(frozen).suspend();
    await deployment.waitForNewPrimary(frozen);
    deployment.stack.process(frozen).resume();
    await deployment.heal();
    const partitioned = await deployment.primary();
    await deployment.isolateZone(deployment.zoneOf(partitioned));
    await deployment.waitForNewPrimary(partitioned);
    await deployment.heal();
    await Promise.all(writers.map((one) => one.stop()));
    await expectRecordsMatchRows(writers.flatMap((one) => one.records));
  });
});
