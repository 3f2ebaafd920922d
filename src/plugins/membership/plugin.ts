/**
 * Registers the membership plugin.
 *
 * @module
 */
import { registerPlugin } from "../../kernel/kernel.ts";
import { GossipMembership } from "./gossip_membership.ts";

registerPlugin({
  name: "membership",
  needs: ["peers", "host_list"],
  create: ({ settings, log, use }) =>
    new GossipMembership({
      name: settings.name,
      zone: settings.zone,
      environment: settings.environment,
      peers: use("peers"),
      hostList: use("host_list"),
      log,
    }),
});
