/**
 * Registers the watch of the database groups.
 *
 * @module
 */
import { registerPlugin } from "../../kernel/kernel.ts";
import { HealthMonitor } from "./health_monitor.ts";

registerPlugin({
  name: "health",
  needs: ["configuration", "host_list", "database_group"],
  create(context) {
    return new HealthMonitor({
      configuration: context.use("configuration"),
      hostList: context.use("host_list"),
      control: context.use("database_group"),
      log: context.log,
    });
  },
});
