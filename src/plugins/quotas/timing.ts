/**
 * Times of the quota protocol. docs/design/quotas.md derives the bound on
 * operations from them.
 *
 * @module
 */
import { ROW_RETENTION_MS } from "../leadership/host_watch.ts";

/**
 * Time for which a coordinator may use a host's part after the host has sent a
 * request, in ms. It lends tokens only on parts that it may use for as long as
 * the tokens live, so this is a token's life, a renewal, and 250 ms of delays. A
 * host is without its part for this time after the loss of its coordinator.
 */
export const DELEGATION_MS = 1_000;

/** Time for which a token may be used after the host has asked for it, in ms: a refresh and the slowest usual answer. */
export const TOKEN_LIFE_MS = 400;

/** Longest time between two requests of a host whose part is delegated, in ms. */
export const RENEWAL_MS = 350;

/** Longest time between two requests of a host that keeps tokens in stock, in ms. */
export const REFRESH_MS = 250;

/** Shortest time between two requests to a coordinator, in ms; the operations that arrive meanwhile share the next one. */
export const REQUEST_GAP_MS = 10;

/** Time after which a request without an answer has failed, in ms: many times the round trip between regions (24 ms). */
export const CALL_TIMEOUT_MS = 350;

/** The same for the question of a new host, whose answer waits for those of all hosts, in ms. */
export const JOIN_TIMEOUT_MS = 3 * CALL_TIMEOUT_MS;

/** Demand for which a host keeps tokens in stock, in ms; a refresh and a round trip between regions. */
export const STOCK_MS = 300;

/** Time after its last limited operation for which a host keeps its part delegated, in ms. */
export const ENGAGED_MS = 5_000;

/** Longest time for which an operation waits for a decision, in ms; more than the wait after the loss of a coordinator. */
export const DECISION_MS = 2_000;

/** Pause before operations that wait for tokens under way are asked for again, in ms. */
export const RETRY_REQUEST_MS = 40;

/** Time after a change of the delegating hosts within which more delegations are expected, in ms; a renewal and its delay. */
export const SETTLING_MS = 600;

/**
 * Time after the store's last confirmation for which a host uses its part, in ms:
 * 120 s. Shorter means that a long outage of the store stops limited accounts;
 * longer means that a killed host counts for longer.
 */
export const PART_LEASE_MS = ROW_RETENTION_MS * 4 / 5;

/** Time after which a host writes the number of hosts that it counts again, if its row doesn't show it, in ms. */
export const RECORD_RETRY_MS = 2_000;

/** Time for which a host counts far fewer hosts than its row says before it writes that, in ms: a rolling restart is over then. */
export const SHRUNK_MS = 30_000;

/** Time between the confirmation that all hosts count a new host and the use of its part, in ms: a delegation and a half, since others may have been delegated before they counted it. */
export const JOIN_SETTLING_MS = DELEGATION_MS * 3 / 2;

/** Interval of the attempts to join, in ms. */
export const JOIN_RETRY_MS = 500;

/** Time for which a host counts another one whose row has gone, in ms; its last delegations and tokens have ended then. */
export const DEPARTED_MS = 5_000;

/** Time for which a coordinator asks idle hosts for their parts, in ms: after a first shortage, and as long as the parts are needed. */
export const FIRST_WAKE_MS = 3_000;
export const NEXT_WAKE_MS = 10_000;

/** Interval of a coordinator's checks, in ms. */
export const DUTY_INTERVAL_MS = 1_000;
