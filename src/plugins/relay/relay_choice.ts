/**
 * Chooses the proxy that passes the store's changes on to this one. In each
 * availability zone a few proxies, chosen by rendezvous hashing over the live
 * ones, follow the store; the others ask one of these, and follow the store
 * themselves while none of them answers. The number of proxies that call the
 * store so depends on the number of zones, not of proxies. A proxy that the store
 * does not answer asks the relays of other zones.
 *
 * @module
 */
import { createHash } from "node:crypto";
import { clock } from "../../kernel/clock.ts";

/** Smallest number of proxies in a zone for which a relay is worthwhile. */
const MIN_ZONE_PROXIES = 3;

/** Number of proxies that one relay serves; bounds the share of its processor that this takes. */
const PROXIES_PER_RELAY = 64;

/** How long a proxy that was asked goes on following the store itself, in ms; many times the interval of the questions. */
const DUTY_MS = 5_000;

/** Pause before a relay that failed once is asked again, in ms; doubled after each further failure up to the maximum. */
const FAILURE_PAUSE_MS: Readonly<Record<RelayFailure, number>> = {
  silent: 1_000,
  unconfirmed: 500,
};
const MAX_FAILURE_PAUSE_MS = 8_000;

/** Number of other zones whose relays a proxy asks while the store does not answer it. */
const DETOUR_ZONE_COUNT = 2;

/** Pause between two attempts to reach the store while other zones' relays answer, in ms; doubled after each failure up to the maximum. */
const STORE_PROBE_PAUSE_MS = 2_000;
const MAX_STORE_PROBE_PAUSE_MS = 8_000;

/** Why a relay did not help. */
export type RelayFailure =
  /** It did not answer in time. */
  | "silent"
  /** It answered that the store does not answer it. */
  | "unconfirmed";

/** A proxy that may relay. */
export interface RelayCandidate {
  readonly name: string;
  /** Address of its peer procedures, `host:port`. */
  readonly address: string;
  readonly zone: string | undefined;
}

/** Who chooses, and among whom. */
export interface RelayChoiceOptions {
  readonly proxy: string;
  readonly zone: string;
  /** All live proxies, this one included once it is registered; the same list until it changes. */
  readonly proxies: () => readonly RelayCandidate[];
}

/** Candidates among the proxies that they were chosen from. */
interface Chosen {
  readonly from: readonly RelayCandidate[];
  readonly local: readonly RelayCandidate[];
  readonly remote: readonly RelayCandidate[];
}

/** Time in which the store does not answer this proxy, so that the relays of other zones are asked. */
interface Detour {
  /** Monotonic ms of its start. */
  readonly since: number;
  /** Monotonic ms at which the store is called again. */
  readonly probeAt: number;
  readonly pause: number;
}

interface Failure {
  readonly reason: RelayFailure;
  /** Number of consecutive failures. */
  readonly count: number;
  /** Monotonic ms until which the relay is not asked. */
  readonly until: number;
}

/** The choice of one proxy. */
export class RelayChoice {
  readonly #options: RelayChoiceOptions;
  readonly #failures = new Map<string, Failure>();
  #askedAt = -Infinity;
  #detour: Detour | undefined;
  #chosen: Chosen | undefined;

  constructor(options: RelayChoiceOptions) {
    this.#options = options;
  }

  /** The relay to ask now; undefined if this proxy has to follow the store itself. */
  choose(now = clock.now()): RelayCandidate | undefined {
    if (this.isOnDuty(now) && !this.isDetour) return undefined;
    const { local, remote } = this.#candidates();
    const candidates = this.isDetour ? [...local, ...remote] : local;
    return candidates.find(({ name }) => {
      const failure = this.#failures.get(name);
      return failure === undefined || failure.until <= now;
    });
  }

  /** Whether others rely on this proxy, or it has no relay that it could ask. */
  get isRelay(): boolean {
    return this.isOnDuty() || this.#candidates().local.length === 0;
  }

  /** Whether another proxy has asked this one lately. */
  isOnDuty(now = clock.now()): boolean {
    return now - this.#askedAt < DUTY_MS;
  }

  /** Whether the store does not answer this proxy, so that relays of other zones are asked. */
  get isDetour(): boolean {
    return this.#detour !== undefined;
  }

  /** Whether the store is to be called to see if it answers this proxy again. */
  isProbeDue(now = clock.now()): boolean {
    return this.#detour !== undefined && now >= this.#detour.probeAt;
  }

