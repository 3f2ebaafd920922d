/**
 * Metrics of the failovers that this proxy carried out: their number and the durations of their phases.
 *
 * @module
 */
import { Gauge, type Registry } from "prom-client";
import type { FailoverTimings } from "./failover.ts";

const PERCENTILES: readonly number[] = [50, 90, 100];
const PERCENT = 100;
const MS_PER_SECOND = 1_000;

/** Registers gauges that read the timings on each collection. */
export function registerFailoverMetrics(
  registry: Registry,
  timings: FailoverTimings,
): void {
  const parts = Object.keys(timings) as (keyof FailoverTimings)[];
  new Gauge({
    name: "marjoramshed_failover_seconds",
    help: "Durations of the parts of failovers that this proxy ordered",
    labelNames: ["part", "quantile"],
    registers: [registry],
    collect() {
      for (const part of parts) {
        for (const percentile of PERCENTILES) {
          const labels = { part, quantile: percentile / PERCENT };
          const duration = timings[part].getValueAtPercentile(percentile);
          this.set(labels, duration / MS_PER_SECOND);
        }
      }
    },
  });
  new Gauge({
    name: "marjoramshed_failovers",
    help: "Failovers that this proxy ordered since the start",
    registers: [registry],
    collect() {
      this.set(timings.promotion.totalCount);
    },
  });
}
