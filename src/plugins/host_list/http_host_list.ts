/**
 * Polls the host list as JSON over HTTP.
 *
 * @module
 */
import { setTimeout as sleep } from "node:timers/promises";
import { Agent, type Dispatcher, request } from "undici";
import { z } from "zod";
import { type EventLog, Events } from "../../kernel/events.ts";
import type { Service } from "../../kernel/kernel.ts";
import { OutageLog } from "../../kernel/outage_log.ts";
import { MAX_PORT, parseEndpoint } from "../../utils/endpoint.ts";
import type { Host, HostList } from "./host_list.ts";

const POLL_INTERVAL_MS = 1_000;
const POLL_JITTER_MS = 200;
const REQUEST_TIMEOUT_MS = 1_000;

/** A host, which may be a name or an IPv6 address, and a port. */
const ENDPOINT_PATTERN = /^\S+:\d{1,5}$/;

/** Schema of an entry of the host list. */
export const hostSchema = z.object({
  name: z.string().min(1),
  kind: z.enum(["proxy", "instance"]),
  zone: z.string().min(1),
  endpoint: z.string().refine(hasValidPort, "not a host and a port"),
  state: z.enum(["live", "leaving"]),
});

/** Schema of the host list. */
export const hostListSchema = z.object({ hosts: z.array(hostSchema) });

/** Response of the service; its entries are checked one by one. */
const responseSchema = z.object({ hosts: z.array(z.unknown()) });

/** A list as it was read. */
export interface HostListReading {
  readonly hosts: readonly Host[];
  /** Entries that are not valid, as reasons by position. */
  readonly skipped: readonly string[];
}

/** Options of the host list client. */
export interface HttpHostListOptions {
  readonly url: string;
  /** Local IP address to connect from; by default the operating system chooses. */
  readonly address?: string;
  readonly log: EventLog;
}

/** Polls the list about once a second, with jitter; keeps the last list while the service is unavailable. */
export class HttpHostList implements HostList, Service {
  readonly #url: string;
  readonly #log: EventLog;
  readonly #outageLog: OutageLog;
  readonly #agent: Agent;
  readonly #stopping = new AbortController();
  readonly #listeners = new Set<() => void>();
  #hosts: readonly Host[] = [];
  /** Entries that were skipped in the last list, so that each is logged once. */
  #skipped: readonly string[] = [];
  #leaving: ReadonlySet<string> = new Set();
  #polling: Promise<void> = Promise.resolve();

  constructor(options: HttpHostListOptions) {
    this.#url = options.url;
    this.#log = options.log;
    this.#outageLog = new OutageLog(
      options.log,
      Events.HOST_LIST_FAILED,
      "host list",
    );
    this.#agent = new Agent({ localAddress: options.address });
  }

  hosts(): readonly Host[] {
    return this.#hosts;
  }

  isLeaving(instance: string): boolean {
    return this.#leaving.has(instance);
  }

  subscribe(listener: () => void): () => void {
    this.#listeners.add(listener);
    return () => this.#listeners.delete(listener);
  }

  /** Reads the list once, then polls it in the background. */
  async start(): Promise<void> {
    await this.#poll();
    this.#polling = this.#pollUntilStopped();
  }

  /** Stops polling and closes the connections. */
  async stop(): Promise<void> {
    this.#stopping.abort();
    await this.#polling;
    await this.#agent.destroy();
  }

  async #pollUntilStopped(): Promise<void> {
    const { signal } = this.#stopping;
    while (!signal.aborted) {
      const jitter = (2 * Math.random() - 1) * POLL_JITTER_MS;
      await sleep(POLL_INTERVAL_MS + jitter, undefined, { signal })
        .catch(() => undefined);
      if (!signal.aborted) await this.#poll();
    }
  }

  async #poll(): Promise<void> {
    try {
      const { hosts, skipped } = await this.#fetch();
      this.#outageLog.recordSuccess();
      this.#logSkipped(skipped);
      this.#apply(hosts);
    } catch (error) {
      if (!this.#stopping.signal.aborted) this.#outageLog.recordFailure(error);
    }
  }

  #fetch(): Promise<HostListReading> {
    const signal = AbortSignal.any([
      this.#stopping.signal,
      AbortSignal.timeout(REQUEST_TIMEOUT_MS),
    ]);
    return readHosts(this.#url, this.#agent, signal);
  }

  #logSkipped(skipped: readonly string[]): void {
    for (const reason of skipped) {
      if (this.#skipped.includes(reason)) continue;
      this.#log.write(Events.HOST_ENTRY_SKIPPED, { reason });
    }
    this.#skipped = skipped;
  }

  #apply(hosts: readonly Host[]): void {
    if (JSON.stringify(hosts) === JSON.stringify(this.#hosts)) return;
    const leaving = hosts.filter((host) => host.state === "leaving");
    for (const host of leaving) {
      if (this.#leaving.has(host.name)) continue;
      const { name, kind, zone: hostZone } = host;
      // Each line has the availability zone of this proxy as its zone.
      this.#log.write(Events.HOST_LEAVING, { host: name, kind, hostZone });
    }
    this.#hosts = hosts;
    this.#leaving = new Set(leaving.map((host) => host.name));
    for (const listener of this.#listeners) listener();
  }
}

/** Reads the list once and skips entries that are not valid; rejects if the request fails or the response is no list. */
export async function readHosts(
  url: string,
  dispatcher: Dispatcher,
  signal: AbortSignal,
): Promise<HostListReading> {
  const hostsUrl = new URL("/hosts", url);
  const response = await request(hostsUrl, { dispatcher, signal });
  const body = await response.body.json();
  if (response.statusCode !== 200) {
    throw new Error(
      `the host list returned HTTP status ${response.statusCode}`,
    );
  }
  const hosts: Host[] = [];
  const skipped: string[] = [];
  for (const [index, entry] of responseSchema.parse(body).hosts.entries()) {
    const parsed = hostSchema.safeParse(entry);
    if (parsed.success) {
      hosts.push(parsed.data);
      continue;
    }
    const issue = parsed.error.issues[0];
    skipped.push(`entry ${index}: ${issue?.path.join(".")}: ${issue?.message}`);
  }
  return { hosts, skipped };
}

function hasValidPort(endpoint: string): boolean {
  if (!ENDPOINT_PATTERN.test(endpoint)) return false;
  const { port } = parseEndpoint(endpoint);
  return port > 0 && port <= MAX_PORT;
}
