/**
 * Numbered log events. docs/events.md lists them, and a test keeps the two in sync.
 *
 * @module
 */
import pino from "pino";

/** Severity of an event; the names are those of pino. */
export type Level = "trace" | "debug" | "info" | "warn" | "error" | "fatal";

/** A kind of log event. */
export interface EventKind {
  readonly number: number;
  readonly name: string;
  readonly level: Level;
}

function event(number: number, name: string, level: Level): EventKind {
  return { number, name, level };
}

/**
 * All events. 1xx life cycle, 2xx configuration, 3xx platform and membership,
 * 4xx callers and routing, 5xx health and failover, 6xx connections and overload.
 */
export const Events = {
  STARTED: event(101, "started", "info"),
  STOPPING: event(102, "stopping", "info"),
  STOPPED: event(103, "stopped", "info"),
  PLUGIN_FAILED: event(104, "plugin-failed", "error"),
  PAUSE_OBSERVED: event(105, "pause-observed", "warn"),
  UNEXPECTED: event(106, "unexpected", "error"),
  SETTINGS_RELOADED: event(107, "settings-reloaded", "info"),
  LINES_OMITTED: event(108, "lines-omitted", "warn"),
  CERTIFICATE_RELOADED: event(109, "certificate-reloaded", "info"),
  CERTIFICATE_REJECTED: event(110, "certificate-rejected", "warn"),
  SUSPENSION_OBSERVED: event(111, "suspension-observed", "warn"),
  REVISION_IN_FORCE: event(201, "revision-in-force", "info"),
  REVISION_REJECTED: event(202, "revision-rejected", "warn"),
  REVISION_FROM_PEER: event(203, "revision-from-peer", "info"),
  ACCOUNT_ENTRY_ODD: event(204, "account-entry-odd", "warn"),
  CONFIGURATION_WARNING: event(205, "configuration-warning", "warn"),
  CONFIGURATION_NOTE: event(206, "configuration-note", "info"),
  TABLE_SERVICE_FAILED: event(301, "table-service-failed", "warn"),
  OBJECT_STORE_FAILED: event(302, "object-store-failed", "warn"),
  HOST_LIST_FAILED: event(303, "host-list-failed", "warn"),
  HOST_LEAVING: event(304, "host-leaving", "info"),
  PEER_JOINED: event(305, "peer-joined", "info"),
  PEER_SUSPECTED: event(306, "peer-suspected", "warn"),
  PEER_GONE: event(307, "peer-gone", "warn"),
  PEER_REFUSED: event(308, "peer-refused", "warn"),
  STORE_UNAVAILABLE: event(309, "store-unavailable", "warn"),
  STORE_ROW_SKIPPED: event(310, "store-row-skipped", "warn"),
  STORE_HISTORY_LOST: event(311, "store-history-lost", "info"),
  STORE_WRITE_UNSETTLED: event(312, "store-write-unsettled", "warn"),
  READINESS_CHANGED: event(313, "readiness-changed", "info"),
  INSTANCE_LAPSED: event(314, "instance-lapsed", "info"),
  PEER_REMOVED: event(315, "peer-removed", "info"),
  RELAY_CHANGED: event(316, "relay-changed", "info"),
  RELAY_FAILED: event(317, "relay-failed", "info"),
  HOST_ENTRY_SKIPPED: event(318, "host-entry-skipped", "warn"),
  PLATFORM_RECOVERED: event(320, "platform-recovered", "info"),
  STORE_ERA_CHANGED: event(321, "store-era-changed", "warn"),
  STORE_ERA_UNREADABLE: event(322, "store-era-unreadable", "warn"),
  STORE_ROWS_RESTORED: event(323, "store-rows-restored", "info"),
  INSTANCE_REPORT_OUTDATED: event(324, "instance-report-outdated", "info"),
  STORE_WRITE_DELEGATED: event(325, "store-write-delegated", "info"),
  CHANNEL_LOST: event(330, "channel-lost", "info"),
  CHANNEL_MALFORMED: event(331, "channel-malformed", "warn"),
  CALLER_CONNECTED: event(401, "caller-connected", "debug"),
  CALLER_DISCONNECTED: event(402, "caller-disconnected", "debug"),
  CALLER_REFUSED: event(403, "caller-refused", "warn"),
  READ_ROUTED: event(404, "read-routed", "debug"),
  WRITE_ROUTED: event(405, "write-routed", "debug"),
  STATEMENT_REFUSED: event(406, "statement-refused", "info"),
  READ_REPEATED: event(407, "read-repeated", "info"),
  REQUEST_SETTLED: event(408, "request-settled", "info"),
  REQUEST_REPEATED: event(409, "request-repeated", "info"),
  LEDGER_PURGED: event(410, "ledger-purged", "info"),
  REQUEST_SERVED: event(411, "request-served", "info"),
  CALLER_PROTOCOL_ERROR: event(412, "caller-protocol-error", "warn"),
  REQUEST_LATE: event(413, "request-late", "info"),
  SESSIONS_DRAINED: event(414, "sessions-drained", "info"),
  STATEMENT_PREPARED: event(415, "statement-prepared", "info"),
  PRIMARY_SUSPECTED: event(501, "primary-suspected", "warn"),
  PRIMARY_FOUND: event(502, "primary-found", "info"),
  FENCED: event(503, "fenced", "info"),
  PROMOTED: event(504, "promoted", "info"),
  FAILOVER_ABANDONED: event(505, "failover-abandoned", "warn"),
  FOLLOW_ORDERED: event(506, "follow-ordered", "info"),
  FORMER_PRIMARY_RETURNED: event(507, "former-primary-returned", "warn"),
  INSTANCE_EXCLUDED: event(508, "instance-excluded", "warn"),
  INSTANCE_INCLUDED: event(509, "instance-included", "info"),
  SWITCHOVER_STARTED: event(510, "switchover-started", "info"),
  SWITCHOVER_ENDED: event(511, "switchover-ended", "info"),
  FAILOVER_WITHHELD: event(512, "failover-withheld", "warn"),
  CHANGE_HEEDED: event(514, "change-heeded", "info"),
  CHANGE_AWAITED: event(515, "change-awaited", "info"),
  CANDIDATES_FOUND: event(516, "candidates-found", "info"),
  CHANGE_SETTLED: event(517, "change-settled", "info"),
  LEADER_ROUND: event(518, "leader-round", "info"),
  CHANGE_GIVEN_UP: event(519, "change-given-up", "warn"),
  CONNECTION_OPENED: event(601, "connection-opened", "debug"),
  CONNECTION_CLOSED: event(602, "connection-closed", "debug"),
  CONNECTION_REFUSED: event(603, "connection-refused", "warn"),
  SHARE_CHANGED: event(604, "share-changed", "info"),
  LOAD_SHED: event(605, "load-shed", "warn"),
  CONNECTIONS_SCARCE: event(606, "connections-scarce", "info"),
  PACE_CHANGED: event(607, "pace-changed", "info"),
  ACCOUNTS_WAITING: event(608, "accounts-waiting", "info"),
  HOLDER_CHANGED: event(620, "holder-changed", "info"),
  HOLDER_STOPPING: event(621, "holder-stopping", "info"),
  HOLDER_LEAVES: event(622, "holder-leaves", "info"),
  HOLDER_PASSED_OVER: event(623, "holder-passed-over", "warn"),
  HOLDER_USED_AGAIN: event(624, "holder-used-again", "info"),
  WORK_FORWARDED: event(625, "work-forwarded", "info"),
  QUOTA_COORDINATOR_CHANGED: event(641, "quota-coordinator", "info"),
  QUOTA_EXHAUSTED: event(642, "quota-exhausted", "info"),
  QUOTA_DELEGATION_LAPSED: event(643, "quota-delegation-lapsed", "warn"),
} as const satisfies Record<string, EventKind>;

