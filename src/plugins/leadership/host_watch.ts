/**
 * Detects failed proxies before a change of primary would have to wait for them.
 * The proxies form a ring by name and each probes its successor, so the cost per
 * proxy does not grow with their number. A false detection is harmless: a proxy
 * that finds itself marked rewrites its row before it uses a primary again.
 *
 * @module
 */
import { type EventLog, Events } from "../../kernel/events.ts";
import type { Coordination } from "./coordination.ts";

/** Probes the proxy at an address; resolves to whether it is alive. */
export type LivenessProbe = (address: string) => Promise<boolean>;

/** Interval between probes, in ms. */
const PROBE_INTERVAL_MS = 1_000;

/** Consecutive failed probes after which a proxy is marked absent. */
const FAILED_PROBE_COUNT = 2;

/** Dependencies of a host watch. */
export interface HostWatchOptions {
  /** Name of this proxy. */
  readonly proxy: string;
  readonly coordination: Coordination;
  readonly probe: LivenessProbe;
  readonly log: EventLog;
}

/** Probes the successor of this proxy in the ring. */
export class HostWatch {
  readonly #options: HostWatchOptions;
  #timer: NodeJS.Timeout | undefined;
  #target: string | undefined;
  #failedProbes = 0;

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

  /** Probes the successor once and marks it absent after repeated failures. */
  async probeNext(): Promise<void> {
    const next = this.#findSuccessor();
    if (next !== this.#target) {
      this.#target = next;
      this.#failedProbes = 0;
    }
    if (!next) return;
    const { coordination, probe, log } = this.#options;
    const address = coordination.hosts().get(next)!.value.address;
    const alive = await probe(address);
    if (next !== this.#target) return;
    this.#failedProbes = alive ? 0 : this.#failedProbes + 1;
    if (this.#failedProbes < FAILED_PROBE_COUNT) return;
    this.#failedProbes = 0;
    const written = await coordination.markAbsent([next]);
    log.write(Events.PEER_GONE, {
      peer: next,
      address,
      outcome: written.isOk() ? "marked" : written.error.kind,
    });
  }

  /** The next proxy by name that is not marked absent. */
  #findSuccessor(): string | undefined {
    const { proxy, coordination } = this.#options;
    const names = [...coordination.hosts()]
      .filter(([name, { value }]) =>
        name !== proxy && value.absentSince === undefined
      )
      .map(([name]) => name)
      .sort();
    return names.find((name) => name > proxy) ?? names[0];
  }
}
