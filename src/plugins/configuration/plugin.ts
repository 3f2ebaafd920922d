/**
 * Registers the configuration.
 *
 * @module
 */
import { registerPlugin } from "../../kernel/kernel.ts";
import { FollowedConfiguration } from "./followed_configuration.ts";

registerPlugin({
  name: "configuration",
  needs: ["table_service", "object_store", "peers", "membership"],
  create: ({ settings, log, use }) =>
    new FollowedConfiguration({
      environment: settings.environment,
      table: use("table_service"),
      objects: use("object_store"),
      peers: use("peers"),
      membership: use("membership"),
      log,
    }),
});
