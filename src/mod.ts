/**
 * Public entry point of the library.
 *
 * @module
 */
export { createCli } from "./commands/cli.ts";
export { type Clock, clock } from "./kernel/clock.ts";
export { createEventLog, EventLog, Events } from "./kernel/events.ts";
export {
  Kernel,
  type Plugin,
  type PluginContext,
  registerPlugin,
  type Service,
  type Services,
} from "./kernel/kernel.ts";
export {
  createFailure,
  type Failure,
  type ResultCode,
  ResultCodes,
} from "./kernel/result_codes.ts";
export {
  resolveSettings,
  type Settings,
  settingsSchema,
} from "./kernel/settings.ts";
export type { Configuration } from "./plugins/configuration/configuration.ts";
export type { Connections } from "./plugins/connections/connections.ts";
export type {
  Document,
  Environment,
  Group,
  Instance,
} from "./plugins/document/document.ts";
export type { Health } from "./plugins/health/health.ts";
export type { HostList } from "./plugins/host_list/host_list.ts";
export type { Membership } from "./plugins/membership/membership.ts";
export type { ObjectStore } from "./plugins/object_store/object_store.ts";
export type { RoutingPolicy } from "./plugins/routing/routing.ts";
export type { TableService } from "./plugins/table_service/table_service.ts";
export type { DatabaseGroup } from "./plugins/upstream/database_group.ts";
export {
  comparePositions,
  containsPosition,
  formatPosition,
  parsePosition,
  type Position,
} from "./plugins/upstream/position.ts";
