/**
 * Gossip membership with failure detection. A proxy probes a bounded number of
 * partners and exchanges updates with them. A partner that does not answer is
 * probed through other members before it is suspected, and a suspected member
 * that doesn't refute the suspicion in time counts as gone.
 *
 * Each proxy starts two probes per second in total, regardless of the number of
 * proxies. Urgent updates go to a few partners immediately, and each of these
 * forwards them.
 *
 * @module
 */
import { clock } from "../../kernel/clock.ts";
import { type EventLog, Events } from "../../kernel/events.ts";
import type { Service } from "../../kernel/kernel.ts";
import { PauseObserver } from "../../kernel/pause_observer.ts";
import type { HostList } from "../host_list/host_list.ts";
import type { Peers } from "../peers/peers.ts";
import { type AppliedUpdate, Gossip } from "./gossip.ts";
import { HostJoiner } from "./host_joiner.ts";
import type {
  Demand,
  Member,
  Membership,
  ProxyState,
  RevisionPublisher,
} from "./membership.ts";
import { MemberTable } from "./member_table.ts";
import { PartnerLinks } from "./partner_links.ts";
import type { LinkCallbacks } from "./peer_link.ts";
import { Prober } from "./prober.ts";
import { roundDemands, sameDemands } from "./published_demands.ts";
import { Suspicions } from "./suspicions.ts";

const PROBE_INTERVAL_MS = 500;
const SUSPECT_PROBE_INTERVAL_MS = 200;
const URGENT_FANOUT = 3;
const MIN_URGENT_INTERVAL_MS = 300;
const SWEEP_INTERVAL_MS = 100;
/** Delay of a sweep from which on this process counts as slow itself. */
const SLOW_SWEEP_DELAY_MS = 50;
const MIN_PAUSE_MS = 300;
const GONE_RETENTION_MS = 600_000;
const MIN_DEMANDS_INTERVAL_MS = 2_000;
const DEMANDS_INTERVAL_PER_MEMBER_MS = 700;

/** Options of the gossip membership. */
export interface MembershipOptions {
  readonly name: string;
  readonly zone: string;
  /** Environment that this proxy serves; proxies of another one are no members. */
  readonly environment: string;
  readonly peers: Peers;
  readonly hostList: HostList;
  readonly log: EventLog;
}

