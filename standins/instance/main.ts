/**
 * A database instance: one member of an asynchronously replicated group that
 * speaks the PostgreSQL protocol.
 *
 * @module
 */
import { readFileSync } from "node:fs";
import { loadModule } from "libpg-query";
import pino from "pino";
import { announceReady, listen, stopOnSignal } from "../common/daemon.ts";
import { DatabaseInstance } from "./instance.ts";
import { InstanceServer } from "./server.ts";
import { resolveSettings, resolveSource } from "./settings.ts";

const settings = resolveSettings();
const { name, zone } = settings;
const logger = pino(
  { level: "info", base: { instance: name, zone } },
  pino.destination({ dest: 2, sync: true }),
);
const initSql = settings.initSql ? readFileSync(settings.initSql, "utf8") : "";
await loadModule();
const instance = await DatabaseInstance.create(settings, logger, initSql);
const { server } = new InstanceServer(instance);
const { port } = await listen(server, settings.address, settings.port);
if (settings.role === "primary") instance.startAsPrimary();
else instance.startAsReplica(resolveSource(settings));
stopOnSignal(() => {
  server.close();
  instance.stop();
});
announceReady(settings.address, port);
