/**
 * Tests the clients of the platform services against the stand-ins, which run as
 * processes.
 *
 * @module
 */
import { createServer } from "node:http";
import type { AddressInfo } from "node:net";
import { after, before, describe, it } from "node:test";
import { expect } from "earl";
import { createEventLog } from "../src/kernel/events.ts";
import { HttpHostList } from "../src/plugins/host_list/http_host_list.ts";
import { S3ObjectStore } from "../src/plugins/object_store/s3_object_store.ts";
import { DynamoTable } from "../src/plugins/table_service/dynamo_table.ts";
import type { ConditionalPut } from "../src/plugins/table_service/table_service.ts";
import {
  type DaemonProcess,
  startDaemon,
} from "../standins/stack/daemon_process.ts";
import { eventually } from "./support/eventually.ts";

const log = createEventLog("fatal", {});

function urlOf(daemon: DaemonProcess): string {
  return `http://${daemon.ready.host}:${daemon.ready.port}`;
}

async function getJson<T>(url: string): Promise<T> {
  return await (await fetch(url)).json() as T;
}

async function requestCount(daemon: DaemonProcess, operation: string) {
  const url = `${urlOf(daemon)}/_faults`;
  const state = await getJson<{ requests: Record<string, number> }>(url);
  return state.requests[operation] ?? 0;
}

async function putJson(url: string, value: unknown, method = "PUT") {
  const answer = await fetch(url, { method, body: JSON.stringify(value) });
  expect(answer.status).toEqual(200);
}

function advanceRow(key: string, from: number, to: number): ConditionalPut {
  return {
    row: { key, attributes: { number: to, writer: `writer ${to}` } },
    condition: from === 0
      ? { kind: "absent" }
      : { kind: "equals", attribute: "number", value: from },
  };
}

describe("table service", () => {
  let daemon: DaemonProcess;
  let table: DynamoTable;

  before(async () => {
    daemon = await startDaemon("table", "standins/table_service/main.js", []);
    table = new DynamoTable({
      url: urlOf(daemon),
      table: "test",
      accessKey: "key",
      secret: "secret",
      address: "127.0.0.5",
      log,
    });
  });
  after(async () => {
    await table.stop();
    await daemon.stop();
  });

  it("writes a row only while its condition holds", async () => {
    expect((await table.get("row"))._unsafeUnwrap()).toEqual(undefined);
    expect((await table.put([advanceRow("row", 0, 1)]))._unsafeUnwrap())
      .toEqual("written");
    expect((await table.put([advanceRow("row", 0, 1)]))._unsafeUnwrap())
      .toEqual("condition failed");
    expect((await table.put([advanceRow("row", 1, 2)]))._unsafeUnwrap())
      .toEqual("written");
    expect((await table.get("row"))._unsafeUnwrap()).toEqual({
      key: "row",
      attributes: { number: 2, writer: "writer 2" },
    });
  });

  it("writes all rows of a transaction or none", async () => {
    await table.put([advanceRow("a", 0, 1)]);
    const stale = await table.put([
      advanceRow("b", 0, 1),
      advanceRow("a", 5, 6),
    ]);
    expect(stale._unsafeUnwrap()).toEqual("condition failed");
    expect((await table.get("b"))._unsafeUnwrap()).toEqual(undefined);
    const fresh = await table.put([
      advanceRow("b", 0, 1),
      advanceRow("a", 1, 2),
    ]);
    expect(fresh._unsafeUnwrap()).toEqual("written");
    expect((await table.get("b"))._unsafeUnwrap()?.attributes["number"])
      .toEqual(1);
  });

  it("fails without a retry when the reply is lost", async () => {
    await putJson(`${urlOf(daemon)}/_faults`, { loseReply: 1 });
    const before = await requestCount(daemon, "PutItem");
    const lost = await table.put([advanceRow("lost", 0, 1)]);
    expect(await requestCount(daemon, "PutItem")).toEqual(before + 1);
    expect(lost._unsafeUnwrapErr().code.name)
      .toEqual("table-service-unavailable");
    expect((await table.get("lost"))._unsafeUnwrap()?.attributes["number"])
      .toEqual(1);
  });

  it("fails within its timeout while the service is down or slow", async () => {
    await putJson(`${urlOf(daemon)}/_faults`, { down: true });
    expect((await table.get("row")).isErr()).toEqual(true);
    await putJson(`${urlOf(daemon)}/_faults`, { down: false, delayMs: 60_000 });
    expect((await table.get("row")).isErr()).toEqual(true);
    await putJson(`${urlOf(daemon)}/_faults`, { delayMs: 0 });
    expect((await table.get("row")).isOk()).toEqual(true);
  });
});

