/**
 * The document in force at this proxy.
 *
 * @module
 */
import type { Environment, Group, Revision } from "../document/document.ts";

/** Gives the revision in force and tells of each new one; it only ever moves to a higher number. */
export interface Configuration {
  /** The revision in force; undefined until one is known. */
  current(): Revision | undefined;
  /** The part of it for this proxy's environment. */
  environment(): Environment | undefined;
  /** The group of a database. */
  group(database: string): Group | undefined;
  /** Calls back on each new revision, and at once when one is in force; gives a function that ends it. */
  subscribe(listener: (revision: Revision) => void): () => void;
  /** Takes a revision that a peer or the store gave; false when it is not higher or not valid. */
  offer(number: number, text: string, source: "store" | "peer"): boolean;
}

declare module "../../kernel/kernel.ts" {
  interface Services {
    configuration: Configuration;
  }
}
