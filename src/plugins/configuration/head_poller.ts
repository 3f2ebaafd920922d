/**
 * Polls the head of the environment in the table service and loads each new
 * document from the object store.
 *
 * All proxies of an environment together read the head at most about eight
 * times per second, because each proxy's interval grows with the number of live
 * proxies. The first proxy that sees a new revision announces it to its gossip
 * partners immediately, and each of them announces it to its own. The time until
 * the revision is active on every proxy therefore does not grow with the
 * interval.
 *
 * @module
 */
import { setTimeout as sleep } from "node:timers/promises";
import { ok, type ResultAsync, safeTry } from "neverthrow";
import type { Failure } from "../../kernel/result_codes.ts";
import { documentKey } from "../document/head.ts";
import { Revisions, verifyText } from "../document/revisions.ts";
import type { ObjectStore } from "../object_store/object_store.ts";
import type { TableService } from "../table_service/table_service.ts";
import type { ActiveDocument } from "./active_document.ts";

const MIN_POLL_INTERVAL_MS = 500;
const MAX_READS_PER_SECOND = 8;
const MAX_BACKOFF_MS = 2_000;

/** Options of `HeadPoller`. */
export interface HeadPollerOptions {
  readonly environment: string;
  readonly table: TableService;
  readonly objects: ObjectStore;
  readonly document: ActiveDocument;
  /** Returns the number of live proxies, including this one. */
  readonly proxyCount: () => number;
}

/** Returns the poll interval of one proxy in ms, without jitter and with exponential backoff after failures. */
export function pollInterval(proxyCount: number, failures: number): number {
  const sharedIntervalMs = proxyCount * 1_000 / MAX_READS_PER_SECOND;
  const intervalMs = Math.max(MIN_POLL_INTERVAL_MS, sharedIntervalMs);
  const maxIntervalMs = Math.max(intervalMs, MAX_BACKOFF_MS);
  return Math.min(intervalMs * 2 ** Math.min(failures, 10), maxIntervalMs);
}

/** Background task that polls the head. */
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

  /** Polls once, then starts the background task. */
  async start(): Promise<void> {
    await this.#poll();
    this.#task = this.#run();
  }

  /** Stops the background task. */
  async stop(): Promise<void> {
    this.#stopping.abort();
    await this.#task;
  }

  async #run(): Promise<void> {
    const { signal } = this.#stopping;
    while (!signal.aborted) {
      const intervalMs = pollInterval(
        this.#options.proxyCount(),
        this.#failures,
      );
      const jitteredMs = intervalMs * (0.5 + Math.random());
      await sleep(jitteredMs, undefined, { signal }).catch(() => undefined);
      if (!signal.aborted) await this.#poll();
    }
  }

  async #poll(): Promise<void> {
    const fetched = await this.#fetchNewer();
    this.#failures = fetched.isOk() ? 0 : this.#failures + 1;
  }

  #fetchNewer(): ResultAsync<void, Failure> {
    const { environment, objects, document } = this.#options;
    const revisions = this.#revisions;
    return safeTry(async function* () {
      const head = yield* revisions.head(environment);
      const knownNumber = Math.max(document.number, document.rejectedNumber);
      if (!head || head.number <= knownNumber) return ok(undefined);
      const found = yield* objects.get(documentKey(head.hash));
      const text = yield* verifyText(head, found);
      document.offer(head.number, text, "store");
      return ok(undefined);
    });
  }
}
