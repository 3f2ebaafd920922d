/**
 * Detects failed proxies before a change of primary would have to wait for them,
 * and removes the rows of those that are gone for good.
 *
 * The proxies form a ring by name and each probes its successor, so the cost per
 * proxy does not grow with their number. If the successor does not answer, the
 * proxies behind it are probed in growing batches, so that neighbours which fail
 * together are found together. A false detection does little harm: a proxy that
 * finds itself marked or removed writes its row again before it uses a primary.
 * Since a proxy that is itself cut off suspects all others, it marks few at a time
 * and does not mark again those that proved to be alive.
 *
 * @module
 */
import { clock } from "../../kernel/clock.ts";
import { type EventLog, Events } from "../../kernel/events.ts";
import type { Coordination } from "./coordination.ts";

/** Probes the proxy at an address; resolves to whether it is alive. */
export type LivenessProbe = (address: string) => Promise<boolean>;

/** Interval between probes, in ms. */
const PROBE_INTERVAL_MS = 1_000;

/** Consecutive failed probes after which a proxy is marked absent. */
const FAILED_PROBE_COUNT = 2;

/** Maximum number of successors that are probed in one round. */
const MAX_PROBES_PER_ROUND = 15;

/** Time for which a proxy that rewrote its row after it was marked is not probed, in ms. */
const DISPROVED_MS = 10_000;

/** Time after which the row of an absent proxy is removed, in ms; many times the lease that it may have held. */
export const REMOVE_AFTER_MS = 30_000;

/**
 * The same where accounts have limits, in ms. The limits are divided among the
 * rows of proxies, and a proxy that the store does not answer uses its part for
 * 120 s: its row must outlive that.
 */
export const ROW_RETENTION_MS = 150_000;

/** Dependencies of a host watch. */
export interface HostWatchOptions {
  /** Name of this proxy. */
  readonly proxy: string;
  readonly coordination: Coordination;
  readonly probe: LivenessProbe;
  /** Whether limits of accounts are divided among the rows of proxies. */
  readonly dividesLimits?: () => boolean;
  readonly log: EventLog;
}

/** Probes the successors of this proxy in the ring. */
export class HostWatch {
  readonly #options: HostWatchOptions;
  /** Consecutive failed probes of each successor that did not answer the last one. */
  #failedProbes: ReadonlyMap<string, number> = new Map();
  /** Incarnations of the proxies that this one marked. */
  readonly #marked = new Map<string, string>();
  /** Monotonic ms until which a proxy is not probed, since it rewrote its row after a mark. */
  readonly #disprovedUntil = new Map<string, number>();
  #timer: NodeJS.Timeout | undefined;
  #isProbing = false;

  constructor(options: HostWatchOptions) {
    this.#options = options;
  }

  /** Starts periodic probes. */
  start(): void {
    this.#timer = setInterval(() => void this.probeNext(), PROBE_INTERVAL_MS);
  }

  /** Stops periodic probes. */
  stop(): void {
    clearInterval(this.#timer);
  }

  /** Probes the successor, and those behind it up to the first that answers; marks proxies absent after repeated failures. */
  async probeNext(): Promise<void> {
    if (this.#isProbing) return;
    this.#isProbing = true;
    try {
      await this.#probeSuccessors();
      await this.#removeLongAbsent();
    } finally {
      this.#isProbing = false;
    }
  }

  async #probeSuccessors(): Promise<void> {
    this.#recordDisproved();
    const successors = this.#ring()
      .filter((name) => !this.#isAbsent(name) && !this.#isDisproved(name))
      .slice(0, MAX_PROBES_PER_ROUND);
    const failed = new Map<string, number>();
    let anyAlive = false;
    let batch = 1;
    for (let from = 0; from < successors.length && !anyAlive;) {
      const names = successors.slice(from, from + batch);
      const alive = await Promise.all(names.map((name) => this.#probe(name)));
      for (const [index, name] of names.entries()) {
        if (alive[index]) continue;
        failed.set(name, (this.#failedProbes.get(name) ?? 0) + 1);
      }
      anyAlive = alive.includes(true);
      from += batch;
      batch *= 2;
    }
    this.#failedProbes = failed;
    const absent = [...failed]
      .filter(([, count]) => count >= FAILED_PROBE_COUNT)
      .map(([name]) => name);
    // If nobody answers, it may be this proxy that is cut off.
    const marked = anyAlive ? absent : absent.slice(0, 1);
    if (marked.length > 0) await this.#markAbsent(marked);
  }

  /** Finds the proxies that this one marked and that have rewritten their row since. */
  #recordDisproved(): void {
    const { coordination } = this.#options;
    for (const [name, incarnation] of this.#marked) {
      const host = coordination.hosts().get(name);
      if (host?.value.absentSince !== undefined) continue;
      this.#marked.delete(name);
      if (host?.value.incarnation !== incarnation) continue;
      this.#disprovedUntil.set(name, clock.now() + DISPROVED_MS);
    }
  }

  #isDisproved(name: string): boolean {
    const until = this.#disprovedUntil.get(name);
    if (until === undefined) return false;
    if (clock.now() < until) return true;
    this.#disprovedUntil.delete(name);
    return false;
  }

  async #probe(name: string): Promise<boolean> {
    const { coordination, probe } = this.#options;
    const host = coordination.hosts().get(name);
    // A row that has been removed meanwhile needs no mark.
    return host === undefined || await probe(host.value.address);
  }

  async #markAbsent(names: readonly string[]): Promise<void> {
    const { coordination, log } = this.#options;
    const incarnations = names.map((name) =>
      coordination.hosts().get(name)?.value.incarnation
    );
    const written = await coordination.markAbsent(names);
    for (const [index, name] of names.entries()) {
      const incarnation = incarnations[index];
      if (written.isOk() && incarnation) this.#marked.set(name, incarnation);
      log.write(Events.PEER_GONE, {
        peer: name,
        address: coordination.hosts().get(name)?.value.address,
        outcome: written.isOk() ? "marked" : written.error.kind,
      });
    }
  }

  /** Removes the rows of long absent proxies between this one and the next live one. */
  async #removeLongAbsent(): Promise<void> {
    const { coordination, dividesLimits, log } = this.#options;
    const removeAfter = dividesLimits?.() ? ROW_RETENTION_MS : REMOVE_AFTER_MS;
    const ring = this.#ring();
    const nextAlive = ring.findIndex((name) => !this.#isAbsent(name));
    const absent = (nextAlive < 0 ? ring : ring.slice(0, nextAlive))
      .filter((name) => (coordination.absentFor(name) ?? 0) > removeAfter);
    if (absent.length === 0) return;
    const written = await coordination.removeAbsent(absent);
    log.write(Events.PEER_REMOVED, {
      peers: absent,
      outcome: written.isOk() ? "removed" : written.error.kind,
    });
  }

  #isAbsent(name: string): boolean {
    return this.#options.coordination.absentFor(name) !== undefined;
  }

  /** The other proxies in ring order, starting with the successor of this one. */
  #ring(): readonly string[] {
    const { proxy, coordination } = this.#options;
    const names = [...coordination.hosts().keys()]
      .filter((name) => name !== proxy)
      .sort();
    const start = names.findIndex((name) => name > proxy);
    if (start < 0) return names;
    return [...names.slice(start), ...names.slice(0, start)];
  }
}
