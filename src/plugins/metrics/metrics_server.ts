/**
 * The page of metrics of a proxy that serves sessions, in the Prometheus text format.
 *
 * @module
 */
import { createServer, type Server } from "node:http";
import type { EventLog } from "../../kernel/events.ts";
import type { UpstreamPools } from "../connections/upstream_pools.ts";
import {
  closeServer,
  type ServerAddress,
  tryListen,
} from "../../utils/http_server.ts";
import type { RequestCounters } from "./request_counters.ts";

const QUANTILES: readonly number[] = [0.5, 0.9, 0.99, 0.999];

/** What the page shows besides the requests. */
export interface MetricsSources {
  readonly requests: RequestCounters;
  readonly pools: Pick<UpstreamPools, "use">;
  /** Connected callers. */
  readonly callers: () => number;
  /** Version of the configuration in force; 0 for none. */
  readonly configurationVersion: () => number;
  /** Age, in ms, of the newest confirmation by the store. */
  readonly storeConfirmationAge: () => number;
  /** Log lines that were dropped for a slow reader. */
  readonly droppedLogLines: () => number;
}

/** Serves the page at one path of one port. */
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

  /** Listens; a proxy whose metrics address is not free serves all the same. */
  start(): Promise<void> {
    return tryListen(
      this.#server,
      this.#address,
      "metrics page",
      this.#log,
    );
  }

  /** Listens no more. */
  stop(): void {
    closeServer(this.#server);
  }

  /** The text of the page. */
  render(): string {
    const { requests, pools } = this.#sources;
    const lines: string[] = [];
    const add = (name: string, labels: string, value: number) =>
      lines.push(`marjoramshed_${name}${labels && `{${labels}}`} ${value}`);
    for (const [effect, histogram] of requests.latencies) {
      for (const quantile of QUANTILES) {
        add(
          "request_milliseconds",
          `effect="${effect}",quantile="${quantile}"`,
          histogram.getValueAtPercentile(quantile * 100),
        );
      }
      add("requests_total", `effect="${effect}"`, histogram.totalCount);
    }
    for (const [code, count] of requests.refusals) {
      add("refusals_total", `code="${code}"`, count);
    }
    for (const [reason, count] of requests.attempts) {
      add("failed_attempts_total", `reason="${reason}"`, count);
    }
    for (const use of pools.use()) {
      const labels = `group="${use.database}",instance="${use.instance}"`;
      add("connections_open", labels, use.open);
      add("connections_busy", labels, use.busy);
      add("statements_waiting", labels, use.waiting);
      add("connections_share", labels, use.share);
      add("connections_opened_total", labels, use.opened);
    }
    add("callers", "", this.#sources.callers());
    add("configuration_version", "", this.#sources.configurationVersion());
    const age = this.#sources.storeConfirmationAge();
    add(
      "store_confirmation_age_milliseconds",
      "",
      Math.round(Math.min(age, 1e9)),
    );
    add("log_lines_sampled_out_total", "", requests.omittedLines);
    add("log_lines_dropped_total", "", this.#sources.droppedLogLines());
    return lines.join("\n") + "\n";
  }
}