describe("object store", () => {
  let daemon: DaemonProcess;
  let objects: S3ObjectStore;

  before(async () => {
    daemon = await startDaemon("objects", "standins/object_store/main.js", []);
    objects = new S3ObjectStore({
      url: urlOf(daemon),
      bucket: "test",
      accessKey: "key",
      secret: "secret",
      log,
    });
  });
  after(async () => {
    await objects.stop();
    await daemon.stop();
  });

  it("reads back what was written, and undefined for an absent object", async () => {
    const text = "service: kotačić\n";
    expect((await objects.get("revisions/1"))._unsafeUnwrap())
      .toEqual(undefined);
    expect((await objects.put("revisions/1", text)).isOk()).toEqual(true);
    expect((await objects.get("revisions/1"))._unsafeUnwrap()).toEqual(text);
  });

  it("fails while the store is down", async () => {
    await putJson(`${urlOf(daemon)}/_faults`, { down: true });
    const failure = (await objects.get("revisions/1"))._unsafeUnwrapErr();
    expect(failure.code.name).toEqual("object-store-unavailable");
  });
});

describe("host list", () => {
  let daemon: DaemonProcess;
  let list: HttpHostList;
  const host = {
    name: "stock-1",
    kind: "instance" as const,
    zone: "zagreb-a",
    endpoint: "127.0.0.1:5432",
    state: "live" as const,
  };

  before(async () => {
    daemon = await startDaemon("hosts", "standins/host_list/main.js", []);
    await putJson(`${urlOf(daemon)}/hosts`, { hosts: [host] });
    list = new HttpHostList({ url: urlOf(daemon), log });
    await list.start();
  });
  after(async () => {
    await list.stop();
    await daemon.stop();
  });

  it("reports a host as leaving, and keeps the last list while the service is down", async () => {
    expect(list.hosts()).toEqual([host]);
    expect(list.isLeaving("stock-1")).toEqual(false);
    let changes = 0;
    list.subscribe(() => changes += 1);
    await putJson(
      `${urlOf(daemon)}/hosts/stock-1`,
      { state: "leaving" },
      "PATCH",
    );
    await eventually(() => list.isLeaving("stock-1"));
    await putJson(`${urlOf(daemon)}/_faults`, { down: true });
    await eventually(async () => {
      return await requestCount(daemon, "refused while down") >= 2;
    });
    expect(list.isLeaving("stock-1")).toEqual(true);
    expect(changes).toEqual(1);
  });

  it("reports a change only after the lag", async () => {
    await putJson(`${urlOf(daemon)}/_faults`, { down: false, lagMs: 60_000 });
    await putJson(`${urlOf(daemon)}/hosts/stock-1`, { state: "live" }, "PATCH");
    const shown = async () =>
      (await getJson<{ hosts: unknown[] }>(`${urlOf(daemon)}/hosts`)).hosts;
    expect(await shown()).not.toEqual([host]);
    await putJson(`${urlOf(daemon)}/_faults`, { lagMs: 0 });
    expect(await shown()).toEqual([host]);
  });

  // Guards against one odd entry that ends the following of the whole list.
  it("is followed further beside entries that are not valid, which are not used", async () => {
    const nested = `${"[".repeat(20_000)}${"]".repeat(20_000)}`;
    const fields = JSON.stringify(host).slice(0, -1);
    const odd = [
      nested,
      "null",
      `${fields},"zone":7}`,
      `${fields},"name":${nested}}`,
      `${fields},"kind":"core"}`,
      `${fields},"endpoint":"127.0.0.1:70000"}`,
      `${fields},"endpoint":"127.0.0.1:0"}`,
      `${fields},"endpoint":1e999}`,
    ];
    const valid = JSON.stringify({ ...host, state: "leaving" });
    const server = createServer((_request, response) => {
      response.end(`{"hosts":[${[...odd, valid].join(",")}]}`);
    });
    await new Promise<void>((done) => server.listen(0, "127.0.0.1", done));
    const { port } = server.address() as AddressInfo;
    const odds = new HttpHostList({ url: `http://127.0.0.1:${port}`, log });
    await odds.start();
    expect(odds.hosts()).toEqual([{ ...host, state: "leaving" }]);
    expect(odds.isLeaving("stock-1")).toEqual(true);
    await odds.stop();
    server.close();
  });

  it("is read from the configured local address", async () => {
    const addresses: (string | undefined)[] = [];
    const server = createServer((request, response) => {
      addresses.push(request.socket.remoteAddress);
      response.end('{"hosts":[]}');
    });
    await new Promise<void>((done) => server.listen(0, "127.0.0.1", done));
    const { port } = server.address() as AddressInfo;
    const url = `http://127.0.0.1:${port}`;
    const bound = new HttpHostList({ url, address: "127.0.0.78", log });
    await bound.start();
    await bound.stop();
    server.close();
    expect(addresses).toEqual(["127.0.0.78"]);
  });
});
