/**
 * Membership by gossip: a bounded number of partners is probed and swaps news,
 * a partner that does not answer is probed through others before it is
 * suspected, and a suspicion that isn't refuted in time ends in a death.
 *
 * Each proxy starts two probes a second in all, whatever the number of proxies;
 * urgent news goes to a few partners at once and each passes it on.
 *
 * @module
 */
import { type EventLog, Events } from "../../kernel/events.ts";
import type { Service } from "../../kernel/kernel.ts";
import { PauseObserver } from "../../kernel/pause_observer.ts";
import type { HostList } from "../host_list/host_list.ts";
import type { Peers } from "../peers/peers.ts";
import { Gossip, type GossipNews } from "./gossip.ts";
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
import type { LinkDuties } from "./peer_link.ts";
import { Prober } from "./prober.ts";
import { sameDemands, smoothDemands } from "./published_demands.ts";
import { Suspicions } from "./suspicions.ts";

const PROBE_INTERVAL_MS = 500;
const SUSPECT_PROBE_INTERVAL_MS = 200;
const URGENT_FANOUT = 3;
const URGENT_INTERVAL_MS = 300;
const SWEEP_INTERVAL_MS = 100;
const SHORTEST_PAUSE_MS = 300;
const GONE_KEPT_MS = 600_000;
const DEMANDS_INTERVAL_MS = 2_000;
const DEMANDS_INTERVAL_PER_MEMBER_MS = 700;

/** Options of the membership. */
export interface MembershipOptions {
  readonly name: string;
  readonly zone: string;
  readonly peers: Peers;
  readonly hostList: HostList;
  readonly log: EventLog;
}

