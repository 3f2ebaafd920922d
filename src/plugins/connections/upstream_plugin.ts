/**
 * Registers the pools of listed instances.
 *
 * @module
 */
import { registerPlugin } from "../../kernel/kernel.ts";
import { type InstanceConnector, UpstreamPools } from "./upstream_pools.ts";

declare module "../../kernel/kernel.ts" {
  interface Services {
    /** Given by the plug-in that speaks the instances' protocol. */
    connector: InstanceConnector;
    pools: UpstreamPools;
  }
}

registerPlugin({
  name: "pools",
  needs: ["routes", "directory", "connector", "coordination"],
  create: ({ log, use, find }) => {
    const coordination = use("coordination");
    return new UpstreamPools({
      directory: use("directory"),
      routes: use("routes"),
      connector: use("connector"),
      proxies: () => coordination.hosts().size,
      log,
      // The succession needs the pools, so it can only be found later.
      onFailure: ({ group, id }) => find("succession")?.onFailure(group, id),
    });
  },
});
