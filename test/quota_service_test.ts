import { describe } from "node:test";
import { expect } from "earl";
import { errAsync, okAsync, ResultAsync } from "neverthrow";
import pino from "pino";
import { clock } from "../src/kernel/clock.ts";
import { EventLog } from "../src/kernel/events.ts";
import { AccountDirectory } from "../src/plugins/accounts/accounts.ts";
import type {
  ChannelFailure,
  ChannelHandler,
  ChannelReply,
  PeerChannels,
} from "../src/plugins/channels/channels.ts";
import { ActiveRoutes } from "../src/plugins/deployment/routes.ts";
import { QuotaService } from "../src/plugins/quotas/quota_service.ts";
import {
  FakeCoordination,
  FakeStore,
} from "./platform/fixtures/fake_coordination.ts";
import { itInVirtualTime as it } from "./platform/fixtures/virtual_time.ts";

const LATENCY_MS = 1;
const sleep = (duration: number) =>
  new Promise((resolve) => setTimeout(resolve, duration));

/** Channels within one process. */
class LocalChannels implements PeerChannels {
  readonly endpoint: string;
  readonly #name: string;
  readonly #all: Map<string, LocalChannels>;
  readonly #handlers = new Map<string, ChannelHandler>();

  constructor(name: string, all: Map<string, LocalChannels>) {
    this.#name = name;
    this.endpoint = `${name}:3`;
    this.#all = all;
    all.set(this.endpoint, this);
  }

  connect(): ResultAsync<void, ChannelFailure> {
    return okAsync(undefined);
  }

  serve(kind: string, handler: ChannelHandler): void {
    this.#handlers.set(kind, handler);
  }

  call(
    endpoint: string,
    kind: string,
    body: unknown,
  ): ResultAsync<ChannelReply, ChannelFailure> {
    const peer = this.#all.get(endpoint);
    if (!peer) return errAsync({ reason: "away", mayBeReceived: false });
    const sentAt = clock.now();
    const exchange = async () => {
      await sleep(LATENCY_MS);
      const answer = await peer.receive(kind, body, this.#name);
      const stamp = clock.now();
      await sleep(LATENCY_MS);
      return { body: answer, sentAt, stamp, receivedAt: clock.now() };
    };
    return ResultAsync.fromSafePromise(exchange());
  }

  send(endpoint: string, kind: string, body: unknown): boolean {
    const peer = this.#all.get(endpoint);
    setTimeout(() => void peer?.receive(kind, body, this.#name), LATENCY_MS);
    return peer !== undefined;
  }

  earliestPeerTime(): undefined {}

  receive(kind: string, body: unknown, proxy: string): unknown {
    const peer = { proxy, send: () => false, onEnd: () => {} };
    return this.#handlers.get(kind)?.(structuredClone(body), peer);
  }
}

const directory = (limits: Readonly<Record<string, number | undefined>>) =>
  new AccountDirectory(
    Object.entries(limits).map(([name, rate]) => ({
      name,
      keys: [],
      limit: rate === undefined ? undefined : { rate, burst: rate },
    })),
  );

/** Starts services of hosts that know each other, with the lines that they log. */
async function startServices(names: readonly string[], limits = { a: 20 }) {
  const store = new FakeStore();
  const routes = new ActiveRoutes();
  const lines: { readonly event: number }[] = [];
  const log = new EventLog(
    pino({}, { write: (line: string) => void lines.push(JSON.parse(line)) }),
  );
  let version = 0;
  const setLimits = (next: Parameters<typeof directory>[0]) =>
    routes.updateIfNewer({
      version: version += 1,
      routes: new Map(),
      groups: new Map(),
      accounts: directory(next),
      transactionIdleTimeout: 0,
      startupTimeout: 0,
    });
  setLimits(limits);
  const all = new Map<string, LocalChannels>();
  const services = names.map((proxy) => {
    const coordination = new FakeCoordination(proxy, store);
    const value = {
      incarnation: proxy,
      address: `${proxy}:1`,
      channel: `${proxy}:3`,
    };
    store.hosts.set(proxy, { version: 1, value });
    const channels = new LocalChannels(proxy, all);
    return new QuotaService({ proxy, routes, coordination, channels, log });
  });
  store.version = 1;
  for (const service of services) service.start();
  store.publish();
  await sleep(4_000);
  const account = (name: string) => routes.table!.accounts!.get(name);
  return { services, lines, setLimits, account };
}

const in3s = () => clock.now() + 3_000;

describe("the quota service", () => {
  it("admits work without an account or a limit at once", async () => {
    const { services, account, setLimits } = await startServices(["p"]);
    setLimits({ a: undefined, b: 5 });
    expect(services[0]!.admit(undefined, in3s())).toEqual(undefined);
    expect(services[0]!.admit(account("a"), in3s())).toEqual(undefined);
  });

  it("limits an account over all hosts, and counts and logs what it refuses", async () => {
    const { services, lines, account } = await startServices(["p", "q", "r"]);
    let admitted = 0;
    for (let done = 0; done < 300; done += 1) {
      const service = services[done % services.length]!;
      void Promise.resolve(service.admit(account("a"), in3s()))
        .then((failure) => {
          if (!failure) admitted += 1;
          else expect(failure.code.number).toEqual(418);
        });
      await sleep(10);
    }
    await sleep(2_000);
    // Three seconds of 20 a second after a burst of 20, and what may be in stock.
    expect(admitted).toBeGreaterThan(70);
    expect(admitted).toBeLessThan(90);
    const usages = services.flatMap((service) => service.usage(10));
    const sum = (count: "used" | "refused") =>
      usages.reduce((total, usage) => total + usage[count], 0);
    expect([sum("used"), sum("refused")]).toEqual([admitted, 300 - admitted]);
    const exhausted = lines.filter(({ event }) => event === 642);
    expect(exhausted.length).toBeGreaterThan(2);
    expect(exhausted.length).toBeLessThan(16);
    expect(JSON.stringify(exhausted)).toInclude('"account":"a"');
  });

  it("follows limits that change, and allows nothing by one of 0", async () => {
    const { services, setLimits, account } = await startServices(["p", "q"]);
    setLimits({ a: 0 });
    const failure = await services[1]!.admit(account("a"), in3s());
    expect(failure?.message ?? "").toInclude("; retry in");
    setLimits({ a: 1_000 });
    await sleep(2_000);
    for (let done = 0; done < 500; done += 1) {
      expect(await services[1]!.admit(account("a"), in3s())).toEqual(undefined);
    }
  });
});
