/**
 * Lets a proxy's own calls to the store begin only while it needs them.
 *
 * @module
 */

/** Open while this proxy follows the store itself, closed while a relay passes the changes on. */
export class StoreGate {
  readonly #waiting = new Set<() => void>();
  #isOpen = true;

  get isOpen(): boolean {
    return this.#isOpen;
  }

  /** Lets calls begin; returns whether the gate was closed. */
  open(): boolean {
    if (this.#isOpen) return false;
    this.#isOpen = true;
    for (const resume of [...this.#waiting]) resume();
    this.#waiting.clear();
    return true;
  }

  /** Keeps further calls from beginning; returns whether the gate was open. */
  close(): boolean {
    if (!this.#isOpen) return false;
    this.#isOpen = false;
    return true;
  }

  /** Resolves while the gate is open. */
  async wait(): Promise<void> {
    while (!this.#isOpen) {
      await new Promise<void>((resolve) => this.#waiting.add(resolve));
    }
  }
}
