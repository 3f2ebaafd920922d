/**
 * Registers the failover service, its peer procedures and its metrics.
 *
 * @module
 */
import { registerPlugin } from "../../kernel/kernel.ts";
import { registerFailoverMetrics } from "./failover_metrics.ts";
import { FailoverMonitor } from "./failover_monitor.ts";
import { PeerAnnouncer, serveAnnouncements } from "./peer_announcer.ts";

registerPlugin({
  name: "failover",
  needs: [
    "configuration",
    "connections",
    "database_group",
    "health",
    "host_list",
    "membership",
    "metrics",
    "peers",
    "table_service",
  ],
  create(context) {
    const { settings: { name }, log } = context;
    const peers = context.use("peers");
    const membership = context.use("membership");
    const connections = context.use("connections");
    const monitor = new FailoverMonitor({
      name,
      configuration: context.use("configuration"),
      health: context.use("health"),
      control: context.use("database_group"),
      membership,
      tableService: context.use("table_service"),
      log,
      outstanding: (database, instance) =>
        connections.outstanding(database, instance),
      announcer: new PeerAnnouncer({
        proxy: name,
        peers,
        membership,
        hostList: context.use("host_list"),
      }),
    });
    serveAnnouncements(peers, monitor);
    registerFailoverMetrics(context.use("metrics").registry, monitor.timings);
    return monitor;
  },
});
