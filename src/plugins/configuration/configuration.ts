/**
 * Service that provides the active configuration document of this proxy.
 *
 * @module
 */
import type { Environment, Group, Revision } from "../document/document.ts";

/** Active revision of the configuration, whose number only increases. */
export interface Configuration {
  /** Returns the active revision; undefined until one is known. */
  current(): Revision | undefined;
  /** Returns this proxy's environment in the active revision. */
  environment(): Environment | undefined;
  /** Returns the group of a database; undefined when the environment has none. */
  group(database: string): Group | undefined;
  /** Calls the listener on each new revision, and immediately if one is active; returns a function that unsubscribes. */
  subscribe(listener: (revision: Revision) => void): () => void;
  /** Activates a revision from a peer or the store; returns false when its number is not higher or it is invalid. */
  offer(number: number, text: string, source: "store" | "peer"): boolean;
}

declare module "../../kernel/kernel.ts" {
  interface Services {
    configuration: Configuration;
  }
}
