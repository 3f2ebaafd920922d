/**
 * Numbered result codes. The meaning of a code never changes; docs/result_codes.md
 * lists them, and a test keeps the two in sync.
 *
 * @module
 */

/** What a caller may assume about a statement that failed: executed, not executed, or unknown. */
export type Outcome = "done" | "not run" | "outcome unknown";

/** A result code and the SQLSTATE that callers receive for it. */
export interface ResultCode {
  readonly number: number;
  readonly name: string;
  readonly sqlState: string;
  readonly outcome: Outcome;
  /** Exit code of the command line, 0 to 255. */
  readonly exitCode: number;
}

function code(
  number: number,
  name: string,
  sqlState: string,
  outcome: Outcome,
  exitCode: number,
): ResultCode {
  return { number, name, sqlState, outcome, exitCode };
}

/** All result codes. 1xx settings, 2xx document, 3xx platform, 4xx caller, 5xx upstream. */
export const ResultCodes = {
  INTERNAL: code(100, "internal", "XX000", "outcome unknown", 1),
  SETTING_INVALID: code(101, "setting-invalid", "22023", "not run", 2),
  DOCUMENT_INVALID: code(201, "document-invalid", "22023", "not run", 3),
  DOCUMENT_CONFLICT: code(202, "document-conflict", "40001", "not run", 4),
  DOCUMENT_ABSENT: code(203, "document-absent", "02000", "not run", 5),
  ENVIRONMENT_UNKNOWN: code(204, "environment-unknown", "22023", "not run", 5),
  DOCUMENT_UNSETTLED: code(
    205,
    "document-unsettled",
    "08007",
    "outcome unknown",
    7,
  ),
  TABLE_SERVICE_UNAVAILABLE: code(
    301,
    "table-service-unavailable",
    "MS301",
    "not run",
    6,
  ),
  OBJECT_STORE_UNAVAILABLE: code(
    302,
    "object-store-unavailable",
    "MS302",
    "not run",
    6,
  ),
  HOST_LIST_UNAVAILABLE: code(
    303,
    "host-list-unavailable",
    "MS303",
    "not run",
    6,
  ),
  CONFIGURATION_ABSENT: code(
    304,
    "configuration-absent",
    "57P03",
    "not run",
    6,
  ),
  PEER_UNAVAILABLE: code(305, "peer-unavailable", "MS305", "not run", 6),
  PEER_UNAUTHORIZED: code(306, "peer-unauthorized", "MS306", "not run", 6),
  PASSWORD_WRONG: code(401, "password-wrong", "28P01", "not run", 1),
  DATABASE_UNKNOWN: code(402, "database-unknown", "3D000", "not run", 1),
  PROTOCOL_UNSUPPORTED: code(
    403,
    "protocol-unsupported",
    "0A000",
    "not run",
    1,
  ),
  PROTOCOL_MALFORMED: code(404, "protocol-malformed", "08P01", "not run", 1),
  MESSAGE_TOO_LARGE: code(405, "message-too-large", "54000", "not run", 1),
  POSITION_INVALID: code(406, "position-invalid", "22023", "not run", 1),
  REQUEST_ID_REUSED: code(407, "request-id-reused", "MS407", "not run", 1),
  REQUEST_DONE: code(408, "request-done", "MS408", "done", 1),
  QUEUE_FULL: code(409, "queue-full", "53300", "not run", 1),
  QUEUE_DEADLINE: code(410, "queue-deadline", "53300", "not run", 1),
  SHUTTING_DOWN: code(411, "shutting-down", "57P01", "not run", 1),
  REQUEST_ID_INVALID: code(412, "request-id-invalid", "22023", "not run", 1),
  CALLER_LIMIT: code(413, "caller-limit", "53300", "not run", 1),
  STATEMENT_UNKNOWN: code(414, "statement-unknown", "26000", "not run", 1),
  EARLIER_STATEMENT_RUNNING: code(
    415,
    "earlier-statement-running",
    "55006",
    "not run",
    1,
  ),
  SESSION_TOO_LARGE: code(416, "session-too-large", "53400", "not run", 1),
  KEY_REJECTED: code(417, "key-rejected", "28000", "not run", 1),
  QUOTA_EXCEEDED: code(418, "quota-exceeded", "53400", "not run", 1),
  PRIMARY_ABSENT: code(501, "primary-absent", "MS501", "not run", 1),
  PRIMARY_UNCONFIRMED: code(502, "primary-unconfirmed", "MS502", "not run", 1),
  OUTCOME_UNKNOWN: code(503, "outcome-unknown", "08007", "outcome unknown", 1),
  ACKNOWLEDGE_DEADLINE: code(
    504,
    "acknowledge-deadline",
    "08007",
    "outcome unknown",
    1,
  ),
  RECEIVE_LAG: code(505, "receive-lag", "MS505", "not run", 1),
  READ_UNAVAILABLE: code(506, "read-unavailable", "MS506", "not run", 1),
  ANSWER_TRUNCATED: code(
    507,
    "answer-truncated",
    "08006",
    "outcome unknown",
    1,
  ),
  UPSTREAM_REFUSED: code(508, "upstream-refused", "53300", "not run", 1),
  UPSTREAM_UNREACHABLE: code(
    509,
    "upstream-unreachable",
    "08001",
    "not run",
    1,
  ),
  FENCE_REFUSED: code(510, "fence-refused", "MS510", "not run", 1),
  NO_MAJORITY: code(511, "no-majority", "MS511", "not run", 1),
  TRANSACTION_LOST: code(512, "transaction-lost", "40001", "not run", 1),
} as const satisfies Record<string, ResultCode>;

/** A failure reported to a caller or operator: a code, a readable message, and optionally a detail and a hint. */
export interface Failure {
  readonly code: ResultCode;
  readonly message: string;
  readonly detail?: string;
  readonly hint?: string;
}

/** Creates a failure; `rest` holds the optional detail and hint. */
export function createFailure(
  code: ResultCode,
  message: string,
  rest: { readonly detail?: string; readonly hint?: string } = {},
): Failure {
  return { code, message, ...rest };
}
