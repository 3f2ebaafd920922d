/**
 * Polls the head of the environment in the table service and takes each new
 * document from the object store.
 *
 * All proxies of an environment together read the head about eight times a
 * second at most: the interval of each grows with the number of live proxies.
 * Whichever sees a new revision first tells its gossip partners at once, and
 * each of these tells its own, so the time until it is in force everywhere does
 * not grow with the interval.
 *
 * @module
 */
import { setTimeout as sleep } from "node:timers/promises";
import { ok, type ResultAsync, safeTry } from "neverthrow";
import type { Failure } from "../../kernel/result_codes.ts";
import { documentKey } from "../document/head.ts";
import { checkText, Revisions } from "../document/revisions.ts";
import type { ObjectStore } from "../object_store/object_store.ts";
import type { TableService } from "../table_service/table_service.ts";
import type { DocumentInForce } from "./document_in_force.ts";

const SHORTEST_INTERVAL_MS = 500;
const READS_PER_SECOND = 8;
const LONGEST_BACKOFF_MS = 2_000;

/** Options of the poller. */
export interface HeadPollerOptions {
  readonly environment: string;
  readonly table: TableService;
  readonly objects: ObjectStore;
  readonly document: DocumentInForce;
  /** Number of live proxies, this one included. */
  readonly proxies: () => number;
}

/** Interval of one proxy's polls in ms, jitter left out. */
export function pollInterval(proxies: number, failures: number): number {
  const shared = proxies * 1_000 / READS_PER_SECOND;
  const interval = Math.max(SHORTEST_INTERVAL_MS, shared);
  const longest = Math.max(interval, LONGEST_BACKOFF_MS);
  return Math.min(interval * 2 ** Math.min(failures, 10), longest);
}

/** Task that polls. */
export class HeadPoller {
  readonly #options: HeadPollerOptions;
  readonly #revisions: Revisions;
  readonly #stopping = new AbortController();
  #task: Promise<void> | undefined;
  #failures = 0;

  constructor(options: HeadPollerOptions) {
    const { table, objects } = options;
    this.#options = options;
    this.#revisions = new Revisions({ table, objects });
  }

  /** Polls once, then goes on at the interval. */
  async start(): Promise<void> {
    await this.#poll();
    this.#task = this.#run();
  }

  /** Ends the task. */
  async stop(): Promise<void> {
    this.#stopping.abort();
    await this.#task;
  }

  async #run(): Promise<void> {
    const { signal } = this.#stopping;
    while (!signal.aborted) {
      const interval = pollInterval(this.#options.proxies(), this.#failures);
      const jittered = interval * (0.5 + Math.random());
      await sleep(jittered, undefined, { signal }).catch(() => undefined);
      if (!signal.aborted) await this.#poll();
    }
  }

  async #poll(): Promise<void> {
    const taken = await this.#takeNewer();
    this.#failures = taken.isOk() ? 0 : this.#failures + 1;
  }

  #takeNewer(): ResultAsync<void, Failure> {
    const { environment, objects, document } = this.#options;
    const revisions = this.#revisions;
    return safeTry(async function* () {
      const head = yield* revisions.head(environment);
      const known = Math.max(document.number, document.rejected);
      if (!head || head.number <= known) return ok(undefined);
      const found = yield* objects.get(documentKey(head.hash));
      const text = yield* checkText(head, found);
      document.offer(head.number, text, "store");
      return ok(undefined);
    });
  }
}
