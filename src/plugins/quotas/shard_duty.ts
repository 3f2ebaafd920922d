/**
 * What a host does while it coordinates a shard, apart from its answers: it asks
 * idle hosts for their parts, and sends its hosts to a coordinator that comes
 * before it in the shard's order.
 *
 * @module
 */
import type { LimitedAccount } from "./limited_accounts.ts";
import {
  type Answer,
  type Ask,
  formatWake,
  MessageKinds,
  parseAnswer,
} from "./messages.ts";
import type { Network } from "./network.ts";
import type { Candidate, Roster } from "./roster.ts";
import { ShardCoordinator } from "./shard_coordinator.ts";
import { DUTY_INTERVAL_MS, FIRST_WAKE_MS, NEXT_WAKE_MS } from "./timing.ts";

/** Time in ms between two requests to an idle host for its part: an answer takes less. */
const WAKE_INTERVAL_MS = 500;

/** Time in ms in which shortages lead to one look for hosts to ask; a look costs time in proportion to the hosts. */
const REQUEST_INTERVAL_MS = 50;

/** Time in ms between two requests to a host after so many without effect: the host is away. */
const FUTILE_WAKES = 3;
const FUTILE_WAKE_INTERVAL_MS = 5_000;

/** Time before the end of a request for parts at which it is repeated, in ms; two intervals of the checks. */
const REPEAT_BEFORE_END_MS = 2 * DUTY_INTERVAL_MS;

/** Hosts before this one in the shard's order that are asked whether they answer, in each second interval. */
const MAX_GREETINGS = 8;

/** Time in ms after its last request after which a coordinator stops its checks. */
const IDLE_MS = 10_000;

/** What the duty for a shard needs. */
export interface DutyOptions {
  readonly shard: string;
  readonly life: string;
  readonly network: Network;
  readonly roster: Roster;
}

interface WakeRecord {
  readonly at: number;
  readonly futile: number;
}

/** Coordinates one shard at this host. */
export class ShardDuty {
  readonly #options: DutyOptions;
  readonly #coordinator: ShardCoordinator;
  readonly #wakes = new Map<string, WakeRecord>();
  #wokenUntil = -Infinity;
  #requestedAt = -Infinity;
  #checks = 0;
  #isLeaving = false;
  #cancelTimer: (() => void) | undefined;

  constructor(options: DutyOptions, accounts: readonly LimitedAccount[]) {
    this.#options = options;
    const { life, network, roster } = options;
    this.#coordinator = new ShardCoordinator(life, accounts, {
      reserved: (account) => roster.reserved(account),
      liveShare: () => roster.liveShare(network.now()),
      requestParts: () => this.#requestParts(network.now()),
    }, network.now());
  }

  /** Host that coordinates the shard from now on, as far as hosts reach it. */
  get successor(): string | undefined {
    return this.#coordinator.successor;
  }

  /** Replaces the accounts and their limits. */
  setAccounts(accounts: readonly LimitedAccount[]): void {
    this.#coordinator.setAccounts(accounts, this.#options.network.now());
  }

  /** Answers a request of a host; undefined if it has sent a later one. */
  handle(host: string, ask: Ask): Answer | undefined {
    const now = this.#options.network.now();
    const answer = this.#coordinator.handle(host, ask, now);
    this.#cancelTimer ??= this.#scheduleCheck();
    return answer;
  }

  /** Whether no host has asked for a while. */
  isIdle(now: number): boolean {
    return now > this.#coordinator.askedAt + IDLE_MS;
  }

  /** Sends the hosts to another coordinator, since this host stops. */
  leave(): void {
    this.#isLeaving = true;
    const { shard, network, roster } = this.#options;
    this.#coordinator.successor = roster.order(shard)
      .find(({ name }) => name !== network.proxy)?.name;
  }

  /** Ends the checks. */
  stop(): void {
    this.#cancelTimer?.();
  }

  #scheduleCheck(): () => void {
    return this.#options.network.schedule(() => {
      this.#cancelTimer = undefined;
      this.#check();
    }, DUTY_INTERVAL_MS);
  }

  #check(): void {
    const now = this.#options.network.now();
    if (this.isIdle(now)) return;
    this.#coordinator.prune(now);
    const isEnding = this.#wokenUntil > now &&
      this.#wokenUntil < now + REPEAT_BEFORE_END_MS;
    if (isEnding && this.#coordinator.needsIdleHosts(now)) {
      this.#wake(this.#coordinator.working(now), NEXT_WAKE_MS, now);
    }
    this.#checks += 1;
    if (this.#checks % 2 === 0 && !this.#isLeaving) this.#findSuccessor();
    this.#cancelTimer = this.#scheduleCheck();
  }

  /** Asks the hosts whose parts are not here for them, since an account is short of tokens; returns whether any is likely to come. */
  #requestParts(now: number): boolean {
    if (now < this.#requestedAt + REQUEST_INTERVAL_MS) return false;
    this.#requestedAt = now;
    return this.#wake(this.#coordinator.members(now), FIRST_WAKE_MS, now);
  }

  /** Asks hosts for their parts; returns whether any of them has come when it was asked before. */
  #wake(
    except: ReadonlySet<string>,
    duration: number,
    now: number,
  ): boolean {
    const { shard, life, network, roster } = this.#options;
    const members = this.#coordinator.members(now);
    let isHopeful = false;
    for (const { name, endpoint } of roster.candidates) {
      if (except.has(name)) continue;
      if (!this.#mayWake(name, members.has(name), now)) continue;
      isHopeful ||= this.#wakes.get(name)!.futile < FUTILE_WAKES;
      const wake = { shard, life, stamp: now, duration };
      network.send(endpoint, MessageKinds.WAKE, formatWake(wake));
    }
    if (!isHopeful) return false;
    this.#wokenUntil = Math.max(this.#wokenUntil, now + duration);
    return true;
  }

  #mayWake(name: string, isMember: boolean, now: number): boolean {
    const { at = -Infinity, futile = 0 } = this.#wakes.get(name) ?? {};
    const interval = futile < FUTILE_WAKES
      ? WAKE_INTERVAL_MS
      : FUTILE_WAKE_INTERVAL_MS;
    if (now < at + interval) return false;
    this.#wakes.set(name, { at: now, futile: isMember ? 0 : futile + 1 });
    return true;
  }

  /** Finds the first host before this one in the shard's order that answers. */
  #findSuccessor(): void {
    const { shard, network, roster } = this.#options;
    const order = roster.order(shard);
    const own = order.findIndex(({ name }) => name === network.proxy);
    const earlier = order.slice(0, Math.min(Math.max(0, own), MAX_GREETINGS));
    const answered = new Set<Candidate>();
    let left = earlier.length;
    if (left === 0) this.#coordinator.successor = undefined;
    for (const candidate of earlier) {
      network.call(candidate.endpoint, MessageKinds.HELLO, [shard], (end) => {
        if (parseAnswer(end.body)) answered.add(candidate);
        left -= 1;
        if (left > 0 || this.#isLeaving) return;
        const first = earlier.find((item) => answered.has(item));
        this.#coordinator.successor = first?.name;
      });
    }
  }
}
