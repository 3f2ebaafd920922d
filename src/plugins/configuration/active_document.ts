/**
 * Holds the active revision, whose number only increases.
 *
 * @module
 */
import { type EventLog, Events } from "../../kernel/events.ts";
import type { Environment, Group, Revision } from "../document/document.ts";
import { contentHash } from "../document/head.ts";
import { parseDocument } from "../document/parse_document.ts";
import type { Configuration } from "./configuration.ts";

/** Number and text of a revision, as sent to peers on request. */
export interface RevisionText {
  readonly number: number;
  readonly text: string;
}

/** Active document of one environment. */
export class ActiveDocument implements Configuration {
  readonly #environment: string;
  readonly #log: EventLog;
  readonly #listeners = new Set<(revision: Revision) => void>();
  #revision: Revision | undefined;
  #text = "";
  #rejectedNumber = 0;

  constructor(environment: string, log: EventLog) {
    this.#environment = environment;
    this.#log = log;
  }

  /** Number of the active revision; 0 for none. */
  get number(): number {
    return this.#revision?.number ?? 0;
  }

  /** Highest revision number that was rejected as invalid; 0 for none. */
  get rejectedNumber(): number {
    return this.#rejectedNumber;
  }

  current(): Revision | undefined {
    return this.#revision;
  }

  /** Returns the number and text of the active revision; undefined for none. */
  revisionText(): RevisionText | undefined {
    if (!this.#revision) return undefined;
    return { number: this.#revision.number, text: this.#text };
  }

  environment(): Environment | undefined {
    return this.#revision?.document.environments[this.#environment];
  }

  group(database: string): Group | undefined {
    return this.environment()?.groups
      .find((group) => group.database === database);
  }

  subscribe(listener: (revision: Revision) => void): () => void {
    this.#listeners.add(listener);
    if (this.#revision) listener(this.#revision);
    return () => this.#listeners.delete(listener);
  }

  offer(number: number, text: string, source: "store" | "peer"): boolean {
    if (number <= this.number || number <= this.#rejectedNumber) return false;
    const parsed = parseDocument(text);
    if (parsed.isErr()) return this.#reject(number, parsed.error.message);
    const document = parsed.value;
    if (!Object.hasOwn(document.environments, this.#environment)) {
      const reason = `the document has no environment ${this.#environment}`;
      return this.#reject(number, reason);
    }
    const hash = contentHash(text);
    const environment = this.#environment;
    this.#revision = Object.freeze({ environment, number, hash, document });
    this.#text = text;
    const eventKind = source === "peer"
      ? Events.REVISION_FROM_PEER
      : Events.REVISION_IN_FORCE;
    this.#log.write(eventKind, { revision: number, hash, environment });
    for (const listener of this.#listeners) listener(this.#revision);
    return true;
  }

  #reject(number: number, reason: string): false {
    this.#rejectedNumber = number;
    const environment = this.#environment;
    this.#log.write(Events.REVISION_REJECTED, { number, environment, reason });
    return false;
  }
}