  /** Records that another proxy asked this one. */
  recordQuestion(now = clock.now()): void {
    this.#askedAt = now;
  }

  /** Records that this proxy's own call to the store failed. */
  recordStoreFailure(now = clock.now()): void {
    if (this.#detour && now < this.#detour.probeAt) return;
    const pause = this.#detour
      ? Math.min(MAX_STORE_PROBE_PAUSE_MS, 2 * this.#detour.pause)
      : STORE_PROBE_PAUSE_MS;
    // Jitter keeps proxies from returning to the store all at once.
    const probeAt = now + pause * (0.75 + Math.random() / 2);
    this.#detour = { since: this.#detour?.since ?? now, probeAt, pause };
  }

  /** Records when the store last answered a call of this proxy, in monotonic ms. */
  recordStoreAnswer(at: number): void {
    if (!this.#detour || at <= this.#detour.since) return;
    this.#detour = undefined;
    // The store probably answers the relays again, too.
    for (const [name, { reason }] of this.#failures) {
      if (reason === "unconfirmed") this.#failures.delete(name);
    }
  }

  /** Records that a relay passed on an answer of the store. */
  recordSuccess(name: string): void {
    this.#failures.delete(name);
  }

  /** Records that a relay failed, so that others are asked first. */
  recordFailure(
    name: string,
    reason: RelayFailure,
    now = clock.now(),
  ): void {
    const before = this.#failures.get(name)?.count ?? 0;
    const pause = Math.min(
      MAX_FAILURE_PAUSE_MS,
      FAILURE_PAUSE_MS[reason] * 2 ** before,
    );
    // Jitter keeps a zone's proxies from returning to a relay all at once.
    const until = now + pause * (0.75 + Math.random() / 2);
    this.#failures.set(name, { reason, count: before + 1, until });
  }

  #candidates(): Chosen {
    const from = this.#options.proxies();
    if (this.#chosen?.from === from) return this.#chosen;
    this.#chosen = {
      from,
      local: this.#rankLocal(from),
      remote: this.#rankRemote(from),
    };
    return this.#chosen;
  }

  /** The first relays of some other zones. */
  #rankRemote(proxies: readonly RelayCandidate[]): readonly RelayCandidate[] {
    const { proxy, zone } = this.#options;
    const zones = new Map<string, RelayCandidate[]>();
    for (const item of proxies) {
      if (item.zone === undefined || item.zone === zone) continue;
      const members = zones.get(item.zone) ?? [];
      members.push(item);
      zones.set(item.zone, members);
    }
    const relays = [...zones].map(([name, members]) =>
      sortByHash(members, name)[0]!
    );
    return sortByHash(relays, proxy).slice(0, DETOUR_ZONE_COUNT);
  }

  /**
   * The zone's relays in the order in which this proxy asks them, and one spare
   * behind them; none if this proxy is a relay itself.
   */
  #rankLocal(proxies: readonly RelayCandidate[]): readonly RelayCandidate[] {
    const { proxy, zone } = this.#options;
    const local = proxies.filter((item) => item.zone === zone);
    if (local.length < MIN_ZONE_PROXIES) return [];
    const ranked = sortByHash(local, zone);
    const count = Math.ceil(local.length / PROXIES_PER_RELAY);
    const rank = ranked.findIndex(({ name }) => name === proxy);
    if (rank >= 0 && rank < count) return [];
    const relays = sortByHash(ranked.slice(0, count), proxy);
    const spare = ranked[count];
    return spare && rank !== count ? [...relays, spare] : relays;
  }
}

/** Sorts proxies by the hash of their name and a key. */
function sortByHash(
  proxies: readonly RelayCandidate[],
  key: string,
): readonly RelayCandidate[] {
  return proxies
    .map((item) => ({ item, hash: hashOf(item.name, key) }))
    .sort((a, b) => a.hash < b.hash ? -1 : 1)
    .map(({ item }) => item);
}

const hashCache = new Map<string, string>();
const HASH_CACHE_LIMIT = 50_000;

function hashOf(name: string, key: string): string {
  const text = `${name}\0${key}`;
  const cached = hashCache.get(text);
  if (cached) return cached;
  if (hashCache.size >= HASH_CACHE_LIMIT) hashCache.clear();
  const hash = createHash("sha1").update(text).digest("hex");
  hashCache.set(text, hash);
  return hash;
}
