/**
 * Registers the configuration plugin.
 *
 * @module
 */
import { registerPlugin } from "../../kernel/kernel.ts";
import { ReplicatedConfiguration } from "./replicated_configuration.ts";

registerPlugin({
  name: "configuration",
  needs: ["table_service", "object_store", "peers", "membership"],
  create: ({ settings, log, use }) =>
    new ReplicatedConfiguration({
      environment: settings.environment,
      table: use("table_service"),
      objects: use("object_store"),
      peers: use("peers"),
      membership: use("membership"),
      log,
    }),
});