/** Tracks the proxies of the environment by gossip. */
export class GossipMembership
  implements Membership, RevisionPublisher, Service {
  readonly #options: MembershipOptions;
  readonly #table: MemberTable;
  readonly #gossip: Gossip;
  readonly #suspicions = new Suspicions();
  readonly #pauseObserver: PauseObserver;
  readonly #prober: Prober;
  readonly #links: PartnerLinks;
  readonly #joiner: HostJoiner;
  readonly #goneAt = new Map<string, number>();
  /** Number of messages received from each member. */
  readonly #messageCounts = new Map<string, number>();
  readonly #listeners = new Set<() => void>();
  #nextDemands: readonly Demand[] = [];
  #demandsPublishedAt = -Infinity;
  #urgentSentAt = -Infinity;
  #urgentPending = false;
  #partnersChanged = true;
  #sweepTimer: NodeJS.Timeout | undefined;
  #sweptAt = clock.now();
  #delayCount = 0;

  constructor(options: MembershipOptions) {
    this.#options = options;
    this.#table = new MemberTable({
      name: options.name,
      zone: options.zone,
      endpoint: options.peers.endpoint,
      incarnation: Date.now(),
      version: 0,
      revision: 0,
      leaving: false,
      demands: [],
    });
    const { peers, environment } = options;
    this.#gossip = new Gossip(peers, environment, this.#table, {
      onMessage: (sender) => this.#handleMessageFrom(sender),
      onUpdates: (updates) => this.#handleUpdates(updates),
    });
    this.#prober = new Prober({
      peers: options.peers,
      table: this.#table,
      gossip: this.#gossip,
      helpers: (name) =>
        this.#links.names()
          .filter((other) => other !== name && !this.#suspicions.has(other)),
    });
    this.#links = new PartnerLinks(options.name, this.#createLinkCallbacks());
    this.#joiner = new HostJoiner({
      ownName: options.name,
      hostList: options.hostList,
      table: this.#table,
      gossip: this.#gossip,
    });
    this.#pauseObserver = new PauseObserver(MIN_PAUSE_MS, (lengthMs) => {
      this.#suspicions.restartTimeouts();
      options.log.write(Events.PAUSE_OBSERVED, { ms: Math.round(lengthMs) });
    });
  }

  start(): Promise<void> {
    this.#gossip.serve();
    this.#prober.serve();
    this.#pauseObserver.check();
    this.#sweepTimer = setInterval(() => this.#sweep(), SWEEP_INTERVAL_MS);
    this.#joiner.start();
    return Promise.resolve();
  }

  drain(): Promise<void> {
    return this.publishLeaving();
  }

  async stop(): Promise<void> {
    clearInterval(this.#sweepTimer);
    await Promise.all([this.#links.stop(), this.#joiner.stop()]);
  }

  members(): readonly Member[] {
    return this.#table.members();
  }

  alive(): readonly ProxyState[] {
    const others = this.#table.others()
      .filter((member) => member.liveness !== "gone" && !member.state.leaving)
      .map((member) => member.state);
    return [this.#table.ownState, ...others];
  }

  publishDemands(demands: readonly Demand[]): void {
    this.#nextDemands = roundDemands(demands);
  }

  publishRevision(revision: number): void {
    if (revision <= this.#table.ownState.revision) return;
    this.#table.changeOwnState({ revision });
    this.#gossip.announceOwnState();
    this.#sendUrgentUpdates();
    this.#notify();
  }

  async publishLeaving(): Promise<void> {
    if (this.#table.ownState.leaving) return;
    this.#table.changeOwnState({ leaving: true });
    this.#gossip.announceOwnState();
    this.#notify();
    const names = this.#links.names();
    await Promise.all(names.map((name) => this.#prober.exchange(name)));
  }

  subscribe(listener: () => void): () => void {
    this.#listeners.add(listener);
    return () => this.#listeners.delete(listener);
  }

  #createLinkCallbacks(): LinkCallbacks {
    return {
      exchange: (name) => this.#prober.exchange(name),
      probeIndirectly: (name) => this.#prober.probeIndirectly(name),
      countMessages: (name) => this.#messageCounts.get(name) ?? 0,
      countDelays: () => this.#pauseObserver.check() + this.#delayCount,
      suspect: (name) => this.#suspect(name),
      nextProbeDelay: (name) =>
        this.#suspicions.has(name)
          ? SUSPECT_PROBE_INTERVAL_MS * this.#suspicions.size *
            this.#prober.timeoutMultiplier
          : PROBE_INTERVAL_MS * this.#links.size,
    };
  }

  #suspect(name: string): void {
    const member = this.#table.get(name);
    if (!member || member.liveness === "gone") return;
    this.#suspicions.record(name);
    const leaving = member.state.leaving;
    const liveness = leaving ? "gone" : "suspected";
    this.#gossip.announce({ ...member, liveness });
  }

  #handleMessageFrom(sender: string): void {
    this.#messageCounts.set(sender, (this.#messageCounts.get(sender) ?? 0) + 1);
    this.#suspicions.clear(sender);
    const member = this.#table.get(sender);
    if (member?.liveness === "suspected") this.#suspicions.record(sender);
  }

  #handleUpdates(updates: readonly AppliedUpdate[]): void {
    for (const update of updates) this.#recordUpdate(update);
    const urgent = updates.find(({ change }) => change !== "state");
    if (urgent) this.#sendUrgentUpdates(urgent.sender);
    this.#notify();
  }

  #recordUpdate({ member, change, sender }: AppliedUpdate): void {
    const { name, incarnation, version } = member.state;
    if (change === "refuted") this.#prober.recordSlowness();
    if (change === "state" || change === "refuted") return;
    const fields = {
      peer: name,
      // Each line has the availability zone of this proxy as its zone.
      peerZone: member.state.zone,
      incarnation,
      version,
      toldBy: sender,
    };
    this.#partnersChanged = true;
    if (member.liveness === "suspected") {
      this.#suspicions.record(name);
      this.#links.wake(name);
      this.#options.log.write(Events.PEER_SUSPECTED, fields);
    }
    if (member.liveness === "gone") {
      this.#suspicions.clear(name);
      this.#goneAt.set(name, clock.now());
      this.#options.log.write(Events.PEER_GONE, fields);
    }
    if (change === "joined") {
      this.#goneAt.delete(name);
      this.#options.log.write(Events.PEER_JOINED, fields);
    }
  }

  /** Wakes the links of some partners, at most once per interval; a call within the interval is deferred to its end. */
  #sendUrgentUpdates(sender?: string): void {
    const now = clock.now();
    const intervalMs = MIN_URGENT_INTERVAL_MS * this.#prober.timeoutMultiplier;
    this.#urgentPending = now - this.#urgentSentAt < intervalMs;
    if (this.#urgentPending) return;
    this.#urgentSentAt = now;
    this.#links.wakeRandom(URGENT_FANOUT, sender);
  }

  #notify(): void {
    for (const listener of this.#listeners) listener();
  }

  #sweep(): void {
    this.#pauseObserver.check();
    this.#observeDelay();
    for (const member of this.#table.others()) {
      if (member.liveness !== "suspected") continue;
      const { name } = member.state;
      if (this.#suspicions.hasTimedOut(name, this.#prober.timeoutMultiplier)) {
        this.#gossip.announce({ ...member, liveness: "gone" });
      } else this.#suspicions.record(name);
    }
    if (this.#urgentPending) this.#sendUrgentUpdates();
    this.#suspicions.removeStale();
    this.#gossip.removeExpiredUpdates();
    this.#removeGone();
    this.#publishDemandsWhenDue();
    this.#updatePartners();
  }

  /** A sweep that runs late shows that answers may have waited here, not at their senders. */
  #observeDelay(): void {
    const now = clock.now();
    const delay = now - this.#sweptAt - SWEEP_INTERVAL_MS;
    this.#sweptAt = now;
    if (delay <= SLOW_SWEEP_DELAY_MS) return;
    this.#delayCount += 1;
    this.#prober.recordSlowness();
  }

  #removeGone(): void {
    const cutoff = clock.now() - GONE_RETENTION_MS;
    for (const [name, goneAt] of this.#goneAt) {
      if (goneAt > cutoff) continue;
      this.#table.remove(name);
      this.#goneAt.delete(name);
      this.#messageCounts.delete(name);
    }
  }

  /** Publishes demands at an interval that grows with the number of members, so that the traffic per member stays bounded. */
  #publishDemandsWhenDue(): void {
    const { size } = this.#table;
    const intervalMs = Math.max(
      MIN_DEMANDS_INTERVAL_MS,
      size * DEMANDS_INTERVAL_PER_MEMBER_MS,
    );
    if (clock.now() - this.#demandsPublishedAt < intervalMs) return;
    if (sameDemands(this.#nextDemands, this.#table.ownState.demands)) return;
    this.#demandsPublishedAt = clock.now();
    this.#table.changeOwnState({ demands: this.#nextDemands });
    this.#gossip.announceOwnState();
    this.#notify();
  }

  #updatePartners(): void {
    if (!this.#partnersChanged) return;
    this.#partnersChanged = false;
    const others = this.#table.others()
      .filter((member) => member.liveness !== "gone")
      .map((member) => member.state.name);
    this.#links.updatePartners(others);
  }
}
