/**
 * Metrics of the database groups.
 *
 * @module
 */
import { Gauge, type Registry } from "prom-client";
import type { GroupView, Health } from "./health.ts";

const MS_PER_SECOND = 1_000;

/** Registers gauges that read the group views on collection; `databases` returns the databases of the document. */
export function registerHealthMetrics(
  registry: Registry,
  health: Pick<Health, "view" | "age">,
  databases: () => readonly string[],
): void {
  const views = () =>
    databases().map((database) => health.view(database))
      .filter((view): view is GroupView => view !== undefined);
  new Gauge({
    name: "marjoramshed_group_term",
    help: "Term of the group as this proxy knows it",
    labelNames: ["database"],
    registers: [registry],
    collect() {
      this.reset();
      for (const view of views()) this.set(groupLabels(view), view.term);
    },
  });
  new Gauge({
    name: "marjoramshed_receive_lag_seconds",
    help: "For how long a majority has not held the primary's position",
    labelNames: ["database"],
    registers: [registry],
    collect() {
      this.reset();
      for (const view of views()) {
        this.set(groupLabels(view), view.receiveLagMs / MS_PER_SECOND);
      }
    },
  });
  new Gauge({
    name: "marjoramshed_instance_age_seconds",
    help: "Upper bound of the age of the instance's data",
    labelNames: ["database", "instance"],
    registers: [registry],
    collect() {
      this.reset();
      for (const view of views()) {
        const { database } = view.group;
        for (const { instance: { name } } of view.instances) {
          const age = health.age(database, name) / MS_PER_SECOND;
          this.set({ database, instance: name }, age);
        }
      }
    },
  });
}

function groupLabels({ group: { database } }: GroupView) {
  return { database };
}
