/**
 * Contacts proxies of the host list that are unknown or gone, to join the other
 * proxies at startup and after a network partition has healed.
 *
 * @module
 */
import { setTimeout as sleep } from "node:timers/promises";
import { clock } from "../../kernel/clock.ts";
import type { Host, HostList } from "../host_list/host_list.ts";
import type { Gossip } from "./gossip.ts";
import type { MemberTable } from "./member_table.ts";
import { shuffle } from "./shuffle.ts";

/** Mean interval between attempts. */
const JOIN_INTERVAL_MS = 500;
/** Number of hosts that are contacted at a time. */
const CONTACTS_PER_ATTEMPT = 3;
/** Pause before a host that did not answer is contacted again, while other live proxies are known. */
const RETRY_PAUSE_MS = 5_000;
const CONTACT_TIMEOUT_MS = 1_000;

/** Options of the joiner. */
export interface HostJoinerOptions {
  readonly ownName: string;
  readonly hostList: HostList;
  readonly table: Pick<MemberTable, "get" | "others">;
  readonly gossip: Pick<Gossip, "exchange" | "reconcile">;
}

/** Background task that contacts missing hosts, a few at a time. */
export class HostJoiner {
  readonly #options: HostJoinerOptions;
  readonly #abortController = new AbortController();
  /** Number of the attempt in which a host was last contacted. */
  readonly #attemptOf = new Map<string, number>();
  /** Monotonic ms at which a host last did not answer. */
  readonly #failedAt = new Map<string, number>();
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
    for (let attempt = 1; !signal.aborted; attempt++) {
      const contacts = this.#nextHosts()
        .map((host) => this.#contact(host, attempt));
      await Promise.all(contacts);
      const jitteredMs = JOIN_INTERVAL_MS * (0.75 + Math.random() / 2);
      await sleep(jitteredMs, undefined, { signal }).catch(() => undefined);
    }
  }

  /** Some of the missing hosts, those first whose last contact is the longest ago. */
  #nextHosts(): readonly Host[] {
    const lastAttempt = ({ name }: Host) => this.#attemptOf.get(name) ?? 0;
    return shuffle(this.#missingHosts())
      .sort((left, right) => lastAttempt(left) - lastAttempt(right))
      .slice(0, CONTACTS_PER_ATTEMPT);
  }

  async #contact({ name, endpoint }: Host, attempt: number): Promise<void> {
    const { gossip } = this.#options;
    this.#attemptOf.set(name, attempt);
    const answered = await gossip.exchange(name, endpoint, CONTACT_TIMEOUT_MS);
    if (!answered) {
      this.#failedAt.set(name, clock.now());
      return;
    }
    this.#failedAt.delete(name);
    await gossip.reconcile(name, endpoint);
  }

  #isAlone(): boolean {
    return this.#options.table.others()
      .every((member) => member.liveness === "gone");
  }

  /** Listed proxies that are unknown or gone; without those that failed lately unless no other proxy is known. */
  #missingHosts(): readonly Host[] {
    const { ownName, hostList, table } = this.#options;
    const retriesAll = this.#isAlone();
    const retryBefore = clock.now() - RETRY_PAUSE_MS;
    return hostList.hosts()
      .filter((host) => host.kind === "proxy" && host.name !== ownName)
      .filter((host) => {
        const member = table.get(host.name);
        if (member && member.liveness !== "gone") return false;
        const failedAt = this.#failedAt.get(host.name) ?? -Infinity;
        return retriesAll || failedAt < retryBefore;
      });
  }
}
