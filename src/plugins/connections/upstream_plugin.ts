/**
 * Registers the pools of this proxy's own connections to the listed instances.
 *
 * @module
 */
import { registerPlugin } from "../../kernel/kernel.ts";
import { type InstanceConnector, UpstreamPools } from "./upstream_pools.ts";

declare module "../../kernel/kernel.ts" {
  interface Services {
    /** Provided by the plug-in that implements the instances' protocol. */
    connector: InstanceConnector;
    /** This proxy's own connections. */
    upstreamPools: UpstreamPools;
  }
}

registerPlugin({
  name: "upstreamPools",
  needs: ["routes", "directory", "connector", "coordination", "holderRule"],
  create: ({ log, use, find }) => {
    const coordination = use("coordination");
    const rule = use("holderRule");
    return new UpstreamPools({
      directory: use("directory"),
      routes: use("routes"),
      connector: use("connector"),
      proxies: () => coordination.liveHosts().length,
      isScheduled: (group) => rule.isScheduled(group),
      scheduledShare: ({ id }) => rule.scheduledShare(id),
      log,
      // `succession` depends on these pools, so it is looked up when it is needed.
      onFailure: ({ group, id }) => find("succession")?.onFailure(group, id),
    });
  },
});
