/**
 * Finds proxies that are gone, before a change of primary would have to wait for
 * them. Each proxy asks the next one by name, so that the cost of a proxy does
 * not grow with their number. A wrong finding does no harm: a proxy that sees
 * itself marked writes its row anew before it uses a primary again.
 *
 * @module
 */
import { type EventLog, Events } from "../../kernel/events.ts";
import type { Coordination } from "./coordination.ts";

/** Asks whether a proxy lives, at its address. */
export type LivenessProbe = (address: string) => Promise<boolean>;

/** Time between two questions, in ms. */
const WATCH_INTERVAL_MS = 1_000;

/** Questions in a row without an answer after which a proxy is marked. */
const FAILED_PROBE_COUNT = 2;

/** What the watch is made with. */
export interface HostWatchOptions {
  /** Name of this proxy. */
  readonly proxy: string;
  readonly coordination: Coordination;
  readonly probe: LivenessProbe;
  readonly log: EventLog;
}

/** Watches the next proxy of the ring. */
export class HostWatch {
  readonly #options: HostWatchOptions;
  #timer: NodeJS.Timeout | undefined;
  #watched: string | undefined;
  #failedProbes = 0;

  constructor(options: HostWatchOptions) {
    this.#options = options;
  }

  /** Begins to watch. */
  start(): void {
    this.#timer = setInterval(() => void this.probeNext(), WATCH_INTERVAL_MS);
  }

  /** Ends the watch. */
  stop(): void {
    clearInterval(this.#timer);
  }

  /** Asks the next proxy once. */
  async probeNext(): Promise<void> {
    const next = this.#next();
    if (next !== this.#watched) {
      this.#watched = next;
      this.#failedProbes = 0;
    }
    if (!next) return;
    const { coordination, probe, log } = this.#options;
    const address = coordination.hosts().get(next)!.value.address;
    const alive = await probe(address);
    if (next !== this.#watched) return;
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

  /** The next proxy by name that is not marked yet. */
  #next(): string | undefined {
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
