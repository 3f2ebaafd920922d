/**
 * Serves the metrics of a proxy on the users' platform in the Prometheus text format.
 *
 * @module
 */
import { createServer, type Server } from "node:http";
import type { EventLog } from "../../kernel/events.ts";
import type { LinkPools } from "../connections/link_pools.ts";
import type { ScheduleUse } from "../scheduling/schedule_use.ts";
import {
  closeServer,
  type ServerAddress,
  tryListen,
} from "../../utils/http_server.ts";
import type { AccountUsage } from "../quotas/quotas.ts";
import type { RequestCounters } from "./request_counters.ts";

const QUANTILES: readonly number[] = [0.5, 0.9, 0.99, 0.999];

/** One value of a metric. */
export interface MetricSample {
  /** Name without the prefix of the product. */
  readonly name: string;
  readonly labels: Labels;
  readonly value: number;
}

/** Returns the samples of one part of the product; their number must be bounded. */
export type MetricCollector = () => readonly MetricSample[];
/** Accounts with samples of their own; bounds the size of the page. */
const MAX_ACCOUNTS = 50;

/** Sources of the exported metrics. */
export interface MetricsSources {
  readonly requests: RequestCounters;
  readonly pools: Pick<LinkPools, "use">;
  /** Number of connected callers. */
  readonly callers: () => number;
  /** Version of the configuration in force; 0 for none. */
  readonly configurationVersion: () => number;
  /** Age in ms of the store's latest confirmation of the coordination rows. */
  readonly storeConfirmationAge: () => number;
  /** Number of log lines dropped because of a slow reader. */
  readonly droppedLogLines: () => number;
  /** Further metrics. */
  readonly collectors?: readonly MetricCollector[];
  /** Counts of the accounts with most operations, at most `limit` of them. */
  readonly accounts?: (limit: number) => readonly AccountUsage[];
}

/** Values of labels by name. */
export type Labels = Readonly<Record<string, string>>;

/** HTTP server for the path /metrics. */
export class MetricsServer {
  readonly #address: ServerAddress;
  readonly #sources: MetricsSources;
  readonly #log: EventLog;
  readonly #server: Server;

  constructor(
    address: ServerAddress,
    sources: MetricsSources,
    log: EventLog,
  ) {
    this.#address = address;
    this.#sources = sources;
    this.#log = log;
    this.#server = createServer((request, response) => {
      if (request.url !== "/metrics") {
        response.writeHead(404).end();
        return;
      }
      response.writeHead(200, { "content-type": "text/plain; version=0.0.4" });
      response.end(this.render());
    });
  }

  /** Starts listening; resolves even if the address is in use, since a proxy can serve without metrics. */
  start(): Promise<void> {
    return tryListen(
      this.#server,
      this.#address,
      "metrics page",
      this.#log,
    );
  }

  /** Stops listening and closes all connections. */
  stop(): void {
    closeServer(this.#server);
  }

  /** Returns all metrics in the Prometheus text format. */
  render(): string {
    const { requests, pools } = this.#sources;
    const lines: string[] = [];
    const addSample = (name: string, labels: Labels, value: number) =>
      lines.push(`marjoramshed_${name}${formatLabels(labels)} ${value}`);
    for (const [effect, histogram] of requests.latencies) {
      for (const quantile of QUANTILES) {
        addSample(
          "request_milliseconds",
          { effect, quantile: String(quantile) },
          histogram.getValueAtPercentile(quantile * 100),
        );
      }
      addSample("requests_total", { effect }, histogram.totalCount);
    }
    for (const [code, count] of requests.refusals) {
      addSample("refusals_total", { code }, count);
    }
    for (const [reason, count] of requests.failedAttempts) {
      addSample("failed_attempts_total", { reason }, count);
    }
    for (const usage of pools.use()) {
      const labels = { group: usage.database, instance: usage.instance };
      addSample("connections_open", labels, usage.open);
      addSample("connections_busy", labels, usage.busy);
      addSample("statements_waiting", labels, usage.waiting);
      addSample("connections_share", labels, usage.share);
      addSample("connections_opened_total", labels, usage.opened);
      for (const sample of scheduleSamples(usage.schedule)) {
        addSample(sample.name, { ...labels, ...sample.labels }, sample.value);
      }
    }
    for (const usage of this.#sources.accounts?.(MAX_ACCOUNTS) ?? []) {
      const labels = { account: usage.account };
      addSample("quota_granted_total", labels, usage.granted);
      addSample("quota_used_total", labels, usage.used);
      addSample("quota_refused_total", labels, usage.refused);
    }
    addSample("callers", {}, this.#sources.callers());
    addSample(
      "configuration_version",
      {},
      this.#sources.configurationVersion(),
    );
    const age = this.#sources.storeConfirmationAge();
    addSample(
      "store_confirmation_age_milliseconds",
      {},
      Math.round(Math.min(age, 1e9)),
    );
    addSample("log_lines_sampled_out_total", {}, requests.omittedLogLines);
    addSample("log_lines_dropped_total", {}, this.#sources.droppedLogLines());
    for (const collect of this.#sources.collectors ?? []) {
      for (const { name, labels, value } of collect()) {
        addSample(name, labels, value);
      }
    }
    return lines.join("\n") + "\n";
  }
}

interface Sample {
  readonly name: string;
  readonly labels?: Labels;
  readonly value: number;
}

/** Samples about a scheduled instance. */
function scheduleSamples(schedule: ScheduleUse | undefined): readonly Sample[] {
  if (!schedule) return [];
  const { pace, paceReason, paceAge, inFlight, accounts } = schedule;
  return [
    { name: "pace", value: pace },
    {
      name: "pace_change_age_milliseconds",
      labels: { reason: paceReason },
      value: Math.round(paceAge),
    },
    { name: "statements_in_flight", value: inFlight },
    ...accounts.flatMap(({ account, ...use }) => {
      const labels = { account };
      return [
        { name: "account_waiting", labels, value: use.waiting },
        { name: "account_connections_open", labels, value: use.open },
        { name: "account_served_total", labels, value: use.served },
        {
          name: "account_connections_opened_total",
          labels,
          value: use.opened,
        },
        {
          name: "account_connections_replaced_total",
          labels,
          value: use.closed,
        },
      ];
    }),
  ];
}

/** Formats labels in braces; escapes their values, which may be names that the operator or an instance chose. */
function formatLabels(labels: Labels): string {
  const pairs = Object.entries(labels)
    .map(([name, value]) => `${name}="${escapeValue(value)}"`);
  return pairs.length === 0 ? "" : `{${pairs.join(",")}}`;
}

function escapeValue(value: string): string {
  return value.replace(/[\\"]/g, "\\$&").replaceAll("\n", "\\n");
}
