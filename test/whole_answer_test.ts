/**
 * Guards against incomplete answers and answers to another caller's request. They
 * can come about through late answers, an instance that fails during a transfer, a
 * slow caller, pipelined requests and late cancel requests.
 *
 * @module
 */
import { readFileSync } from "node:fs";
import { connect } from "node:net";
import { after, afterEach, before, describe, it } from "node:test";
import { setTimeout as delay } from "node:timers/promises";
import { expect } from "earl";
import pg from "pg";
import { callerParameters, failureOf } from "./support/callers.ts";
import {
  createDeployment,
  DATABASE,
  type Deployment,
} from "./support/deployment.ts";
import {
  compareRecords,
  insertBooking,
  NO_DISCREPANCIES,
} from "./support/outcome.ts";

const PROXY = "entry-zagreb-1";
const LARGE_ROW_COUNT = 100_000;
const ROW_CHARS = 1_000;
const LARGE_QUERY =
  `SELECT g, repeat('x', ${ROW_CHARS}) AS x FROM generate_series(1, ${LARGE_ROW_COUNT}) AS g`;
/** SQLSTATEs that a canceled write may end with: canceled, outcome unknown, or load shed. */
const CANCELED_WRITE_CODES: ReadonlySet<string> = new Set([
  "57014",
  "08007",
  "53300",
]);
const MAX_GROWTH_BYTES = 128 * 1024 * 1024;

