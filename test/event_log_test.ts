import { beforeEach, describe, it } from "node:test";
import { once } from "node:events";
import { createServer } from "node:http";
import type { AddressInfo } from "node:net";
import { Writable } from "node:stream";
import { expect } from "earl";
import { errAsync } from "neverthrow";
import pino from "pino";
import { createInstanceListener } from "../platform/followed_tables.ts";
import { EventLog, Events } from "../src/kernel/events.ts";
import { createFailure, ResultCodes } from "../src/kernel/result_codes.ts";
import { InstanceDirectory } from "../src/plugins/deployment/instance_directory.ts";
import { HttpHostList } from "../src/plugins/host_list/http_host_list.ts";
import { GossipMembership } from "../src/plugins/membership/gossip_membership.ts";
import { RequestLog } from "../src/plugins/sessions/request_log.ts";
import { FakeHostList } from "./fixtures/fake_platform.ts";

/** Longest line that a few texts of callers may make, in characters. */
const LINE_MAX_LENGTH = 10_000;

describe("log lines", () => {
  let lines: string[];
  let log: EventLog;

  beforeEach(() => {
    lines = [];
    const stream = new Writable({
      write: (chunk, _, done) => {
        lines.push(String(chunk));
        done();
      },
    });
    log = new EventLog(
      pino({ base: { proxy: "p1", zone: "zagreb-a" } }, stream),
    );
  });

  // Guards against callers that fill the buffer of the log, so that other lines are dropped.
  it("keep only the beginning of a long text", () => {
    const requests = new RequestLog(log, {
      served: () => {},
      refused: () => {},
      attemptFailed: () => {},
      lineOmitted: () => {},
    });
    const id = "č".repeat(1_000_000);
    requests.refused(
      { id, receivedAt: 0 },
      {
        code: ResultCodes.DATABASE_UNKNOWN,
        message: `no route is named ${id}`,
      },
      { group: id },
    );
    const [line] = lines;
    expect(line!.length < LINE_MAX_LENGTH).toEqual(true);
    const { event, request, reason } = JSON.parse(line!);
    expect(event).toEqual(Events.STATEMENT_REFUSED.number);
    expect(id.startsWith(request.slice(0, 1_000))).toEqual(true);
    expect(reason.startsWith("no route is named čč")).toEqual(true);
  });

  // Guards against another's availability zone that is read as that of the proxy.
  it("name the proxy's own availability zone beside that of an instance", () => {
    const value = Buffer.from(JSON.stringify({
      service: "ledger",
      address: "127.0.0.1:9",
      zone: "split-a",
      state: "ready",
      dbRole: "replica",
    }));
    createInstanceListener(new InstanceDirectory(), log)
      .change({ table: "servers", key: "i-1", value, version: 1 });
    const [line] = lines;
    expect(line!.split('"zone":').length).toEqual(2);
    const { event, zone, instanceZone } = JSON.parse(line!);
    expect([event, zone, instanceZone]).toEqual([509, "zagreb-a", "split-a"]);
  });

  it("name the proxy's own availability zone beside that of another proxy", async () => {
    type Handler = (message: unknown) => unknown;
    const handlers = new Map<string, Handler>();
    const membership = new GossipMembership({
      name: "p1",
      zone: "zagreb-a",
      environment: "production",
      peers: {
        endpoint: "127.0.0.1:1",
        port: 1,
        serve: ({ name }, handler) =>
          void handlers.set(name, handler as Handler),
        call: () =>
          errAsync(createFailure(ResultCodes.PEER_UNAVAILABLE, "no answer")),
        traffic: () => ({ sent: 0, received: 0 }),
      },
      hostList: new FakeHostList(),
      log,
    });
    await membership.start();
    const other = ["p2", "split-a", "127.0.0.1:2", 1, 1, 0, 0, 0, []];
    handlers.get("exchange")!({ from: "p2", sum: 0, updates: [other] });
    await membership.stop();
    const line = lines.find((text) => JSON.parse(text).event === 305);
    expect(line!.split('"zone":').length).toEqual(2);
    const { zone, peerZone } = JSON.parse(line!);
    expect([zone, peerZone]).toEqual(["zagreb-a", "split-a"]);
  });

  it("name the proxy's own availability zone beside that of a listed host", async () => {
    const host = { name: "i1", kind: "instance", zone: "split-a" };
    const server = createServer((_, response) => {
      const entry = { ...host, endpoint: "127.0.0.1:9", state: "leaving" };
      response.end(JSON.stringify({ hosts: [entry] }));
    }).listen(0, "127.0.0.1");
    await once(server, "listening");
    const { port } = server.address() as AddressInfo;
    const list = new HttpHostList({ url: `http://127.0.0.1:${port}`, log });
    await list.start();
    await list.stop();
    server.closeAllConnections();
    server.close();
    const line = lines.find((text) => JSON.parse(text).event === 304);
    expect(line!.split('"zone":').length).toEqual(2);
    const { zone, hostZone } = JSON.parse(line!);
    expect([zone, hostZone]).toEqual(["zagreb-a", "split-a"]);
  });

  it("keep short texts and other values", () => {
    const fields = { a: "x".repeat(1_000), b: 1, c: null, d: ["e"] };
    log.write(Events.UNEXPECTED, fields);
    const { a, b, c, d } = JSON.parse(lines[0]!);
    expect({ a, b, c, d }).toEqual(fields);
  });

  it("stay one line whatever the texts contain", () => {
    const text = '\r\n{"event":101}\u2028\0"';
    log.write(Events.UNEXPECTED, { error: text });
    expect(lines[0]!.trimEnd().includes("\n")).toEqual(false);
    const { event, error } = JSON.parse(lines[0]!);
    expect([event, error]).toEqual([106, text]);
  });
});
