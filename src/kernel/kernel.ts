/**
 * The plug-in kernel: plug-ins register themselves; the kernel starts the
 * requested ones in dependency order and stops them in reverse order.
 *
 * @module
 */
import { type EventLog, Events } from "./events.ts";
import type { Settings } from "./settings.ts";

/** A long-lived service that a plug-in provides. */
export interface Service {
  /** Starts the service; resolves when other plug-ins may use it. */
  start?(): Promise<void> | void;
  /** Rejects new work and waits for running work; the deadline is a time of the process's clock, in ms. */
  drain?(deadline: number): Promise<void>;
  /** Releases all resources. */
  stop?(): Promise<void> | void;
}

/**
 * Maps service names to service types. A plug-in adds its own by declaration
 * merging, so that `context.use("routing")` is typed.
 */
// deno-lint-ignore no-empty-interface
export interface Services {}

/** What a plug-in's factory receives. */
export interface PluginContext {
  /** The proxy's settings; throws in a process that was started without them. */
  readonly settings: Settings;
  readonly log: EventLog;
  /** Returns another plug-in's service; throws unless it is listed in `needs`. */
  use<K extends keyof Services>(name: K): Services[K];
  /** Returns a service if it is started at the time of the call, whether or not it is listed in `needs`. */
  find<K extends keyof Services>(name: K): Services[K] | undefined;
}

/** A plug-in: the name of its service, the services it depends on, and a factory. */
export interface Plugin<K extends keyof Services = keyof Services> {
  readonly name: K;
  readonly needs: readonly (keyof Services)[];
  create(context: PluginContext): Services[K] & Service;
}

const registry = new Map<string, Plugin>();

/** Registers a plug-in; each plug-in's module calls this when it is imported. */
export function registerPlugin<K extends keyof Services>(
  plugin: Plugin<K>,
): void {
  registry.set(plugin.name as string, plugin as unknown as Plugin);
}

/** Starts and stops plug-ins and holds their services. */
export class Kernel {
  readonly #settings: Settings | undefined;
  readonly #log: EventLog;
  readonly #services = new Map<string, Service>();

  constructor(settings: Settings | undefined, log: EventLog) {
    this.#settings = settings;
    this.#log = log;
  }

  /** Adds a service that was created outside the kernel, such as the settings of a particular process. */
  provide<K extends keyof Services>(name: K, service: Services[K]): void {
    this.#services.set(name as string, service as Service);
  }

  /** Starts the named plug-ins and their dependencies; throws on an unknown plug-in or a dependency cycle. */
  async start(names: readonly (keyof Services)[]): Promise<void> {
    for (const name of names) await this.#startPlugin(name as string, []);
  }

  /** Returns a started service; throws if it is not started. */
  use<K extends keyof Services>(name: K): Services[K] {
    const service = this.#services.get(name as string);
    if (!service) throw new Error(`plug-in ${String(name)} is not started`);
    return service as Services[K];
  }

  /** Returns a service, or undefined if it is not started. */
  find<K extends keyof Services>(name: K): Services[K] | undefined {
    return this.#services.get(name as string) as Services[K] | undefined;
  }

  /** Drains all services until the deadline, then stops them, both in reverse start order; errors are logged. */
  async stop(deadline: number): Promise<void> {
    const names = [...this.#services.keys()].reverse();
    for (const name of names) {
      await this.#runLogged(name, (service) => service.drain?.(deadline));
    }
    for (const name of names) {
      await this.#runLogged(name, (service) => service.stop?.());
    }
    this.#services.clear();
  }

  async #startPlugin(name: string, path: readonly string[]): Promise<void> {
    if (this.#services.has(name)) return;
    if (path.includes(name)) {
      throw new Error(
        `circular plug-in dependency: ${[...path, name].join(" > ")}`,
      );
    }
    const plugin = registry.get(name);
    if (!plugin) throw new Error(`no plug-in is registered under ${name}`);
    for (const need of plugin.needs) {
      await this.#startPlugin(need as string, [...path, name]);
    }
    const settings = this.#settings;
    const service: Service = plugin.create({
      get settings() {
        if (!settings) throw new Error(`plug-in ${name} requires settings`);
        return settings;
      },
      log: this.#log,
      use: (other) => {
        if (!plugin.needs.includes(other)) {
          throw new Error(
            `plug-in ${name} uses ${
              String(other)
            } without listing it in its needs`,
          );
        }
        return this.use(other);
      },
      find: (other) => this.find(other),
    });
    await service.start?.();
    this.#services.set(name, service);
  }

  async #runLogged(
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
