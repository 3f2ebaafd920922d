/**
 * Services that a caller's session uses.
 *
 * @module
 */
import type { EventLog } from "../../kernel/events.ts";
import type { Classifier } from "../classification/classification.ts";
import type { Configuration } from "../configuration/configuration.ts";
import type { Connections } from "../connections/connections.ts";
import type { Group } from "../document/document.ts";
import type { Health } from "../health/health.ts";
import type { Ledger } from "../ledger/ledger.ts";
import type { RoutingPolicy } from "../routing/routing.ts";
import type { Metrics } from "../metrics/metrics.ts";

/** Services shared by all sessions of a proxy. */
export interface CallerContext {
  readonly log: EventLog;
  readonly metrics: Metrics;
  readonly configuration: Configuration;
  readonly health: Health;
  readonly routing: RoutingPolicy;
  readonly connections: Connections;
  readonly classifier: Classifier;
  readonly ledger: Ledger;
}

/** Identity of a session in log lines and for running its units. */
export interface SessionIdentity {
  readonly id: number;
  readonly user: string;
  readonly database: string;
}

/** The current group of the session's database; undefined when the database was removed from the document. */
export function groupOf(
  context: CallerContext,
  identity: SessionIdentity,
): Group | undefined {
  return context.configuration.group(identity.database);
}