/** Fields of a log line in addition to the event's number and name. */
export type EventFields = Readonly<Record<string, unknown>>;

/** Maximum length of a text in a log line, in characters; leaves room for a stack trace. */
const TEXT_MAX_LENGTH = 2_000;

/** Writes numbered events as JSON lines; long texts are cut, since callers may have written them. */
export class EventLog {
  readonly #logger: pino.Logger;

  constructor(logger: pino.Logger) {
    this.#logger = logger;
  }

  /** Writes an event at the level of its kind. */
  write(kind: EventKind, fields: EventFields = {}): void {
    const line = limitTexts({ event: kind.number, ...fields });
    this.#logger[kind.level](line, kind.name);
  }

  /** Whether events of this kind are written; check it before computing expensive fields. */
  enabled(kind: EventKind): boolean {
    return this.#logger.isLevelEnabled(kind.level);
  }
}

/** Cuts the long texts among the fields. */
function limitTexts(fields: Record<string, unknown>): EventFields {
  for (const [name, value] of Object.entries(fields)) {
    if (typeof value !== "string" || value.length <= TEXT_MAX_LENGTH) continue;
    fields[name] = `${value.slice(0, TEXT_MAX_LENGTH)}…`;
  }
  return fields;
}

/** Creates an event log that writes to standard error. */
export function createEventLog(level: string, base: EventFields): EventLog {
  const destination = pino.destination({ dest: 2, sync: false, minLength: 0 });
  return new EventLog(pino({ level, base }, destination));
}
