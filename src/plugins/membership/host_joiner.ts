/**
 * Seeks out listed proxies that aren't known as alive: at the start, and after
 * a partition has healed.
 *
 * @module
 */
import { setTimeout as sleep } from "node:timers/promises";
import type { Host, HostList } from "../host_list/host_list.ts";
import type { Gossip } from "./gossip.ts";
import type { MemberTable } from "./member_table.ts";
import { shuffle } from "./shuffle.ts";

/** Between attempts while no other proxy is known. */
const JOIN_INTERVAL_MS = 500;
/** Between attempts while others are known. */
const REJOIN_INTERVAL_MS = 5_000;
const MEETING_TIMEOUT_MS = 1_000;

/** Options of the joiner. */
export interface HostJoinerOptions {
  readonly own: string;
  readonly hostList: HostList;
  readonly table: MemberTable;
  readonly gossip: Gossip;
}

/** Task that meets absent hosts, one at a time. */
export class HostJoiner {
  readonly #options: HostJoinerOptions;
  readonly #stopping = new AbortController();
  #task: Promise<void> | undefined;

  constructor(options: HostJoinerOptions) {
    this.#options = options;
  }

  /** Begins the task. */
  start(): void {
    this.#task = this.#run();
  }

  /** Ends the task. */
  async stop(): Promise<void> {
    this.#stopping.abort();
    await this.#task;
  }

  async #run(): Promise<void> {
    const { signal } = this.#stopping;
    while (!signal.aborted) {
      const [host] = shuffle(this.#absentHosts());
      if (host) await this.#meet(host);
      const interval = this.#alone() ? JOIN_INTERVAL_MS : REJOIN_INTERVAL_MS;
      const jittered = interval * (0.75 + Math.random() / 2);
      await sleep(jittered, undefined, { signal }).catch(() => undefined);
    }
  }

  async #meet(host: Host): Promise<void> {
    const { gossip } = this.#options;
    const met = await gossip.exchange(
      host.name,
      host.endpoint,
      MEETING_TIMEOUT_MS,
    );
    if (met) await gossip.compare(host.name, host.endpoint);
  }

  #alone(): boolean {
    return this.#options.table.others()
      .every((member) => member.liveness === "gone");
  }

  #absentHosts(): readonly Host[] {
    const { own, hostList, table } = this.#options;
    return hostList.hosts()
      .filter((host) => host.kind === "proxy" && host.name !== own)
      .filter((host) => {
        const member = table.get(host.name);
        return !member || member.liveness === "gone";
      });
  }
}
