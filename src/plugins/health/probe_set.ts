/**
 * The probes of one group, kept in sync with the document.
 *
 * @module
 */
import type { Group, Instance } from "../document/document.ts";
import { InstanceProbe, type InstanceProbeOptions } from "./instance_probe.ts";

/** Options of `ProbeSet`. */
export interface ProbeSetOptions
  extends Pick<InstanceProbeOptions, "control" | "onSettled"> {
  /** Called when an instance was removed from the document or its host, port or zone changed. */
  readonly onRemoved: (instance: string) => void;
}

/** One probe for each instance of a group. */
export class ProbeSet {
  readonly #options: ProbeSetOptions;
  readonly #probes = new Map<string, InstanceProbe>();
  #list: readonly InstanceProbe[] = [];

  constructor(options: ProbeSetOptions) {
    this.#options = options;
  }

  /** The probes, in the order of the instances in the document. */
  get list(): readonly InstanceProbe[] {
    return this.#list;
  }

  get(instance: string): InstanceProbe | undefined {
    return this.#probes.get(instance);
  }

  /** Applies a changed document; unchanged instances keep their probes. */
  update(group: Group): void {
    const wanted = new Map(group.instances.map((item) => [item.name, item]));
    for (const [name, probe] of this.#probes) {
      if (isSameInstance(probe.instance, wanted.get(name))) continue;
      probe.close();
      this.#probes.delete(name);
      this.#options.onRemoved(name);
    }
    this.#list = group.instances.map((instance) =>
      this.#ensure(group.database, instance)
    );
  }

  /** Resets the failure counts of all probes. */
  resetFailures(): void {
    for (const probe of this.#list) probe.resetFailures();
  }

  /** Closes all probes. */
  close(): void {
    for (const probe of this.#list) probe.close();
  }

  #ensure(database: string, instance: Instance): InstanceProbe {
    const found = this.#probes.get(instance.name);
    if (found) return found;
    const { control, onSettled } = this.#options;
    const probe = new InstanceProbe({
      database,
      instance,
      control,
      onSettled,
    });
    this.#probes.set(instance.name, probe);
    return probe;
  }
}

function isSameInstance(a: Instance, b: Instance | undefined): boolean {
  return b !== undefined && a.host === b.host && a.port === b.port &&
    a.zone === b.zone;
}
