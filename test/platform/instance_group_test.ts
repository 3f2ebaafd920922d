import { it } from "node:test";
import { once } from "node:events";
import { type AddressInfo, createServer } from "node:net";
import { expect } from "earl";
import { LineConnector } from "../../platform/line_connector.ts";
import { clock } from "../../src/kernel/clock.ts";
import { createEventLog } from "../../src/kernel/events.ts";
import { UpstreamPools } from "../../src/plugins/connections/upstream_pools.ts";
import { InstanceDirectory } from "../../src/plugins/deployment/instance_directory.ts";
import { ActiveRoutes } from "../../src/plugins/deployment/routes.ts";
import { localInstance } from "./fixtures/local_instance.ts";

const TIMEOUT_MS = 1_000;

// Guards against a statement of one group that runs on a connection opened for another.
it("a connection to an instance is used only for the group that it was opened for", async (context) => {
  const openings: string[] = [];
  const server = createServer((socket) => {
    socket.on("error", () => {});
    socket.once("data", (data) => {
      openings.push(String(data).trimEnd());
      socket.write("READY I -\r\n");
    });
  }).listen(0, "127.0.0.1");
  context.after(() => server.close());
  await once(server, "listening");
  const { port } = server.address() as AddressInfo;
  const directory = new InstanceDirectory();
  const pools = new UpstreamPools({
    routes: new ActiveRoutes(),
    directory,
    connector: new LineConnector("p1"),
    proxies: () => 1,
    onFailure: () => {},
    log: createEventLog("silent", {}),
  });
  context.after(() => pools.stop());
  for (const group of ["ledger", "stock"]) {
    directory.put(localInstance(port, { group }));
    const link = await pools.acquire({
      instance: "i-1",
      priority: "high",
      deadline: clock.now() + TIMEOUT_MS,
    });
    link._unsafeUnwrap().release();
  }
  expect(openings).toEqual(["STARTUP ledger p1 i-1", "STARTUP stock p1 i-1"]);
});
