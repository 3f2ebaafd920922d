import { it } from "node:test";
import { expect } from "earl";
import { okAsync } from "neverthrow";
import { collectStatus } from "../src/commands/status_collection.ts";
import type { Host } from "../src/plugins/host_list/host_list.ts";
import type { PeerClient } from "../src/plugins/peers/peer_client.ts";
import type { ProxyReport } from "../src/plugins/status/status.ts";

function createReport(
  name: string,
  environment: string,
  term: number,
): ProxyReport {
  return {
    ...{ name, environment, zone: "zagreb-a", revision: 1, hash: null },
    ...{ members: [], connections: [] },
    groups: [{
      ...{ database: "booking", term, receiveLagMs: 0, instances: [] },
      primary: `${environment}-1`,
    }],
  };
}

// Guards against the primary of trial that is shown as that of production, since both have the database.
it("the status has the groups of each environment among the listed proxies", async () => {
  const reports = [
    createReport("p1", "production", 2),
    createReport("p2", "trial", 9),
    createReport("p3", "production", 3),
  ];
  const hosts = reports.map(({ name }): Host => ({
    ...{ name, kind: "proxy", zone: "zagreb-a", state: "live" },
    endpoint: name,
  }));
  const client = {
    call: (endpoint: string) =>
      okAsync(reports.find(({ name }) => name === endpoint)!),
  } as unknown as PeerClient;
  const { groups } = await collectStatus(hosts, client);
  expect(groups.map(({ primary, reportedBy }) => [primary, reportedBy]))
    .toEqual([["production-1", "p3"], ["trial-1", "p2"]]);
});