describe("complete answers", () => {
  let deployment: Deployment;

  before(async () => {
    deployment = await createDeployment({ proxies: 2 });
  });
  after(async () => {
    await deployment?.stack.stop();
  });

  afterEach(async () => {
    await deployment.heal();
  });

  it("belong to the caller's own request after other callers timed out", async () => {
    const { host, port, ...rest } = callerParameters({
      stack: deployment.description,
      database: DATABASE,
    });
    const timingOut = Array.from(
      { length: 20 },
      () => new pg.Client({ host, port, ...rest, query_timeout: 200 }),
    );
    for (const client of timingOut) {
      client.on("error", () => {});
      await client.connect();
    }
    const late = timingOut.map((client, n) =>
      failureOf(client.query(`SELECT 'late ${n}', pg_sleep(0.4)`))
    );
    await Promise.all(late);
    for (const client of timingOut) {
      (client as unknown as { connection: { stream: { destroy(): void } } })
        .connection.stream.destroy();
    }
    const remaining = await Promise.all(
      Array.from({ length: 20 }, () => deployment.connect(PROXY)),
    );
    for (let round = 0; round < 5; round += 1) {
      const answers = await Promise.all(
        remaining.map((client, n) =>
          client.query("SELECT $1::int AS n", [round * 100 + n])
        ),
      );
      expect(answers.map((answer) => answer.rows)).toEqual(
        remaining.map((_, n) => [{ n: round * 100 + n }]),
      );
    }
    await Promise.all(remaining.map((client) => client.end()));
  });

  it("are not affected by late cancel requests of another caller", async () => {
    // Adds latency to the instances so that a cancel request can arrive between commit and acknowledgement.
    await deployment.stack.setNetworkFaults([
      { kind: "latency", between: [{ host: PROXY }, {}], ms: 20 },
    ]);
    const canceler = await deployment.connect(PROXY);
    const others = await Promise.all(
      Array.from({ length: 30 }, () => deployment.connect(PROXY)),
    );
    let stopped = false;
    const failures: string[] = [];
    const work = others.map(async (client, n) => {
      for (let round = 0; !stopped; round += 1) {
        await client.query(
          "INSERT INTO bookings (booking, parent, shop, wheel) SELECT $1, 'p', 's', 'w' FROM pg_sleep(0.1)",
          [`other-${n}-${round}`],
        ).catch((error) => failures.push(`${error.code} ${error.message}`));
      }
    });
    const ownErrorCodes: unknown[] = [];
    for (let round = 0; round < 15; round += 1) {
      const cancels = setInterval(() => sendCancel(deployment, canceler), 5);
      const write = canceler.query(
        "INSERT INTO bookings (booking, parent, shop, wheel) VALUES ($1, 'p', 's', 'w')",
        [`canceled-${round}`],
      ).catch((error) => ownErrorCodes.push(error.code));
      await write;
      clearInterval(cancels);
    }
    stopped = true;
    await Promise.all(work);
    // Load shedding and the replacement of a busy primary are allowed; another caller's cancel request must have no effect.
    const foreignCancels = failures.filter((text) => text.startsWith("57014"));
    expect(foreignCancels).toEqual([]);
    expect(
      ownErrorCodes.filter((code) => !CANCELED_WRITE_CODES.has(String(code))),
    )
      .toEqual([]);
    await Promise.all([canceler, ...others].map((client) => client.end()));
  });

  it("arrive in order when requests are pipelined while the primary changes", async () => {
    const primary = await deployment.primary();
    const clients = await Promise.all(
      Array.from(
        { length: 4 },
        (_, n) => deployment.connect(deployment.proxies[n % 2]!),
      ),
    );
    const pending = clients.map((client, c) =>
      Array.from({ length: 60 }, (_, n) => ({
        n,
        answer: n % 2 === 0
          ? client.query("SELECT $1::int AS n", [n]).then((result) =>
            result.rows[0].n
          )
          : insertBooking(client, `pipelined-${c}-${n}`),
      }))
    );
    await deployment.stack.killInstance(primary);
    const records = [];
    for (const { n, answer } of pending.flat()) {
      const result = await answer.catch(() => undefined);
      if (typeof result === "object") records.push(result);
      else if (result !== undefined) expect(result).toEqual(n);
    }
    const next = await deployment.waitForNewPrimary(primary);
    const rows = await deployment.queryColumn(
      next,
      "SELECT booking FROM bookings",
    );
    expect(compareRecords(records, rows)).toEqual(NO_DISCREPANCIES);
    expect(records.length).toEqual(120);
    for (const client of clients) client.end().catch(() => {});
  });

  it("are never truncated without an error when the instance is killed during the transfer", async () => {
    const client = await deployment.connect(PROXY);
    const failed: pg.DatabaseError[] = [];
    const socket = streamOf(client);
    const read = client.query(LARGE_QUERY).catch((error) => failed.push(error));
    await new Promise((resolve) => socket.once("data", resolve));
    socket.pause();
    await delay(200);
    for (const name of await deployment.replicas()) {
      await deployment.stack.killInstance(name);
    }
    socket.resume();
    const result = await read;
    if (typeof result === "object") {
      expect(result.rowCount).toEqual(LARGE_ROW_COUNT);
    } else {
      expect(failed[0]!.code).toEqual("08006");
    }
    expect((await client.query("SHOW marjoramshed.session")).rows.length)
      .toEqual(1);
    await client.end();
  });

  it("of 100 MB reach a slow caller with bounded memory use in the proxy", async () => {
    const client = await deployment.connect(PROXY);
    await client.query("SELECT 1");
    const { pid } = deployment.stack.process(PROXY).ready;
    const before = residentBytes(pid);
    const socket = streamOf(client);
    let bytes = 0;
    let peak = 0;
    socket.on("data", (chunk: Buffer) => bytes += chunk.length);
    const pacer = setInterval(() => {
      peak = Math.max(peak, residentBytes(pid));
      socket.pause();
      setTimeout(() => socket.resume(), 30);
    }, 60);
    let rows = 0;
    let last = 0;
    const query = new pg.Query(LARGE_QUERY);
    await new Promise<void>((resolve, reject) => {
      query.on("row", (row) => {
        rows += 1;
        last = row.g;
      });
      query.on("end", () => resolve());
      query.on("error", reject);
      client.query(query);
    });
    clearInterval(pacer);
    console.log(
      `# ${bytes} bytes; resident memory before ${before}, peak ${peak}`,
    );
    expect(rows).toEqual(LARGE_ROW_COUNT);
    expect(last).toEqual(LARGE_ROW_COUNT);
    expect(bytes > LARGE_ROW_COUNT * ROW_CHARS).toEqual(true);
    expect(peak - before < MAX_GROWTH_BYTES).toEqual(true);
    await client.end();
  });
});

interface CallerSocket {
  pause(): void;
  resume(): void;
  on(event: "data", listener: (chunk: Buffer) => void): void;
  once(event: "data", listener: (chunk: Buffer) => void): void;
}

function streamOf(client: pg.Client): CallerSocket {
  return (client as unknown as { connection: { stream: CallerSocket } })
    .connection.stream;
}

function sendCancel(deployment: Deployment, client: pg.Client): void {
  const { host, port } = deployment.description.proxies[0]!;
  const key = client as unknown as { processID: number; secretKey: number };
  const packet = Buffer.alloc(16);
  packet.writeInt32BE(16, 0);
  packet.writeInt32BE(80877102, 4);
  packet.writeInt32BE(key.processID, 8);
  packet.writeInt32BE(key.secretKey, 12);
  connect({ host, port }).on("error", () => {}).end(packet);
}

function residentBytes(pid: number): number {
  const status = readFileSync(`/proc/${pid}/status`, "utf8");
  return Number(/^VmRSS:\s+(\d+) kB$/m.exec(status)?.[1]) * 1024;
}
