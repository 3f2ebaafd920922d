import { describe, it } from "node:test";
import { expect } from "earl";
import { parseConfiguration, parseInstance } from "../../platform/documents.ts";
import { parseHostSettings } from "../../platform/settings.ts";

const row = (value: unknown, key = "i-1") => ({
  table: "servers",
  key,
  value: Buffer.from(typeof value === "string" ? value : JSON.stringify(value)),
  version: 1,
});

const instance = {
  service: "ledger",
  address: "10.0.0.1:8080",
  zone: "zagreb-a",
  state: "ready",
  dbRole: "replica",
  born: 1_700_000_000_000,
};

const settings = {
  nodeName: "client-1",
  ip: "10.1.0.8",
  zone: "zagreb-a",
  zones: { "zagreb-a": "zagreb" },
  internalPortRange: [7440, 7455],
  listenAddrs: { frontend: "10.1.0.8:8784", ready: "10.1.0.8:8785" },
  limits: { memoryMb: 350, maxFds: 4300 },
  bounds: { graceS: 6 },
  platform: { address: "10.200.1.7:8783" },
  cloudApi: { address: "10.200.0.160:8783" },
  somethingNew: { later: true },
};

describe("rows of the store", () => {
  it("an instance's row is parsed into an instance", () => {
    expect(parseInstance(row(instance))._unsafeUnwrap()).toEqual({
      id: "i-1",
      group: "ledger",
      host: "10.0.0.1",
      port: 8080,
      zone: "zagreb-a",
      leaving: false,
      claimsPrimary: false,
      startedAt: 1_700_000_000_000,
    });
  });

  it("an instance's reported capacity is passed on", () => {
    const read = (capacity: number | null) =>
      parseInstance(row({ ...instance, capacity }))._unsafeUnwrap().capacity;
    expect([read(6), read(-1), read(null)]).toEqual([6, -1, undefined]);
  });

  it("a row with a missing field, a wrong type or an unknown state is rejected", () => {
    for (
      const wrong of [
        "not json",
        "\u0000\u00ff",
        { ...instance, service: undefined },
        { ...instance, address: 7 },
        { ...instance, state: "resting" },
        { ...instance, dbRole: "witness" },
        [],
        null,
      ]
    ) {
      expect(parseInstance(row(wrong)).isErr()).toEqual(true);
    }
  });

  it("a configuration gives routes by database and leaves out unknown kinds", () => {
    const route = { service: "ledger", timeoutMs: 800, priority: 1 };
    const table = parseConfiguration(row({
      version: 7,
      routes: [
        { ...route, host: "booking", kind: "primary" },
        {
          ...route,
          host: "stock",
          kind: "bounded_staleness",
          maxStalenessMs: 1500,
          priority: 2,
        },
        { ...route, host: "later", kind: "quorum" },
      ],
      services: [{ name: "ledger", maxConnections: 22 }],
      limits: { txIdleMs: 3000 },
    }))._unsafeUnwrap();
    expect([...table.routes.keys()]).toEqual(["booking", "stock"]);
    expect(table.routes.get("stock")).toEqual({
      database: "stock",
      group: "ledger",
      consistency: "bounded",
      maxAge: 1500,
      statementTimeout: 800,
      targetLatency: 800,
      priority: "normal",
      rank: 2,
      isPublic: false,
    });
    expect(table.groups.get("ledger")?.connectionsPerInstance).toEqual(22);
  });
});

describe("host settings", () => {
  it("ignore unknown fields", () => {
    const read = parseHostSettings(settings)._unsafeUnwrap();
    expect(read.callers).toEqual({ host: "10.1.0.8", port: 8784 });
    expect(read.stopTimeout).toEqual(6_000);
  });

  // Guards against a port that the platform has not reserved for this host.
  it("have the second internal port for channels, and none if there is one port", () => {
    const channels = (internalPortRange: readonly number[]) =>
      parseHostSettings({ ...settings, internalPortRange })._unsafeUnwrap()
        .channels?.port;
    expect(channels([7440, 7455])).toEqual(7441);
    expect(channels([7440, 7441])).toEqual(7441);
    expect(channels([7440, 7440])).toEqual(undefined);
    expect(channels([7440])).toEqual(undefined);
  });

  it("name the invalid field", () => {
    const wrong = { ...settings, listenAddrs: { frontend: "10.1.0.8" } };
    const failure = parseHostSettings(wrong)._unsafeUnwrapErr();
    expect(failure.message.startsWith("listenAddrs.frontend")).toEqual(true);
    expect(failure.code.exitCode).toEqual(2);
  });
});
