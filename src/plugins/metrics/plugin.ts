/**
 * Registers the metrics plug-in.
 *
 * @module
 */
import { registerPlugin } from "../../kernel/kernel.ts";
import { PrometheusMetrics } from "./prometheus_metrics.ts";

declare module "../../kernel/kernel.ts" {
  interface Services {
    metrics: PrometheusMetrics;
  }
}

registerPlugin({
  name: "metrics",
  needs: [],
  create: (context) => new PrometheusMetrics(context.settings),
});
