/**
 * Fetches a newer revision from a peer that announces it, and serves the active
 * revision to peers.
 *
 * @module
 */
import { setTimeout as sleep } from "node:timers/promises";
import { z } from "zod";
import type { Membership } from "../membership/membership.ts";
import type { PeerProcedure, Peers } from "../peers/peers.ts";
import { contentHash } from "../document/head.ts";
import { MAX_DOCUMENT_CHARACTERS } from "../document/parse_document.ts";
import type { ActiveDocument } from "./active_document.ts";

const FETCH_TIMEOUT_MS = 2_000;
const RETRY_DELAY_MS = 200;

/** A revision as sent by a peer. */
interface PeerRevision {
  readonly number: number;
  readonly hash: string;
  readonly text: string;
}

const requestSchema = z.object({
  above: z.number().int().min(0),
  /** Missing in the request of an earlier release. */
  environment: z.string().optional(),
});

type RevisionRequest = z.infer<typeof requestSchema>;

/** Requests the active revision of a peer if it serves the environment and its number is above `above`; null otherwise. */
export const revisionProcedure: PeerProcedure<
  RevisionRequest,
  PeerRevision | null
> = {
  name: "revision",
  input: requestSchema,
  output: z.object({
    number: z.number().int().min(1),
    hash: z.string(),
    text: z.string().max(MAX_DOCUMENT_CHARACTERS),
  }).nullable(),
};

/** Options of `PeerRevisions`. */
export interface PeerRevisionsOptions {
  /** Environment that this proxy serves; revisions are numbered within it. */
  readonly environment: string;
  readonly peers: Peers;
  readonly membership: Membership;
  readonly document: ActiveDocument;
}

/** Background task that exchanges revisions with peers. */
export class PeerRevisions {
  readonly #options: PeerRevisionsOptions;
  #wake: () => void = () => undefined;
  #unsubscribe: () => void = () => undefined;
  #task: Promise<void> | undefined;
  #stopped = false;

  constructor(options: PeerRevisionsOptions) {
    this.#options = options;
  }

  /** Serves requests of peers and starts the background task. */
  start(): void {
    const { peers, membership } = this.#options;
    peers.serve(revisionProcedure, (request) => this.#answer(request));
    this.#unsubscribe = membership.subscribe(() => this.#wake());
    this.#task = this.#run();
  }

  /** Stops the background task. */
  async stop(): Promise<void> {
    this.#stopped = true;
    this.#unsubscribe();
    this.#wake();
    await this.#task;
  }

  async #run(): Promise<void> {
    while (!this.#stopped) {
      const changed = new Promise<void>((resolve) => this.#wake = resolve);
      const endpoint = this.#chooseEndpoint();
      if (endpoint === undefined) await changed;
      else if (!await this.#fetchFrom(endpoint)) await sleep(RETRY_DELAY_MS);
    }
  }

  /** Picks a random proxy that announces a revision above the highest known here. */
  #chooseEndpoint(): string | undefined {
    const { membership, document } = this.#options;
    const knownNumber = Math.max(document.number, document.rejectedNumber);
    const candidates = membership.members()
      .filter(({ liveness, state }) =>
        liveness !== "gone" && state.revision > knownNumber
      );
    const chosen = candidates[Math.floor(Math.random() * candidates.length)];
    return chosen?.state.endpoint;
  }

  async #fetchFrom(endpoint: string): Promise<boolean> {
    const { peers, document, environment } = this.#options;
    const request = { above: document.number, environment };
    const reply = await peers
      .call(endpoint, revisionProcedure, request, FETCH_TIMEOUT_MS);
    if (reply.isErr() || reply.value === null) return false;
    const { number, hash, text } = reply.value;
    if (contentHash(text) !== hash) return false;
    return document.offer(number, text, "peer");
  }

  #answer({ above, environment }: RevisionRequest): PeerRevision | null {
    const own = this.#options.environment;
    if (environment !== undefined && environment !== own) return null;
    const active = this.#options.document.revisionText();
    if (!active || active.number <= above) return null;
    return { ...active, hash: contentHash(active.text) };
  }
}
