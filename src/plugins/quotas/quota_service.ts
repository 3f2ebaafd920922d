/**
 * The `quotas` service: the quotas of this host over the proxies' channels.
 *
 * @module
 */
import { clock } from "../../kernel/clock.ts";
import type { EventLog } from "../../kernel/events.ts";
import type { Service } from "../../kernel/kernel.ts";
import type { Failure } from "../../kernel/result_codes.ts";
import type { Account } from "../accounts/accounts.ts";
import type { PeerChannels } from "../channels/channels.ts";
import type { ActiveRoutes } from "../deployment/routes.ts";
import type { Coordination } from "../leadership/coordination.ts";
import { sleep } from "../../utils/sleep.ts";
import { ChannelNetwork } from "./channel_network.ts";
import { HostQuotas } from "./host_quotas.ts";
import { QuotaLog } from "./quota_log.ts";
import type { AccountUsage, Quotas } from "./quotas.ts";
import { WAITS } from "./shard_client.ts";
import { RENEWAL_MS } from "./timing.ts";

/** Characters of the random name of a run; two runs of a host share one with a chance of 1 in 60 million. */
const LIFE_LENGTH = 5;
const LIFE_RADIX = 36;

/** Time in which all hosts ask their coordinator, and so hear of another one, in ms: a renewal and a round trip between regions. */
const MOVE_MS = RENEWAL_MS + 50;

/** Dependencies of the service. */
export interface QuotaServiceOptions {
  /** Name of this proxy. */
  readonly proxy: string;
  readonly routes: ActiveRoutes;
  readonly coordination: Coordination;
  readonly channels: PeerChannels;
  readonly log: EventLog;
}

/** Limits the operations of accounts together with the other proxies. */
export class QuotaService implements Quotas, Service {
  readonly #options: QuotaServiceOptions;
  readonly #log: QuotaLog;
  readonly #host: HostQuotas;
  readonly #unsubscribe: (() => void)[] = [];

  constructor(options: QuotaServiceOptions) {
    this.#options = options;
    const { proxy, channels, coordination, log } = options;
    const network = new ChannelNetwork(proxy, channels);
    this.#log = new QuotaLog(log);
    this.#host = new HostQuotas({
      life: createLife(),
      network,
      rows: coordination,
      events: this.#log,
    });
    network.serve((kind, body, peer, answer) =>
      this.#host.handle(kind, body, peer, answer)
    );
  }

  start(): void {
    const { routes, coordination } = this.#options;
    this.#host.setAccounts(routes.table?.accounts);
    this.#unsubscribe.push(
      routes.subscribe(({ accounts }) => this.#host.setAccounts(accounts)),
      coordination.subscribe(() => this.#host.refresh()),
    );
  }

  admit(
    account: Account | undefined,
    usefulUntil: number,
  ): Failure | undefined | Promise<Failure | undefined> {
    if (!account?.limit) return undefined;
    const now = clock.now();
    const decision = this.#host.decide(account.name, now);
    if (decision !== WAITS) return decision as Failure | undefined;
    return new Promise((resolve) =>
      this.#host.enqueue(account.name, usefulUntil, resolve, now)
    );
  }

  usage(limit: number): readonly AccountUsage[] {
    return this.#host.usage(limit);
  }

  /** Gives up this host's part, and waits until the hosts that it coordinates have been told of another coordinator. */
  async drain(deadline: number): Promise<void> {
    if (!this.#host.leave()) return;
    await sleep(Math.max(0, Math.min(MOVE_MS, deadline - clock.now())));
  }

  stop(): void {
    for (const unsubscribe of this.#unsubscribe) unsubscribe();
    this.#host.stop();
    this.#log.stop();
  }
}

function createLife(): string {
  return Math.random().toString(LIFE_RADIX).slice(2, 2 + LIFE_LENGTH)
    .padEnd(LIFE_LENGTH, "0");
}
