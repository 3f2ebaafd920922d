/**
 * The probes of one group, kept in step with the document.
 *
 * @module
 */
import type { Group, Instance } from "../document/document.ts";
import { InstanceProbe, type InstanceProbeOptions } from "./instance_probe.ts";

/** What a set of probes needs. */
export interface ProbeSetOptions
  extends Pick<InstanceProbeOptions, "control" | "settled"> {
  /** Called when an instance is no longer in the document under this name and place. */
  readonly removed: (instance: string) => void;
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
      if (isSamePlace(probe.instance, wanted.get(name))) continue;
      probe.close();
      this.#probes.delete(name);
      this.#options.removed(name);
    }
    this.#list = group.instances.map((instance) =>
      this.#ensure(group.database, instance)
    );
  }

  /** Starts the counts of failures anew. */
  forgive(): void {
    for (const probe of this.#list) probe.forgive();
  }

  /** Ignores what is still to come. */
  close(): void {
    for (const probe of this.#list) probe.close();
  }

  #ensure(database: string, instance: Instance): InstanceProbe {
    const found = this.#probes.get(instance.name);
    if (found) return found;
    const { control, settled } = this.#options;
    const probe = new InstanceProbe({ database, instance, control, settled });
    this.#probes.set(instance.name, probe);
    return probe;
  }
}

function isSamePlace(a: Instance, b: Instance | undefined): boolean {
  return b !== undefined && a.host === b.host && a.port === b.port &&
    a.zone === b.zone;
}
