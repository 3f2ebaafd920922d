/**
 * Contacts proxies of the host list that are unknown or gone, to join the other
 * proxies at startup and after a network partition has healed.
 *
 * @module
 */
import { setTimeout as sleep } from "node:timers/promises";
import type { Host, HostList } from "../host_list/host_list.ts";
import type { Gossip } from "./gossip.ts";
import type { MemberTable } from "./member_table.ts";
import { shuffle } from "./shuffle.ts";

/** Mean interval between attempts while no other live proxy is known. */
const JOIN_INTERVAL_MS = 500;
/** Mean interval between attempts while other live proxies are known. */
const REJOIN_INTERVAL_MS = 5_000;
const CONTACT_TIMEOUT_MS = 1_000;

/** Options of the joiner. */
export interface HostJoinerOptions {
  readonly ownName: string;
  readonly hostList: HostList;
  readonly table: MemberTable;
  readonly gossip: Gossip;
}

/** Background task that contacts missing hosts, one at a time. */
export class HostJoiner {
  readonly #options: HostJoinerOptions;
  readonly #abortController = new AbortController();
  #task: Promise<void> | undefined;

  constructor(options: HostJoinerOptions) {
    this.#options = options;
  }

  /** Starts the task. */
  start(): void {
    this.#task = this.#run();
  }

  /** Stops the task; resolves when the current attempt has ended. */
  async stop(): Promise<void> {
    this.#abortController.abort();
    await this.#task;
  }

  async #run(): Promise<void> {
    const { signal } = this.#abortController;
    while (!signal.aborted) {
      const [host] = shuffle(this.#missingHosts());
      if (host) await this.#contact(host);
      const intervalMs = this.#isAlone()
        ? JOIN_INTERVAL_MS
        : REJOIN_INTERVAL_MS;
      const jitteredMs = intervalMs * (0.75 + Math.random() / 2);
      await sleep(jitteredMs, undefined, { signal }).catch(() => undefined);
    }
  }

  async #contact(host: Host): Promise<void> {
    const { gossip } = this.#options;
    const answered = await gossip.exchange(
      host.name,
      host.endpoint,
      CONTACT_TIMEOUT_MS,
    );
    if (answered) await gossip.reconcile(host.name, host.endpoint);
  }

  #isAlone(): boolean {
    return this.#options.table.others()
      .every((member) => member.liveness === "gone");
  }

  #missingHosts(): readonly Host[] {
    const { ownName, hostList, table } = this.#options;
    return hostList.hosts()
      .filter((host) => host.kind === "proxy" && host.name !== ownName)
      .filter((host) => {
        const member = table.get(host.name);
        return !member || member.liveness === "gone";
      });
  }
}
