/**
 * Registers the `connections` service.
 *
 * @module
 */
import { registerPlugin } from "../../kernel/kernel.ts";
import { registerConnectionMetrics } from "./connection_metrics.ts";
import { SharedConnections } from "./shared_connections.ts";

registerPlugin({
  name: "connections",
  needs: ["configuration", "health", "membership", "metrics"],
  create: ({ settings, log, use }) => {
    const connections = new SharedConnections({
      proxy: settings.name,
      identity: {
        address: settings.address,
        user: settings.upstreamUser,
        password: settings.upstreamPassword,
        applicationName: `marjoramshed-${settings.name}`,
        authority: settings.upstreamAuthority,
      },
      configuration: use("configuration"),
      health: use("health"),
      membership: use("membership"),
      log,
    });
    registerConnectionMetrics(use("metrics").registry, connections);
    return connections;
  },
});
