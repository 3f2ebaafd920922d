/**
 * The host list, polled as JSON over HTTP.
 *
 * @module
 */
import { setTimeout as sleep } from "node:timers/promises";
import { Agent, type Dispatcher, request } from "undici";
import { z } from "zod";
import { type EventLog, Events } from "../../kernel/events.ts";
import type { Service } from "../../kernel/kernel.ts";
import { OutageLog } from "../../kernel/outage_log.ts";
import type { Host, HostList } from "./host_list.ts";

const POLL_INTERVAL_MS = 1_000;
const POLL_JITTER_MS = 200;
const REQUEST_TIMEOUT_MS = 1_000;

/** Schema of one host of the list. */
export const hostSchema = z.object({
  name: z.string().min(1),
  kind: z.enum(["proxy", "instance"]),
  zone: z.string().min(1),
  endpoint: z.string().regex(/^.+:\d+$/),
  state: z.enum(["live", "leaving"]),
});

/** Schema of the list. */
export const hostListSchema = z.object({ hosts: z.array(hostSchema) });

/** How to reach the host list. */
export interface HttpHostListOptions {
  readonly url: string;
  /** IP number to connect from; default lets the system choose. */
  readonly address?: string;
  readonly log: EventLog;
}

/** Polls the list about once a second and keeps the last one while the list is down. */
export class HttpHostList implements HostList, Service {
  readonly #url: string;
  readonly #log: EventLog;
  readonly #outage: OutageLog;
  readonly #agent: Agent;
  readonly #stopping = new AbortController();
  readonly #listeners = new Set<() => void>();
  #hosts: readonly Host[] = [];
  #leaving: ReadonlySet<string> = new Set();
  #polling: Promise<void> = Promise.resolve();

  constructor(options: HttpHostListOptions) {
    this.#url = options.url;
    this.#log = options.log;
    this.#outage = new OutageLog(
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

  /** Reads the list once, then goes on polling. */
  async start(): Promise<void> {
    await this.#poll();
    this.#polling = this.#pollUntilStopped();
  }

  /** Ends the polling. */
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
      const hosts = await this.#read();
      this.#outage.recordSuccess();
      this.#accept(hosts);
    } catch (error) {
      if (!this.#stopping.signal.aborted) this.#outage.recordFailure(error);
    }
  }

  #read(): Promise<readonly Host[]> {
    const signal = AbortSignal.any([
      this.#stopping.signal,
      AbortSignal.timeout(REQUEST_TIMEOUT_MS),
    ]);
    return readHosts(this.#url, this.#agent, signal);
  }

  #accept(hosts: readonly Host[]): void {
    if (JSON.stringify(hosts) === JSON.stringify(this.#hosts)) return;
    const leaving = hosts.filter((host) => host.state === "leaving");
    for (const host of leaving) {
      if (this.#leaving.has(host.name)) continue;
      const { name, kind, zone } = host;
      this.#log.write(Events.HOST_LEAVING, { host: name, kind, zone });
    }
    this.#hosts = hosts;
    this.#leaving = new Set(leaving.map((host) => host.name));
    for (const listener of this.#listeners) listener();
  }
}

/** Reads the list once; throws when that fails. */
export async function readHosts(
  url: string,
  dispatcher: Dispatcher,
  signal: AbortSignal,
): Promise<readonly Host[]> {
  const path = new URL("/hosts", url);
  const answer = await request(path, { dispatcher, signal });
  const body = await answer.body.json();
  if (answer.statusCode !== 200) {
    throw new Error(`the host list answered ${answer.statusCode}`);
  }
  return hostListSchema.parse(body).hosts;
}
