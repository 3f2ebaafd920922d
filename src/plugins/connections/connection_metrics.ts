/**
 * Prometheus metrics of the connection pools.
 *
 * @module
 */
import { Gauge, type Registry } from "prom-client";
import type { Connections, ConnectionUse } from "./connections.ts";

type Count = "open" | "busy" | "waiting" | "share" | "opened";

const HELP: Readonly<Record<Count, string>> = {
  open: "Connections to the instance, those that open or end included",
  busy: "Connections that are lent",
  waiting: "Statements that wait for a connection",
  share: "Connections that this proxy may hold at present",
  opened: "Connections opened since the start",
};

/** Registers gauges that read the connection counts on each collection. */
export function registerConnectionMetrics(
  registry: Registry,
  connections: Pick<Connections, "use">,
): void {
  for (const count of Object.keys(HELP) as Count[]) {
    new Gauge({
      name: `marjoramshed_connections_${count}`,
      help: HELP[count],
      labelNames: ["database", "instance"],
      registers: [registry],
      collect() {
        this.reset();
        for (const use of connections.use()) this.set(labels(use), use[count]);
      },
    });
  }
}

function labels({ database, instance }: ConnectionUse) {
  return { database, instance };
}
