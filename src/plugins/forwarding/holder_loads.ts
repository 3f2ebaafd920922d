/**
 * What the holders last said of the load of their instances.
 *
 * @module
 */
import { clock } from "../../kernel/clock.ts";

/** Time for which a load counts, in ms: longer than the interval of answers under load, shorter than a queue lasts after it. */
const LOAD_VALID_MS = 1_000;

/** Statements that are outstanding at instances, by instance. */
export class HolderLoads {
  readonly #loads = new Map<
    string,
    { readonly load: number; readonly at: number }
  >();

  /** Records what an answer said. */
  record(instance: string, load: number): void {
    this.#loads.set(instance, { load, at: clock.now() });
  }

  /** The last known number of statements; 0 if it is not known or too old. */
  load(instance: string): number {
    const last = this.#loads.get(instance);
    if (!last || clock.now() - last.at > LOAD_VALID_MS) return 0;
    return last.load;
  }
}
