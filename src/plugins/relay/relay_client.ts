/**
 * Follows the store through a relay while one answers, else by this proxy's own
 * calls. While these fail, the relays of other zones are asked, so that a proxy
 * which the store turns away keeps its lease and the configuration.
 *
 * @module
 */
import { clock } from "../../kernel/clock.ts";
import { type EventLog, Events } from "../../kernel/events.ts";
import { sleep } from "../../utils/sleep.ts";
import type { Peers } from "../peers/peers.ts";
import type {
  RelayCandidate,
  RelayChoice,
  RelayFailure,
} from "./relay_choice.ts";
import { RELAY_CHANGES, type RelayedTable } from "./relayed_table.ts";
import type { StoreGate } from "./store_gate.ts";

/** Interval at which a proxy without a relay looks for one, in ms. */
const CHOICE_INTERVAL_MS = 250;

/**
 * Timeout of a question, in ms. A question that arrives during a call of the relay
 * waits for the end of that call and of the next one.
 */
const QUESTION_TIMEOUT_MS = 2_300;

/** Interval at which the ages of the tables are checked, in ms. */
const AGE_CHECK_INTERVAL_MS = 100;

/** Dependencies of a relay's client. */
export interface RelayClientOptions {
  /** Name of this proxy. */
  readonly proxy: string;
  /** The tables; the first one's answers confirm the others'. */
  readonly tables: readonly [RelayedTable, ...RelayedTable[]];
  readonly choice: RelayChoice;
  readonly peers: Pick<Peers, "call">;
  readonly gate: StoreGate;
  readonly log: EventLog;
}

/** Asks relays for changes until stopped. */
export class RelayClient {
  readonly #options: RelayClientOptions;
  /** Tables for which a call to the store is in progress. */
  readonly #polled = new Set<RelayedTable>();
  #stopped = false;
  #relay: string | undefined;
  #timer: NodeJS.Timeout | undefined;

  constructor(options: RelayClientOptions) {
    this.#options = options;
  }

  /** Asks relays one after another; resolves after `stop`. */
  async run(): Promise<void> {
    this.#timer = setInterval(() => {
      this.#pollStale();
      this.#probeStore();
    }, AGE_CHECK_INTERVAL_MS);
    const { choice, gate, tables: [first] } = this.#options;
    while (!this.#stopped) {
      if (gate.isOpen && first.failing) choice.recordStoreFailure();
      choice.recordStoreAnswer(first.answeredAt);
      const relay = this.#isLoaded ? choice.choose() : undefined;
      if (!relay) {
        this.#followStore();
        await sleep(CHOICE_INTERVAL_MS);
        continue;
      }
      const failure = await this.#ask(relay);
      if (this.#stopped) return;
      if (failure) choice.recordFailure(relay.name, failure);
      else this.#recordSuccess(relay.name);
    }
  }

  /** Stops after the current question. */
  stop(): void {
    this.#stopped = true;
    clearInterval(this.#timer);
  }

  get #isLoaded(): boolean {
    return this.#options.tables.every(({ version }) => version !== undefined);
  }

  async #ask(relay: RelayCandidate): Promise<RelayFailure | undefined> {
    const { proxy, tables, peers, log } = this.#options;
    const versions = Object.fromEntries(
      tables.map(({ name, version }) => [name, version!]),
    );
    const requestedAt = clock.now();
    const age = requestedAt - tables[0].confirmedAt;
    const question = { proxy, versions, age };
    const answer = await peers.call(
      relay.address,
      RELAY_CHANGES,
      question,
      QUESTION_TIMEOUT_MS,
    );
    const failure = answer.isErr()
      ? "silent"
      : answer.value.confirmed
      ? undefined
      : "unconfirmed";
    if (failure) {
      log.write(Events.RELAY_FAILED, {
        relay: relay.name,
        reason: failure,
        detail: answer.isErr() ? answer.error.detail : undefined,
        elapsed: Math.round(clock.now() - requestedAt),
      });
      return failure;
    }
    const { clock: storeClock, tables: parts } = answer._unsafeUnwrap();
    for (const table of tables) {
      const changes = parts.find((part) => part.table === table.name);
      if (changes) table.receive(changes, { requestedAt, clock: storeClock });
    }
    return undefined;
  }

  #recordSuccess(relay: string): void {
    const { choice, gate, log } = this.#options;
    choice.recordSuccess(relay);
    // Another proxy may have asked this one meanwhile.
    const mustFollow = choice.isOnDuty() && !choice.isDetour;
    const closed = !mustFollow && gate.close();
    if (!closed && relay === this.#relay) return;
    this.#relay = relay;
    log.write(Events.RELAY_CHANGED, { relay });
  }

  /** Follows the store by this proxy's own calls. */
  #followStore(): void {
    const { gate, log } = this.#options;
    if (!gate.open()) return;
    this.#relay = undefined;
    log.write(Events.RELAY_CHANGED, { relay: "none" });
  }

  /** Calls the store for the tables that the relay has not kept up to date. */
  #pollStale(): void {
    const { gate, tables } = this.#options;
    if (gate.isOpen) return;
    const now = clock.now();
    for (const table of tables) {
      if (now - table.confirmedAt > table.maxAge) void this.#poll(table);
    }
  }

  /** Calls the store now and then while relays of other zones are asked, to see whether it answers again. */
  #probeStore(): void {
    const { choice, tables: [first] } = this.#options;
    if (!choice.isProbeDue()) return;
    void this.#poll(first).then((answered) => {
      if (answered === false) choice.recordStoreFailure();
    });
  }

  /** Calls the store for a table; undefined if such a call is in progress. */
  async #poll(table: RelayedTable): Promise<boolean | undefined> {
    if (this.#polled.has(table)) return undefined;
    this.#polled.add(table);
    const answered = await table.poll();
    this.#polled.delete(table);
    return answered;
  }
}
