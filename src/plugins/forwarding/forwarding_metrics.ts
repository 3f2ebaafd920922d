/**
 * Metrics of the work that proxies forward to each other.
 *
 * @module
 */
import type { MetricSample } from "../metrics/metrics_server.ts";
import type { ForwardingCounters } from "./forwarding_counters.ts";
import type { Holders } from "./holders.ts";

/** The samples of this proxy, as a sender and as a holder; their labels come from fixed lists. */
export function collectForwarding(
  counters: ForwardingCounters,
  holders: Pick<Holders, "held" | "shares">,
): readonly MetricSample[] {
  const { forwarded, holderFailures, refusals } = counters;
  const held = holders.held();
  const heldAs = (role: "holder" | "standby") =>
    held.filter(({ id }) => holders.shares.role(id) === role).length;
  return [
    ...collectCounts("forwarded_total", "outcome", forwarded),
    ...collectCounts("holder_failures_total", "reason", holderFailures),
    ...collectCounts("forwarded_refusals_total", "reason", refusals),
    { name: "forwarded_served_total", labels: {}, value: counters.served },
    {
      name: "held_transactions",
      labels: {},
      value: counters.heldTransactions,
    },
    ...(["holder", "standby"] as const).map((role) => ({
      name: "held_instances",
      labels: { role },
      value: heldAs(role),
    })),
  ];
}

function collectCounts(
  name: string,
  label: string,
  counts: ReadonlyMap<string, number>,
): readonly MetricSample[] {
  return [...counts].map(([key, value]) => ({
    name,
    labels: { [label]: key },
    value,
  }));
}
