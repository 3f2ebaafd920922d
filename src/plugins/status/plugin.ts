/**
 * Registers the status plug-in.
 *
 * @module
 */
import { registerPlugin } from "../../kernel/kernel.ts";
import { ProxyStatus } from "./proxy_status.ts";

registerPlugin({
  name: "status",
  needs: ["peers", "configuration", "membership"],
  create: ({ settings, use, find }) =>
    new ProxyStatus({
      name: settings.name,
      zone: settings.zone,
      environment: settings.environment,
      peers: use("peers"),
      configuration: use("configuration"),
      membership: use("membership"),
      health: () => find("health"),
      connections: () => find("connections"),
    }),
});
