/**
 * Registers the health monitor of the database groups.
 *
 * @module
 */
import { registerPlugin } from "../../kernel/kernel.ts";
import { registerHealthMetrics } from "./health_metrics.ts";
import { HealthMonitor } from "./health_monitor.ts";

registerPlugin({
  name: "health",
  needs: ["configuration", "host_list", "database_group", "metrics"],
  create(context) {
    const configuration = context.use("configuration");
    const monitor = new HealthMonitor({
      configuration,
      hostList: context.use("host_list"),
      control: context.use("database_group"),
      log: context.log,
    });
    const { registry } = context.use("metrics");
    registerHealthMetrics(
      registry,
      monitor,
      () =>
        configuration.environment()?.groups.map((group) => group.database) ??
          [],
    );
    return monitor;
  },
});
