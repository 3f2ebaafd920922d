/**
 * Answers the questions of other proxies with what the store answers this one.
 *
 * @module
 */
import { clock } from "../../kernel/clock.ts";
import { eraOf } from "../leadership/store_era.ts";
import type { CoveredQuestions } from "./covered_questions.ts";
import type { RelayChoice } from "./relay_choice.ts";
import type {
  RelayAnswer,
  RelayedTable,
  RelayQuestion,
} from "./relayed_table.ts";
import type { StoreGate } from "./store_gate.ts";

/** Longest wait for the store before a question is answered without it, in ms; shorter than the lease that the answer may renew. */
const QUESTION_TIMEOUT_MS = 2_500;

const UNCONFIRMED: RelayAnswer = { confirmed: false, clock: 0, tables: [] };

/** Dependencies of a relay's server. */
export interface RelayServerOptions {
  /** The tables; calls for the first one are what the questions wait for. */
  readonly tables: readonly [RelayedTable, ...RelayedTable[]];
  readonly choice: RelayChoice;
  readonly questions: CoveredQuestions;
  readonly gate: StoreGate;
}

/** Serves questions of other proxies; the first one makes this proxy follow the store itself. */
export class RelayServer {
  readonly #options: RelayServerOptions;
  #isPolling = false;
  /** Whether an urgent question has arrived since the last urgent call began. */
  #hasUrgentQuestion = false;

  constructor(options: RelayServerOptions) {
    this.#options = options;
  }

  /** Waits for the next answer of the store and returns the changes that the other proxy does not know. */
  async answer({ versions, age }: RelayQuestion): Promise<RelayAnswer> {
    const { choice, gate, questions, tables } = this.#options;
    const askedAt = clock.now();
    const isUrgent = age + questions.expectedWait(askedAt) > tables[0].maxAge;
    // Others find another relay sooner than this proxy finds the store.
    if (choice.isDetour) return UNCONFIRMED;
    choice.recordQuestion(askedAt);
    gate.open();
    const covered = questions.wait(QUESTION_TIMEOUT_MS);
    if (isUrgent && !tables[0].failing) void this.#pollUrgently();
    if (!await covered) return UNCONFIRMED;
    return {
      confirmed: true,
      clock: latestClock(tables),
      tables: tables
        .filter(({ version }) => version !== undefined)
        .map((table) => table.changesSince(versions[table.name], askedAt)),
    };
  }

  /** Calls the store at once, and again for urgent questions that arrive during the call. */
  async #pollUrgently(): Promise<void> {
    this.#hasUrgentQuestion = true;
    if (this.#isPolling) return;
    this.#isPolling = true;
    while (this.#hasUrgentQuestion) {
      this.#hasUrgentQuestion = false;
      await this.#options.tables[0].poll();
    }
    this.#isPolling = false;
  }
}

/** The latest reading of the store's clock, which may go back in a new era. */
function latestClock(tables: readonly RelayedTable[]): number {
  const eras = tables.map(({ version }) => eraOf(version ?? 0));
  const latest = Math.max(...eras);
  const clocks = tables.filter((_, index) => eras[index] === latest)
    .map(({ clock }) => clock);
  return Math.max(...clocks);
}