/** Membership by gossip. */
export class GossipMembership
  implements Membership, RevisionPublisher, Service {
  readonly #options: MembershipOptions;
  readonly #table: MemberTable;
  readonly #gossip: Gossip;
  readonly #suspicions = new Suspicions();
  readonly #pauses: PauseObserver;
  readonly #prober: Prober;
  readonly #links: PartnerLinks;
  readonly #joiner: HostJoiner;
  readonly #goneAt = new Map<string, number>();
  readonly #listeners = new Set<() => void>();
  #demands: readonly Demand[] = [];
  #demandsAt = -Infinity;
  #urgentAt = -Infinity;
  #urgentPending = false;
  #partnersChanged = true;
  #sweeper: NodeJS.Timeout | undefined;

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
    this.#gossip = new Gossip(options.peers, this.#table, {
      heard: (name) => this.#heard(name),
      changed: (news) => this.#changed(news),
    });
    this.#prober = new Prober({
      peers: options.peers,
      table: this.#table,
      gossip: this.#gossip,
      helpers: (name) =>
        this.#links.names()
          .filter((other) => other !== name && !this.#suspicions.has(other)),
    });
    this.#links = new PartnerLinks(options.name, this.#duties());
    this.#joiner = new HostJoiner({
      own: options.name,
      hostList: options.hostList,
      table: this.#table,
      gossip: this.#gossip,
    });
    this.#pauses = new PauseObserver(SHORTEST_PAUSE_MS, (length) => {
      this.#suspicions.restart();
      options.log.write(Events.PAUSE_OBSERVED, { ms: Math.round(length) });
    });
  }

  start(): Promise<void> {
    this.#gossip.serve();
    this.#prober.serve();
    this.#pauses.check();
    this.#sweeper = setInterval(() => this.#sweep(), SWEEP_INTERVAL_MS);
    this.#joiner.start();
    return Promise.resolve();
  }

  drain(): Promise<void> {
    return this.publishLeaving();
  }

  async stop(): Promise<void> {
    clearInterval(this.#sweeper);
    await Promise.all([this.#links.stop(), this.#joiner.stop()]);
  }

  members(): readonly Member[] {
    return this.#table.members();
  }

  alive(): readonly ProxyState[] {
    const others = this.#table.others()
      .filter((member) => member.liveness !== "gone" && !member.state.leaving)
      .map((member) => member.state);
    return [this.#table.own, ...others];
  }

  publishDemands(demands: readonly Demand[]): void {
    this.#demands = smoothDemands(demands);
  }

  publishRevision(revision: number): void {
    if (revision <= this.#table.own.revision) return;
    this.#table.changeOwn({ revision });
    this.#gossip.announceOwn();
    this.#spreadUrgent();
    this.#notify();
  }

  async publishLeaving(): Promise<void> {
    if (this.#table.own.leaving) return;
    this.#table.changeOwn({ leaving: true });
    this.#gossip.announceOwn();
    this.#notify();
    const names = this.#links.names();
    await Promise.all(names.map((name) => this.#prober.exchange(name)));
  }

  subscribe(listener: () => void): () => void {
    this.#listeners.add(listener);
    return () => this.#listeners.delete(listener);
  }

  #duties(): LinkDuties {
    return {
      exchange: (name) => this.#prober.exchange(name),
      reachedByOthers: (name) => this.#prober.reachedByOthers(name),
      pauses: () => this.#pauses.check(),
      suspect: (name) => this.#suspect(name),
      interval: (name) =>
        this.#suspicions.has(name)
          ? SUSPECT_PROBE_INTERVAL_MS * this.#suspicions.size *
            this.#prober.patience
          : PROBE_INTERVAL_MS * this.#links.size,
    };
  }

  #suspect(name: string): void {
    const member = this.#table.get(name);
    if (!member || member.liveness === "gone") return;
    this.#suspicions.note(name);
    const leaving = member.state.leaving;
    const liveness = leaving ? "gone" : "suspected";
    this.#gossip.announce({ ...member, liveness });
  }

  #heard(name: string): void {
    this.#suspicions.end(name);
    const member = this.#table.get(name);
    if (member?.liveness === "suspected") this.#suspicions.note(name);
  }

  #changed(news: readonly GossipNews[]): void {
    for (const item of news) this.#record(item);
    const urgent = news.find(({ change }) => change !== "state");
    if (urgent) this.#spreadUrgent(urgent.toldBy);
    this.#notify();
  }

  #record({ member, change, toldBy }: GossipNews): void {
    const { name, zone, incarnation, version } = member.state;
    if (change === "refuted") this.#prober.noteSlowness();
    if (change === "state" || change === "refuted") return;
    const fields = { peer: name, zone, incarnation, version, toldBy };
    this.#partnersChanged = true;
    if (member.liveness === "suspected") {
      this.#suspicions.note(name);
      this.#links.wake(name);
      this.#options.log.write(Events.PEER_SUSPECTED, fields);
    }
    if (member.liveness === "gone") {
      this.#suspicions.end(name);
      this.#goneAt.set(name, performance.now());
      this.#options.log.write(Events.PEER_GONE, fields);
    }
    if (change === "joined") {
      this.#goneAt.delete(name);
      this.#options.log.write(Events.PEER_JOINED, fields);
    }
  }

  /** Tells some partners at once, and at most once in an interval. */
  #spreadUrgent(toldBy?: string): void {
    const now = performance.now();
    const interval = URGENT_INTERVAL_MS * this.#prober.patience;
    this.#urgentPending = now - this.#urgentAt < interval;
    if (this.#urgentPending) return;
    this.#urgentAt = now;
    this.#links.wakeSome(URGENT_FANOUT, toldBy);
  }

  #notify(): void {
    for (const listener of this.#listeners) listener();
  }

  #sweep(): void {
    this.#pauses.check();
    for (const member of this.#table.others()) {
      if (member.liveness !== "suspected") continue;
      const { name } = member.state;
      if (this.#suspicions.expired(name, this.#prober.patience)) {
        this.#gossip.announce({ ...member, liveness: "gone" });
      } else this.#suspicions.note(name);
    }
    if (this.#urgentPending) this.#spreadUrgent();
    this.#suspicions.expire();
    this.#gossip.expire();
    this.#forgetGone();
    this.#publishDemandsWhenDue();
    this.#renewPartners();
  }

  #forgetGone(): void {
    const oldest = performance.now() - GONE_KEPT_MS;
    for (const [name, at] of this.#goneAt) {
      if (at > oldest) continue;
      this.#table.forget(name);
      this.#goneAt.delete(name);
    }
  }

  /** Spreads demands at an interval that grows with the members, so that the traffic of each stays bounded. */
  #publishDemandsWhenDue(): void {
    const { size } = this.#table;
    const interval = Math.max(
      DEMANDS_INTERVAL_MS,
      size * DEMANDS_INTERVAL_PER_MEMBER_MS,
    );
    if (performance.now() - this.#demandsAt < interval) return;
    if (sameDemands(this.#demands, this.#table.own.demands)) return;
    this.#demandsAt = performance.now();
    this.#table.changeOwn({ demands: this.#demands });
    this.#gossip.announceOwn();
    this.#notify();
  }

  #renewPartners(): void {
    if (!this.#partnersChanged) return;
    this.#partnersChanged = false;
    const others = this.#table.others()
      .filter((member) => member.liveness !== "gone")
      .map((member) => member.state.name);
    this.#links.renew(others);
  }
}
