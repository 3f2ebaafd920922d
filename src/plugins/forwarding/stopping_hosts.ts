/**
 * The hosts that have announced their stop, so that they hold nothing any more.
 *
 * @module
 */
import type { Coordination } from "../leadership/coordination.ts";

/** The hosts that stop, as this proxy knows them. */
export class StoppingHosts {
  readonly #coordination: Pick<Coordination, "hosts">;
  /** Incarnation that announced its stop, by host; undefined if the host has no row. */
  readonly #incarnations = new Map<string, string | undefined>();
  #names: ReadonlySet<string> = new Set();

  constructor(coordination: Pick<Coordination, "hosts">) {
    this.#coordination = coordination;
  }

  /** Their names; the same set until it changes. */
  get names(): ReadonlySet<string> {
    return this.#names;
  }

  /** Records that a host has announced its stop; returns whether that is new. */
  add(name: string): boolean {
    if (this.#incarnations.has(name)) return false;
    this.#incarnations.set(name, this.#incarnation(name));
    this.#names = new Set(this.#incarnations.keys());
    return true;
  }

  /** Forgets the hosts that have started again; called when rows may have changed. */
  refresh(): void {
    const before = this.#incarnations.size;
    for (const [name, incarnation] of this.#incarnations) {
      if (this.#incarnation(name) === incarnation) continue;
      this.#incarnations.delete(name);
    }
    if (this.#incarnations.size === before) return;
    this.#names = new Set(this.#incarnations.keys());
  }

  #incarnation(name: string): string | undefined {
    return this.#coordination.hosts().get(name)?.value.incarnation;
  }
}
