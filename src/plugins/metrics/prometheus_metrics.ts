/**
 * Serves the metrics of a proxy in the Prometheus text format.
 *
 * @module
 */
import { createServer, type Server } from "node:http";
import * as hdr from "hdr-histogram-js";
import { Counter, Gauge, Registry } from "prom-client";
import type { Service } from "../../kernel/kernel.ts";
import type { Settings } from "../../kernel/settings.ts";
import { closeServer } from "../../utils/http_server.ts";
import type { Metrics, StatementTarget } from "./metrics.ts";

const MICROSECONDS_PER_MS = 1_000;
const MICROSECONDS_PER_SECOND = 1_000_000;
const MAX_LATENCY_US = 60_000_000;
const QUANTILES: readonly number[] = [0.5, 0.9, 0.99, 0.999];

type Effect = "read" | "write";

/** Keeps counters in prom-client and latencies in HDR histograms. */
export class PrometheusMetrics implements Metrics, Service {
  /** Registry to which other plug-ins add their own metrics. */
  readonly registry = new Registry();
  readonly #settings: Settings;
  readonly #server: Server;
  readonly #latencies = new Map<string, hdr.Histogram>();
  readonly #statements: Counter;
  readonly #refusals: Counter;
  readonly #callers: Gauge;

  constructor(settings: Settings) {
    this.#settings = settings;
    const registers = [this.registry];
    this.#statements = new Counter({
      name: "marjoramshed_statements_total",
      help: "Statements answered, by target and effect",
      labelNames: ["target", "effect"],
      registers,
    });
    this.#refusals = new Counter({
      name: "marjoramshed_refusals_total",
      help: "Refusals by result code",
      labelNames: ["code"],
      registers,
    });
    this.#callers = new Gauge({
      name: "marjoramshed_callers",
      help: "Connected callers",
      registers,
    });
    this.#registerLatencies();
    this.#server = createServer((request, response) => {
      if (request.url !== "/metrics") {
        response.writeHead(404).end();
        return;
      }
      void this.registry.metrics().then((text) => {
        response.setHeader("content-type", this.registry.contentType);
        response.end(text);
      });
    });
  }

  /** Port of the metrics server; 0 until it listens. */
  get port(): number {
    const address = this.#server.address();
    return typeof address === "object" && address ? address.port : 0;
  }

  async start(): Promise<void> {
    await new Promise<void>((resolve, reject) => {
      this.#server.once("error", reject);
      const { metricsPort, address } = this.#settings;
      this.#server.listen({ port: metricsPort, host: address }, resolve);
    });
  }

  stop(): Promise<void> {
    closeServer(this.#server);
    return Promise.resolve();
  }

  recordStatement(
    target: StatementTarget,
    effect: Effect,
    elapsed: number,
  ): void {
    this.#statements.inc({ target, effect });
    const elapsedUs = Math.max(1, Math.round(elapsed * MICROSECONDS_PER_MS));
    this.#resolveHistogram(target, effect).recordValue(
      Math.min(elapsedUs, MAX_LATENCY_US),
    );
  }

  recordRefusal(code: string): void {
    this.#refusals.inc({ code });
  }

  setCallerCount(count: number): void {
    this.#callers.set(count);
  }

  #resolveHistogram(target: StatementTarget, effect: Effect): hdr.Histogram {
    const key = `${target} ${effect}`;
    const known = this.#latencies.get(key);
    if (known) return known;
    const histogram = hdr.build({
      highestTrackableValue: MAX_LATENCY_US,
      numberOfSignificantValueDigits: 2,
    });
    this.#latencies.set(key, histogram);
    return histogram;
  }

  #registerLatencies(): void {
    const latencies = this.#latencies;
    new Gauge({
      name: "marjoramshed_statement_seconds",
      help: "Time at the upstream and for the acknowledgement, by quantile",
      labelNames: ["target", "effect", "quantile"],
      registers: [this.registry],
      collect() {
        for (const [key, histogram] of latencies) {
          const [target, effect] = key.split(" ") as [StatementTarget, Effect];
          for (const quantile of QUANTILES) {
            const value = histogram.getValueAtPercentile(quantile * 100);
            this.set(
              { target, effect, quantile: String(quantile) },
              value / MICROSECONDS_PER_SECOND,
            );
          }
        }
      },
    });
  }
}
