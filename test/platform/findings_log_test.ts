import { beforeEach, describe, it } from "node:test";
import { Writable } from "node:stream";
import { expect } from "earl";
import pino from "pino";
import { createConfigurationListener } from "../../platform/followed_tables.ts";
import { EventLog } from "../../src/kernel/events.ts";
import { ActiveRoutes } from "../../src/plugins/deployment/routes.ts";

const ROUTE = { service: "ledger", kind: "primary", timeoutMs: 800 };

describe("log of a configuration's findings", () => {
  let lines: Record<string, unknown>[];
  let listener: ReturnType<typeof createConfigurationListener>;
  let hostCount: number;

  beforeEach(() => {
    lines = [];
    hostCount = 3;
    const stream = new Writable({
      write: (chunk, _, done) => {
        lines.push(JSON.parse(String(chunk)));
        done();
      },
    });
    const log = new EventLog(pino({}, stream));
    listener = createConfigurationListener(
      new ActiveRoutes(),
      log,
      () => hostCount,
    );
  });

  /** Puts a version in force; returns event, code and path of the lines about its findings. */
  function accept(version: number, change: Record<string, unknown> = {}) {
    lines = [];
    const value = {
      version,
      routes: [{ ...ROUTE, host: "booking" }],
      services: [{ name: "ledger", maxConnections: 20 }],
      tenants: [{ name: "north", apiKeys: ["k1", "k2"], ratePerS: 5 }],
      ...change,
    };
    listener.change({
      table: "op",
      key: "config",
      value: Buffer.from(JSON.stringify(value)),
      version,
    });
    return lines.filter(({ event }) => event !== 201)
      .map(({ event, code, path, account }) => [event, code, path ?? account]);
  }

  it("has nothing about a sound version", () => {
    expect(accept(1)).toEqual([]);
  });

  it("has what has no effect and what contradicts, once for a version", () => {
    const change = {
      routes: [{ ...ROUTE, host: "booking", targetLatencyMs: 900 }, {
        ...ROUTE,
        host: "booking",
        targetLatencyMs: 900,
      }],
      services: [{ name: "ledger", maxConnections: 2 }],
    };
    const found = [
      [205, "F201", "routes[booking]"],
      [205, "F302", "routes[booking].targetLatency"],
      [206, "F305", "groups[ledger].connectionsPerInstance"],
    ];
    expect(accept(1, change)).toEqual(found);
    expect(accept(1, change)).toEqual([]);
  });

  it("has what a version changes for callers, without a key", () => {
    accept(1);
    const tenants = [{ name: "north", apiKeys: ["k2", "k3"], ratePerS: 2 }];
    expect(accept(2, { tenants })).toEqual([
      [205, "F403", "accounts[north].quota"],
      [205, "F402", "accounts[north].keys"],
      [206, "F407", "accounts[north].keys"],
    ]);
    expect(/k[123]"/.test(JSON.stringify(lines))).toEqual(false);
  });

  it("has one line for an entry of accounts", () => {
    const tenants = [{ name: "north" }];
    expect(accept(1, { tenants })).toEqual([[204, "F204", "north"]]);
  });

  // Guards against a log that one version fills on each host.
  it("has at most 20 lines for a version and counts the others", () => {
    const routes = Array.from({ length: 50 }, (_, index) => ({
      ...ROUTE,
      host: `d${index}`,
      targetLatencyMs: 900,
    }));
    expect(accept(1, { routes }).length).toEqual(20);
    expect(lines.at(-1)?.["omitted"]).toEqual(30);
  });

  it("leaves out what depends on the number of hosts until it is known", () => {
    hostCount = 0;
    const services = [{ name: "ledger", maxConnections: 2 }];
    expect(accept(1, { services })).toEqual([]);
  });
});
