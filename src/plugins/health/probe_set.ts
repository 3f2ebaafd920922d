/**
 * The probes of one group, kept in step with the document.
 *
 * @module
 */
import type { Group, Instance } from "../document/document.ts";
import { InstanceProbe, type InstanceProbeOptions } from "./instance_probe.ts";

/** What a set of probes needs. */
export interface ProbeSetOptions
  extends Pick<InstanceProbeOptions, "control" | "onSettled"> {
  /** Called when an instance is no longer in the document under this name and place. */
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

  /** The probes in the order of the document. */
  get list(): readonly InstanceProbe[] {
    return this.#list;
  }

  /** The probe of an instance. */
  get(instance: string): InstanceProbe | undefined {
    return this.#probes.get(instance);
  }

  /** Takes the instances of a group; those that stay keep their probes. */
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

  /** Starts the counts of failures anew. */
  resetFailures(): void {
    for (const probe of this.#list) probe.resetFailures();
  }

  /** Ignores what is still to come. */
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
