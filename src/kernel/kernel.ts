/**
 * The kernel: plug-ins register themselves, the kernel starts those that a
 * process asks for in the order of their needs and stops them in reverse.
 *
 * @module
 */
import { type EventLog, Events } from "./events.ts";
import type { Settings } from "./settings.ts";

/** A long-lived service that a plug-in provides. */
export interface Service {
  /** Begins work; resolves when others may use the service. */
  start?(): Promise<void> | void;
  /** Refuses new work and lets running work end; the deadline is in ms of `performance.now()`. */
  drain?(deadline: number): Promise<void>;
  /** Releases everything. */
  stop?(): Promise<void> | void;
}

/**
 * Names of the services and their types. A plug-in adds its own by declaration
 * merging, so that `context.use("routing")` is typed.
 */
// deno-lint-ignore no-empty-interface
export interface Services {}

/** What a plug-in gets to make its service. */
export interface PluginContext {
  /** The proxy's settings; throws in a process that has settings of another kind. */
  readonly settings: Settings;
  readonly log: EventLog;
  /** Gives another plug-in's service; it must stand in `needs`. */
  use<K extends keyof Services>(name: K): Services[K];
  /** Gives a service that is started at the time of the call, needed or not. */
  find<K extends keyof Services>(name: K): Services[K] | undefined;
}

/** A plug-in: a name, the services it needs, and a factory. */
export interface Plugin<K extends keyof Services = keyof Services> {
  readonly name: K;
  readonly needs: readonly (keyof Services)[];
  create(context: PluginContext): Services[K] & Service;
}

const registry = new Map<string, Plugin>();

/** Registers a plug-in; each plug-in's module calls it when it is loaded. */
export function registerPlugin<K extends keyof Services>(
  plugin: Plugin<K>,
): void {
  registry.set(plugin.name as string, plugin as unknown as Plugin);
}

/** Starts and stops plug-ins. */
export class Kernel {
  readonly #settings: Settings | undefined;
  readonly #log: EventLog;
  readonly #services = new Map<string, Service>();

  constructor(settings: Settings | undefined, log: EventLog) {
    this.#settings = settings;
    this.#log = log;
  }

  /** Adds a service that was made outside, such as a process's own settings. */
  provide<K extends keyof Services>(name: K, service: Services[K]): void {
    this.#services.set(name as string, service as Service);
  }

  /** Starts the named plug-ins and all that they need. */
  async start(names: readonly (keyof Services)[]): Promise<void> {
    for (const name of names) await this.#startOne(name as string, []);
  }

  /** Gives a started service. */
  use<K extends keyof Services>(name: K): Services[K] {
    const service = this.#services.get(name as string);
    if (!service) throw new Error(`plug-in ${String(name)} is not started`);
    return service as Services[K];
  }

  /** Gives a service when it is started. */
  find<K extends keyof Services>(name: K): Services[K] | undefined {
    return this.#services.get(name as string) as Services[K] | undefined;
  }

  /** Lets running work end until the deadline, then stops all services in reverse order. */
  async stop(deadline: number): Promise<void> {
    const names = [...this.#services.keys()].reverse();
    for (const name of names) {
      await this.#guard(name, (service) => service.drain?.(deadline));
    }
    for (const name of names) {
      await this.#guard(name, (service) => service.stop?.());
    }
    this.#services.clear();
  }

  async #startOne(name: string, path: readonly string[]): Promise<void> {
    if (this.#services.has(name)) return;
    if (path.includes(name)) {
      throw new Error(
        `plug-ins need each other: ${[...path, name].join(" > ")}`,
      );
    }
    const plugin = registry.get(name);
    if (!plugin) throw new Error(`no plug-in is registered under ${name}`);
    for (const need of plugin.needs) {
      await this.#startOne(need as string, [...path, name]);
    }
    const settings = this.#settings;
    const service: Service = plugin.create({
      get settings() {
        if (!settings) throw new Error(`plug-in ${name} found no settings`);
        return settings;
      },
      log: this.#log,
      use: (other) => {
        if (!plugin.needs.includes(other)) {
          throw new Error(
            `plug-in ${name} does not list ${String(other)} in its needs`,
          );
        }
        return this.use(other);
      },
      find: (other) => this.find(other),
    });
    await service.start?.();
    this.#services.set(name, service);
  }

  async #guard(
    name: string,
    work: (service: Service) => Promise<void> | void,
  ): Promise<void> {
    const service = this.#services.get(name);
    if (!service) return;
    try {
      await work(service);
    } catch (error) {
      this.#log.write(Events.PLUGIN_FAILED, {
        plugin: name,
        error: String(error),
      });
    }
  }
}
