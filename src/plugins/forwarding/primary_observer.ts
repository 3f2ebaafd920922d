/**
 * Tells the monitoring of the primaries what they answer to this proxy's own
 * connections. Only a proxy with a connection can tell a silent primary from a
 * silent holder.
 *
 * @module
 */
import type { InstanceDirectory } from "../deployment/instance_directory.ts";
import type { Succession } from "../leadership/succession.ts";
import type { InstanceObserver } from "./local_work.ts";

/** Observes the instances of all groups. */
export class PrimaryObserver implements InstanceObserver {
  readonly #directory: Pick<InstanceDirectory, "get">;
  readonly #succession: () => Succession | undefined;

  /** `succession` depends on the links to instances, so it is looked up when it is needed. */
  constructor(
    directory: Pick<InstanceDirectory, "get">,
    succession: () => Succession | undefined,
  ) {
    this.#directory = directory;
    this.#succession = succession;
  }

  onRequest(instance: string): void {
    const group = this.#group(instance);
    if (group) this.#succession()?.onRequest(group, instance);
  }

  onAnswer(instance: string, term: number | undefined): void {
    const group = this.#group(instance);
    const succession = this.#succession();
    if (!group || !succession) return;
    const { primary } = succession.leadership(group);
    if (primary === instance) succession.onAnswer(group, term);
  }

  onFailure(instance: string): void {
    const group = this.#group(instance);
    if (group) this.#succession()?.onFailure(group, instance);
  }

  #group(instance: string): string | undefined {
    return this.#directory.get(instance)?.group;
  }
}
