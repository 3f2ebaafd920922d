/**
 * The acknowledgements of one change of primary by the other proxies.
 *
 * @module
 */
import { clock } from "../../kernel/clock.ts";
import { type EventLog, Events } from "../../kernel/events.ts";
import { sleep } from "../../utils/sleep.ts";
import { POLL_INTERVAL_MS } from "./candidate_search.ts";
import type { Coordination, RowVersion } from "./coordination.ts";
import { LEASE_EXPIRY_WAIT_MS, RECENT_ANSWER_MS } from "./group_leadership.ts";

/** The change, and the proxies that acknowledge it. */
export interface ChangeAcknowledgementsOptions {
  /** Name of this proxy. */
  readonly proxy: string;
  readonly group: string;
  /** Version of the group's row that announced the change. */
  readonly version: RowVersion;
  readonly coordination: Coordination;
  readonly log: EventLog;
}

/** Who has stopped using the old primary. */
export class ChangeAcknowledgements {
  readonly #options: ChangeAcknowledgementsOptions;

  constructor(options: ChangeAcknowledgementsOptions) {
    this.#options = options;
  }

  /**
   * Waits until every proxy has acknowledged the change or can no longer hold a
   * lease; returns the proxies that did not acknowledge or are marked absent.
   */
  async wait(): Promise<readonly string[]> {
    const { coordination, group, log, version } = this.#options;
    const startedAt = clock.now();
    const until = startedAt + LEASE_EXPIRY_WAIT_MS;
    const pending = () =>
      this.#unacknowledged().filter((name) =>
        (coordination.absentFor(name) ?? 0) <= LEASE_EXPIRY_WAIT_MS
      );
    // A proxy that registered before the row was written may not be known here yet.
    const isComplete = () =>
      coordination.version >= version && pending().length === 0;
    while (!isComplete() && clock.now() < until) {
      await sleep(POLL_INTERVAL_MS);
    }
    // A proxy that has long been absent holds no lease, but may still use status rounds.
    const unheard = this.#unacknowledged();
    log.write(Events.CHANGE_AWAITED, {
      group,
      version,
      proxies: coordination.hosts().size,
      unheard: pending(),
      absent: unheard.filter((name) =>
        coordination.absentFor(name) !== undefined
      ),
      elapsed: Math.round(clock.now() - startedAt),
    });
    return unheard;
  }

  /** Whether another proxy received an answer of the primary shortly before it acknowledged the change. */
  isPrimaryHeard(): boolean {
    const { coordination, group, log, proxy, version } = this.#options;
    const witness = [...coordination.hosts().keys()].find((name) => {
      if (name === proxy) return false;
      const acknowledgement = coordination.acknowledgement(group, name);
      if (acknowledgement?.version !== version) return false;
      return acknowledgement.heardAgo !== null &&
        acknowledgement.heardAgo < RECENT_ANSWER_MS;
    });
    if (!witness) return false;
    log.write(Events.FAILOVER_WITHHELD, { group, witness });
    return true;
  }

  /** The proxies that have not acknowledged the change. */
  #unacknowledged(): readonly string[] {
    const { coordination, group, version } = this.#options;
    return [...coordination.hosts().keys()].filter((name) =>
      coordination.acknowledgement(group, name)?.version !== version
    );
  }
}
