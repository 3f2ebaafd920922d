/**
 * Builds a proxy's status report from its running services.
 *
 * @module
 */
import type { Service } from "../../kernel/kernel.ts";
import type { Configuration } from "../configuration/configuration.ts";
import type { Connections } from "../connections/connections.ts";
import type { GroupView, Health } from "../health/health.ts";
import type { Membership } from "../membership/membership.ts";
import type { Peers } from "../peers/peers.ts";
import {
  type GroupReport,
  type ProxyReport,
  statusProcedure,
} from "./status.ts";

/** Options of the status service. */
export interface ProxyStatusOptions {
  readonly name: string;
  readonly zone: string;
  readonly environment: string;
  readonly peers: Peers;
  readonly configuration: Configuration;
  readonly membership: Membership;
  /** Returns undefined until the service has started. */
  readonly health: () => Health | undefined;
  /** Returns undefined until the service has started. */
  readonly connections: () => Connections | undefined;
}

/** Serves the status report to peers and to the command line, over the peer port. */
export class ProxyStatus implements Service {
  readonly #options: ProxyStatusOptions;

  constructor(options: ProxyStatusOptions) {
    this.#options = options;
  }

  start(): Promise<void> {
    this.#options.peers.serve(statusProcedure, () => this.report());
    return Promise.resolve();
  }

  /** Returns the current report. */
  report(): ProxyReport {
    const { name, zone, environment, configuration } = this.#options;
    const revision = configuration.current();
    return {
      name,
      zone,
      environment,
      revision: revision?.number ?? 0,
      hash: revision?.hash ?? null,
      members: this.#members(),
      groups: this.#groups(),
      connections: this.#connections(),
    };
  }

  #members(): ProxyReport["members"] {
    return this.#options.membership.members()
      .map(({ state, liveness }) => ({
        name: state.name,
        zone: state.zone,
        liveness,
        leaving: state.leaving,
        revision: state.revision,
      }));
  }

  #groups(): GroupReport[] {
    const health = this.#options.health();
    if (!health) return [];
    const groups = this.#options.configuration.environment()?.groups ?? [];
    return groups
      .map((group) => health.view(group.database))
      .filter((view) => view !== undefined)
      .map((view) => createGroupReport(view, health));
  }

  #connections(): ProxyReport["connections"] {
    const usage = this.#options.connections()?.use() ?? [];
    return usage.map(({ database, instance, open, busy, waiting, share }) => ({
      database,
      instance,
      open,
      busy,
      waiting,
      share,
    }));
  }
}

function createGroupReport(view: GroupView, health: Health): GroupReport {
  const { database } = view.group;
  return {
    database,
    primary: view.primary ?? null,
    term: view.term,
    receiveLagMs: view.receiveLagMs,
    instances: view.instances.map((instanceView) => {
      const age = health.age(database, instanceView.instance.name);
      return {
        name: instanceView.instance.name,
        zone: instanceView.instance.zone,
        role: instanceView.status?.role,
        usable: instanceView.usable,
        leaving: instanceView.leaving,
        slow: instanceView.slow,
        ageMs: Number.isFinite(age) ? Math.round(age) : null,
      };
    }),
  };
}
